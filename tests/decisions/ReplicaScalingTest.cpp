#include "decisions/ScalingSimulation.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <numbers>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

ScalingProfile threeZones(uint32_t maximum = 30)
{
    return { 1, maximum, 4s, 0.15, { { AvailabilityZone("a"), 1.0 }, { AvailabilityZone("b"), 1.0 }, { AvailabilityZone("c"), 1.0 } } };
}

constexpr Duration settled = 200s;

/** A pool of 44 regular replicas, as at the start of a day. */
ScalingSimulation regularPool(ScalingProfile profile = threeZones())
{
    ScalingSimulation simulation(std::move(profile));
    simulation.addReplicas("a", false, 15);
    simulation.addReplicas("b", false, 15);
    simulation.addReplicas("c", false, 14);
    return simulation;
}

/** The pool after it has followed a constant demand until `settled`. */
ScalingSimulation settledPool(ReplicaDemand demand, ScalingProfile profile = threeZones())
{
    auto simulation = regularPool(std::move(profile));
    simulation.demand = [demand](double) { return demand; };
    simulation.run(settled);
    return simulation;
}

double wave(double seconds, double period)
{
    return std::sin(seconds * 2 * std::numbers::pi / period);
}

} // namespace

// Guards against replicas that are released although nothing is known about the demand.
TEST_CASE("before the first traffic, and for some time after it, nothing is released")
{
    auto simulation = regularPool();
    simulation.run(60s);
    CHECK(simulation.orders.empty());
    simulation.demand = [](double) { return ReplicaDemand { 4, 2, 0 }; };
    simulation.run(14s);
    CHECK(simulation.releasesSince(0s) == 0);
    CHECK(simulation.readyOfKind(false) == 44);
}

// Guards against a pool that stays regular, and against one that loses capacity while its kind changes.
TEST_CASE("regular replicas are replaced step by step, at every moment with enough capacity")
{
    auto simulation = settledPool({ 18, 9, 4 });
    CHECK(simulation.lowestCoverageSince(0s) >= 1);
    CHECK(simulation.readyOfKind(false) >= 4);
    CHECK(simulation.readyOfKind(false) <= 6);
    // Without the reclaimable replicas of any one zone the rest serves the demand.
    for (const auto* zone : { "a", "b", "c" })
        CHECK(simulation.ready() - simulation.ready(zone, true) >= 27);
    CHECK(simulation.meanPriceSince(settled - 10s) <= 44 * 0.3);
    CHECK(simulation.reversalsSince(0s) == 0);
    for (const auto& order : simulation.orders) {
        if (order.change.to < order.change.from)
            CHECK(order.change.from - order.change.to <= 7);
    }
    // A steady demand causes no further orders.
    CHECK(simulation.growthsSince(settled - 60s) + simulation.releasesSince(settled - 60s) == 0);
}

// Guards against prices that exceed the demand's value: the pool must not be larger than a maximum allows either.
TEST_CASE("the maximum of each zone holds at every order, for both kinds together")
{
    auto simulation = settledPool({ 16, 8, 0 }, threeZones(16));
    CHECK(simulation.lowestCoverageSince(0s) >= 1);
    CHECK(simulation.readyOfKind(false) <= 8);
    std::map<PoolKey, uint32_t> numbers { { { AvailabilityZone("a"), false }, 15 }, { { AvailabilityZone("b"), false }, 15 }, { { AvailabilityZone("c"), false }, 14 } };
    for (const auto& [at, change] : simulation.orders) {
        numbers[change.pool] = change.to;
        CHECK(numbers[{ change.pool.zone, false }] + numbers[{ change.pool.zone, true }] <= 16);
        CHECK(numbers[{ change.pool.zone, false }] + numbers[{ change.pool.zone, true }] >= 1);
    }
}

// Guards against a burst that finds too few replicas for longer than they need to boot, and against releases right after it.
TEST_CASE("a burst is served one boot time after it begins, and its replicas stay until demand has been low for a while")
{
    auto simulation = settledPool({ 8, 4, 2 });
    simulation.demand = [](double seconds) { return seconds < 220 ? ReplicaDemand { 20, 10, 4 } : ReplicaDemand { 8, 4, 2 }; };
    simulation.run(8s);
    CHECK(simulation.ready() >= 30);
    simulation.run(36s); // until 24 s after the burst
    // What the forecast of the rise added may leave, what the burst needed stays.
    CHECK(simulation.ready() - simulation.ready("a", true) >= 30);
    CHECK(simulation.reversalsSince(settled) <= 3);
    simulation.run(100s);
    CHECK(simulation.lowestCoverageSince(settled + 8s) >= 1);
    CHECK(simulation.ready() <= 26);
    CHECK(simulation.reversalsSince(settled) <= 6);
}

// Guards against a ramp that the pool follows one boot time late.
TEST_CASE("replicas for a rising demand are ordered ahead of it")
{
    auto simulation = settledPool({ 8, 4, 2 });
    simulation.demand = [](double seconds) { return ReplicaDemand { 8 + (seconds - 200) * 0.5, 4, 2 }; };
    simulation.run(50s);
    CHECK(simulation.lowestCoverageSince(settled) >= 1);
}

// Guards against orders in both directions for a demand that merely fluctuates.
TEST_CASE("fluctuations with periods of 3 to 11 seconds cause no orders once they are known")
{
    for (auto period : { 3.0, 5.0, 7.0, 9.0, 11.0 }) {
        CAPTURE(period);
        auto simulation = regularPool();
        simulation.demand = [period](double seconds) { return ReplicaDemand { 16 + 7 * wave(seconds, period), 8 - 3 * wave(seconds, period), 3 }; };
        simulation.run(180s);
        CHECK(simulation.lowestCoverageSince(0s) >= 1);
        CHECK(simulation.growthsSince(90s) + simulation.releasesSince(90s) == 0);
    }
}

// Guards against a pool that is sized by the mean of the sum: each stage then lacks engines whenever its turn comes, as a stage
// change takes seconds.
TEST_CASE("each stage is sized by its own peak when the mix alternates every few seconds")
{
    auto simulation = regularPool();
    simulation.demand = [](double seconds) { return std::fmod(seconds, 12) < 6 ? ReplicaDemand { 18, 3, 2 } : ReplicaDemand { 6, 12, 2 }; };
    simulation.run(180s);
    CHECK(simulation.ready() - simulation.ready("a", true) >= 29);
    CHECK(simulation.growthsSince(90s) + simulation.releasesSince(90s) == 0);
    CHECK(simulation.meanPriceSince(120s) <= 44 * 0.35);
}

// Guards against callers who lose capacity at a reclaim, and against a reserve that is not restored.
TEST_CASE("the reclaim of a zone at full load leaves enough capacity, and the reserve is restored")
{
    auto simulation = settledPool({ 20, 10, 4 });
    auto hasNone = false;
    SUBCASE("when the zone has replicas again at once") { }
    SUBCASE("when the zone has none for 20 s") { hasNone = true; }
    if (hasNone)
        simulation.unavailable.insert({ AvailabilityZone("a"), true });
    simulation.reclaim("a");
    simulation.run(1s);
    CHECK(std::ranges::count(simulation.observations, PoolEvent::Reclaimed, &PoolObservation::event) == 1);
    if (hasNone) {
        simulation.run(19s);
        CHECK(simulation.ready("a", true) == 0);
        // The other zones hold the reserve for one of them.
        CHECK(simulation.ready() - simulation.ready("b", true) >= 30);
        simulation.unavailable.clear();
    }
    simulation.run(15s);
    CHECK(simulation.lowestCoverageSince(settled) >= 1);
    CHECK(simulation.ready("a", true) >= 10);
    simulation.run(120s);
    CHECK(simulation.lowestCoverageSince(settled) >= 1);
    CHECK(simulation.meanPriceSince(settled + 120s) <= 44 * 0.35);
}

// Guards against a demand that nobody serves because the cheap kind cannot be had anywhere.
TEST_CASE("regular replicas are ordered when reclaimable ones are needed and available nowhere")
{
    auto simulation = settledPool({ 10, 5, 2 });
    for (const auto* zone : { "a", "b", "c" })
        simulation.unavailable.insert({ AvailabilityZone(zone), true });
    simulation.demand = [](double) { return ReplicaDemand { 22, 11, 3 }; };
    simulation.run(9s);
    CHECK(simulation.ready() >= 33);
    CHECK(simulation.readyOfKind(false) >= 12);
    // Refused calls are repeated at most a few times a second for each zone.
    CHECK(simulation.refusals <= 15);
    simulation.unavailable.clear();
    simulation.run(120s);
    CHECK(simulation.readyOfKind(false) <= 6);
    CHECK(simulation.lowestCoverageSince(settled + 10s) >= 1);
}

// Guards against an order that is repeated in the same zone while others have replicas.
TEST_CASE("when a zone has no reclaimable replicas the others take its part")
{
    auto simulation = regularPool();
    simulation.demand = [](double) { return ReplicaDemand { 18, 9, 3 }; };
    simulation.unavailable.insert({ AvailabilityZone("a"), true });
    simulation.run(120s);
    CHECK(simulation.ready("a", true) == 0);
    CHECK(simulation.ready() - simulation.ready("b", true) >= 27);
    CHECK(simulation.readyOfKind(false) <= 6);
    CHECK(simulation.lowestCoverageSince(0s) >= 1);
}

// Guards against orders without end for replicas that are merely late, and against a holder that waits for ever.
TEST_CASE("replicas that boot slowly are not ordered twice, and those that never appear are replaced elsewhere")
{
    auto simulation = settledPool({ 10, 5, 2 });
    auto before = simulation.running();
    simulation.demand = [](double) { return ReplicaDemand { 20, 10, 4 }; };
    SUBCASE("slow")
    {
        simulation.bootTime = 10s;
        simulation.run(40s);
        CHECK(simulation.ready() >= 30);
        CHECK(simulation.running() <= 2 * before + 12);
        CHECK(std::ranges::count(simulation.observations, PoolEvent::NotComing, &PoolObservation::event) == 0);
    }
    SUBCASE("never")
    {
        simulation.bootTime = 1h;
        simulation.run(20s);
        CHECK(std::ranges::count(simulation.observations, PoolEvent::NotComing, &PoolObservation::event) >= 1);
        // Reclaimable ones count as available nowhere, so regular ones are ordered.
        CHECK(std::ranges::any_of(simulation.orders, [](const auto& order) { return order.change.reason == ScalingReason::NoneReclaimable; }));
    }
}

// Guards against a new holder that orders again what its predecessor has ordered, or releases what it does not understand yet.
TEST_CASE("a lost holder changes nothing in a steady pool, and its successor releases nothing before it knows the demand")
{
    auto simulation = settledPool({ 18, 9, 4 });
    auto running = simulation.running();
    SUBCASE("which has measured the demand itself")
    {
        simulation.replaceHolder(true);
        simulation.run(60s);
        CHECK(simulation.growthsSince(settled) + simulation.releasesSince(settled) == 0);
    }
    SUBCASE("which has just started")
    {
        simulation.replaceHolder(false);
        simulation.run(14s);
        CHECK(simulation.releasesSince(settled) == 0);
        simulation.run(60s);
        CHECK(simulation.running() == running);
    }
    SUBCASE("during a burst, with replicas that are booting")
    {
        simulation.demand = [](double) { return ReplicaDemand { 30, 15, 4 }; };
        simulation.run(3s);
        auto ordered = simulation.running();
        simulation.replaceHolder(true);
        simulation.run(6s);
        CHECK(simulation.ready() >= 45);
        CHECK(simulation.running() <= ordered + 12);
    }
}

// Guards against numbers that follow the callers: a shift between zones leaves the demand of the service as it is.
TEST_CASE("a shift of callers between zones changes no numbers")
{
    auto loadsAt = [](bool isZoneA) {
        std::vector<ReplicaLoad> loads(20, ReplicaLoad { EngineStage::Decode, 6 });
        for (size_t i = 0; i < loads.size(); ++i) {
            loads[i].requests = (i % 2 == 0) == isZoneA ? 3 : 1;
            loads[i].stage = i < 14 ? EngineStage::Decode : EngineStage::Prefill;
        }
        return loads;
    };
    auto simulation = regularPool();
    simulation.demand = [&](double seconds) { return replicaDemandOf(loadsAt(std::fmod(seconds, 40) < 20), std::nullopt); };
    simulation.run(180s);
    CHECK(simulation.growthsSince(100s) + simulation.releasesSince(100s) == 0);
    CHECK(simulation.lowestCoverageSince(0s) >= 1);
}

// Guards against releases that are decided by a demand of which a part is hidden or altered by a failure.
TEST_CASE("nothing is released during a disturbance, while the platform is down, or soon after a loss")
{
    auto simulation = regularPool();
    simulation.demand = [](double) { return ReplicaDemand { 10, 5, 2 }; };
    SUBCASE("disturbance")
    {
        simulation.isDisturbed = true;
        simulation.run(60s);
        CHECK(simulation.releasesSince(0s) == 0);
    }
    SUBCASE("platform")
    {
        simulation.isPlatformDown = true;
        simulation.run(60s);
        CHECK(simulation.ready() == 44);
        simulation.isPlatformDown = false;
        simulation.run(120s);
        CHECK(simulation.readyOfKind(false) <= 6);
    }
    SUBCASE("loss")
    {
        simulation.run(25s);
        simulation.reclaim("b");
        simulation.run(14s);
        CHECK(simulation.releasesSince(25600ms) == 0);
    }
}

// Guards against urgent work that runs out of replicas when all reclaimable ones are gone.
TEST_CASE("regular replicas cover the urgent work")
{
    auto simulation = settledPool({ 18, 9, 11 });
    CHECK(simulation.readyOfKind(false) >= 11);
    CHECK(simulation.readyOfKind(false) <= 13);
}

// Guards against orders that ignore the prices of kinds and zones.
TEST_CASE("kinds and zones are chosen by their prices")
{
    SUBCASE("reclaimable replicas that cost as much as regular ones are not ordered")
    {
        auto profile = threeZones();
        profile.reclaimablePriceFactor = 1;
        auto simulation = settledPool({ 18, 9, 4 }, profile);
        CHECK(simulation.readyOfKind(true) == 0);
        CHECK(simulation.readyOfKind(false) <= 33);
        CHECK(simulation.lowestCoverageSince(0s) >= 1);
    }
    SUBCASE("a zone that costs more than the reserve that it saves is not used")
    {
        auto profile = threeZones();
        profile.zonePrices[AvailabilityZone("c")] = 3;
        auto simulation = settledPool({ 10, 5, 2 }, profile);
        // Only the configured minimum stays there.
        CHECK(simulation.ready("c", true) + simulation.ready("c", false) == 1);
    }
    SUBCASE("a single zone cannot lose all its reclaimable replicas")
    {
        ScalingProfile profile { 1, 60, 4s, 0.15, { { AvailabilityZone("a"), 1.0 } } };
        ScalingSimulation simulation(profile);
        simulation.addReplicas("a", false, 40);
        simulation.demand = [](double) { return ReplicaDemand { 18, 9, 4 }; };
        simulation.run(120s);
        CHECK(simulation.readyOfKind(true) == 0);
        CHECK(simulation.lowestCoverageSince(0s) >= 1);
    }
}

TEST_CASE("the servers of a plain service are sized by their slots")
{
    ScalingSimulation simulation({ 1, 10, 4s, 0.15, { { AvailabilityZone("a"), 1.0 }, { AvailabilityZone("b"), 1.0 }, { AvailabilityZone("c"), 1.0 } } });
    simulation.hasStages = false;
    simulation.addReplicas("a", false, 2);
    simulation.addReplicas("b", false, 2);
    simulation.addReplicas("c", false, 1);
    std::vector<ReplicaLoad> loads(5, ReplicaLoad { EngineStage::None, 6, 2, 0, 0 });
    simulation.demand = [&](double) { return replicaDemandOf(loads, std::nullopt); };
    simulation.run(90s);
    CHECK(simulation.readyOfKind(false) == 2);
    CHECK(simulation.lowestCoverageSince(0s) >= 1);
    CHECK(simulation.meanPriceSince(80s) < 5 * 0.7);
}

TEST_CASE("prefill engines count while they have work, and their queues by the time that they take")
{
    PrefillSpeed speed { 100, 0 };
    std::vector<ReplicaLoad> idle(4, ReplicaLoad { EngineStage::Prefill, 4, 0, 0, 0 });
    CHECK(replicaDemandOf(idle, speed) == ReplicaDemand {});
    std::vector<ReplicaLoad> busy { { EngineStage::Prefill, 4, 1, 1, 9000 }, { EngineStage::Prefill, 4, 0, 0, 0 } };
    CHECK(replicaDemandOf(busy, speed) == ReplicaDemand { 0, 2, 2 });
    std::vector<ReplicaLoad> queued { { EngineStage::Prefill, 4, 4, 0, 200'000 } };
    CHECK(replicaDemandOf(queued, speed).prefill == doctest::Approx((1 + 1.5) / 0.5));
    CHECK(replicaDemandOf(queued, std::nullopt).prefill == doctest::Approx(2));
    std::vector<ReplicaLoad> decodes { { EngineStage::Decode, 10, 9, 3, 0 } };
    CHECK(replicaDemandOf(decodes, speed).slotted == doctest::Approx(2));
    CHECK(replicaDemandOf(decodes, speed).urgent == doctest::Approx(2.0 / 3));
}

TEST_CASE("the numbers of a large pool are decided in a bounded number of steps")
{
    auto profile = threeZones(250);
    ScalingSimulation simulation(profile);
    simulation.addReplicas("a", false, 200);
    simulation.addReplicas("b", false, 200);
    simulation.addReplicas("c", false, 200);
    simulation.demand = [](double) { return ReplicaDemand { 250, 150, 40 }; };
    simulation.run(120s);
    CHECK(simulation.lowestCoverageSince(0s) >= 1);
    CHECK(simulation.readyOfKind(false) <= 48);
}
