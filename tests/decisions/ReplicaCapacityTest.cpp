#include "decisions/CapacitySimulation.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr size_t fleetSize = 100;

SimulatedResult simulate(const std::vector<SimulatedReplica>& replicas, const SimulatedLoad& load, SimulatedDecision decision)
{
    return CapacitySimulation(replicas, load, decision).run();
}

/** The load that occupies this share of the slots of equal replicas. */
SimulatedLoad loadOf(const std::vector<SimulatedReplica>& replicas, double occupied, size_t daemons = fleetSize)
{
    SimulatedLoad load;
    load.daemons = daemons;
    load.requestsPerSecond = static_cast<double>(replicas.size() * replicas.front().slots) * occupied / load.meanSeconds;
    return load;
}

double halfSpeed(double)
{
    return 0.5;
}

/** Speed 1, and for 15% of the moments of 0.6 s slower by a factor of 2.5. */
std::function<double(double)> noisySpeed(size_t replica)
{
    return [replica](double seconds) {
        auto moment = static_cast<uint64_t>(seconds / 0.6);
        return ((moment * 2'654'435'761U + replica * 40'503U) >> 7U) % 100 < 15 ? 0.4 : 1.0;
    };
}

/** Calls at all loads, of replicas whose time at a load is given, with deviations of up to a half. */
std::vector<CapacitySamples> samplesOf(size_t replicas, size_t calls, const std::function<double(size_t replica, double load)>& timeAt, uint64_t seed = 3)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> load(0, 1);
    std::uniform_real_distribution<double> deviation(0.5, 1.5);
    std::vector<CapacitySamples> group(replicas);
    for (size_t i = 0; i < replicas; ++i) {
        for (size_t call = 0; call < calls; ++call) {
            auto share = load(random);
            addSample(group[i], share, timeAt(i, share) * deviation(random));
        }
    }
    return group;
}

PlacementView viewWith(const char* zone, uint32_t requests, uint32_t peerRequests = 0)
{
    PlacementView view;
    view.id = ReplicaId("i-" + std::string(zone) + std::to_string(requests));
    view.zone = AvailabilityZone(zone);
    view.slots = 6;
    view.requests = requests;
    view.peerRequests = peerRequests;
    return view;
}

} // namespace

// Guards against capacities that are learned from chance.
TEST_CASE("replicas of equal speed have exactly equal capacities, except for a rare deviation of a few percent")
{
    size_t deviating = 0;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        for (const auto& capacity : estimateCapacities(samplesOf(
                 8, seed * 15, [](size_t, double) { return 1; }, seed))) {
            deviating += capacity.speed != 1 || capacity.limitShare != 1 ? 1 : 0;
            CHECK(capacity.speed > 0.95);
            CHECK(capacity.speed < 1.05);
            CHECK(capacity.limitShare > 0.95);
        }
    }
    // Of 160 replicas. Chance exceeds the statistical error now and then.
    CHECK(deviating <= 2);
    CHECK(estimateCapacities({}).empty());
    std::vector<CapacitySamples> unknown(3);
    for (const auto& capacity : estimateCapacities(unknown)) {
        CHECK(capacity.speed == 1);
        CHECK(capacity.limitShare == 1);
    }
}

TEST_CASE("a time that increases mildly with the load leaves the limit at the slots")
{
    for (const auto& capacity : estimateCapacities(samplesOf(8, 100, [](size_t, double load) { return 1 + 0.5 * load; }))) {
        CHECK(capacity.limitShare > 0.95);
        CHECK(capacity.speed == 1);
    }
}

TEST_CASE("the weight of a replica is its speed relative to the others, at any load")
{
    for (auto highest : { 0.3, 1.0 }) {
        auto capacities = estimateCapacities(samplesOf(5, 200, [&](size_t replica, double load) { return (1 + load * highest) * (replica == 0 ? 2 : 1); }));
        CHECK(capacities[0].speed > 0.45);
        CHECK(capacities[0].speed < 0.6);
        CHECK(capacities[1].speed == 1);
    }
}

TEST_CASE("a replica that slows down at 60% of its slots gets a lower limit and keeps its weight")
{
    auto capacities = estimateCapacities(samplesOf(8, 200, [](size_t replica, double load) { return replica == 0 && load > 0.6 ? 2 : 1; }));
    CHECK(capacities[0].limitShare < 0.7);
    CHECK(capacities[0].limitShare >= 0.4);
    CHECK(capacities[0].speed > 0.9);
    CHECK(capacities[1].limitShare == 1);
    // When all replicas do so, all get the limit.
    for (const auto& capacity : estimateCapacities(samplesOf(8, 200, [](size_t, double load) { return load > 0.6 ? 2 : 1; })))
        CHECK(capacity.limitShare < 0.7);
}

// Guards against a replica that stays limited because it gets no calls that would show its recovery.
TEST_CASE("the capacity returns to the default when the samples age, without calls")
{
    auto group = samplesOf(8, 200, [](size_t replica, double load) { return replica == 0 ? (load > 0.6 ? 4 : 2) : 1; });
    CHECK(estimateCapacities(group)[0].speed < 0.6);
    scale(group[0], 0.002);
    auto recovered = estimateCapacities(group);
    CHECK(recovered[0].speed == 1);
    CHECK(recovered[0].limitShare == 1);
}

TEST_CASE("refusals with free slots lower the limit, and refusals of a full replica do not")
{
    auto group = samplesOf(4, 100, [](size_t, double) { return 1; });
    for (int i = 0; i < 40; ++i) {
        addRefusal(group[0], 0.75);
        addRefusal(group[0], 0.95);
        addRefusal(group[1], 1.5);
    }
    auto capacities = estimateCapacities(group);
    CHECK(capacities[0].limitShare < 0.8);
    CHECK(capacities[1].limitShare == 1);
}

TEST_CASE("errors have a share of the responses and do not change the speed")
{
    auto group = samplesOf(3, 60, [](size_t, double) { return 1; });
    for (int i = 0; i < 20; ++i)
        addError(group[0]);
    auto capacities = estimateCapacities(group);
    CHECK(capacities[0].errorShare > 0.2);
    CHECK(capacities[0].errorShare < 0.26);
    CHECK(capacities[0].speed == 1);
    CHECK(capacities[1].errorShare == 0);
}

// Guards against one daemon that decides for all.
TEST_CASE("a daemon that reports false sums changes little")
{
    std::vector<CapacitySamples> reports(30);
    for (auto& report : reports) {
        for (int call = 0; call < 3; ++call)
            addSample(report, 0.3, 1);
    }
    for (auto& sums : reports.front().bands)
        sums = { 1e12, 1e15 };
    reports.front().squaredRatios = 1e18;
    reports.front().errors = 1e12;
    auto sum = sumOfReports(reports);
    CHECK(callsOf(sum) + sum.errors < 30 * 3 * 1.2);
    CHECK(sum.bands[0].timeRatios / sum.bands[0].count < 1.2);
}

TEST_CASE("without other daemons the least occupied replica is chosen")
{
    std::vector views { viewWith("a", 2), viewWith("a", 1), viewWith("b", 0) };
    CHECK(chooseByFreeCapacity(views, AvailabilityZone("a"), {}) == chooseLeastOccupied(views, AvailabilityZone("a")));
    CHECK_FALSE(chooseByFreeCapacity({}, AvailabilityZone("a"), UnseenLoad {}).has_value());
    for (auto& view : views)
        view.isEjected = true;
    CHECK_FALSE(chooseByFreeCapacity(views, AvailabilityZone("a"), UnseenLoad {}).has_value());
}

// Guards against requests that cross zones, which is billed, because of the random choice.
TEST_CASE("a request stays in its zone while the load of the zones is equal")
{
    std::vector views { viewWith("a", 3, 3), viewWith("b", 3, 3), viewWith("c", 3, 3) };
    for (double draw = 0; draw < 1; draw += 0.05) {
        CHECK(chooseByFreeCapacity(views, AvailabilityZone("b"), UnseenLoad { 0.1, draw }) == 1);
        CHECK(chooseByFreeCapacity(views, AvailabilityZone("b"), UnseenLoad { 0.99, draw }) == 1);
    }
    // Without a replica in its own zone it goes to each of the others.
    std::set<size_t> chosen;
    for (double draw = 0; draw < 1; draw += 0.05)
        chosen.insert(*chooseByFreeCapacity(views, AvailabilityZone("d"), UnseenLoad { 0.5, draw }));
    CHECK(chosen.size() == 3);
}

TEST_CASE("old counts are used in proportion to what they still say")
{
    std::vector views { viewWith("a", 0), viewWith("a", 5, 5) };
    auto countFirst = [&](double replacedShare) {
        int first = 0;
        for (double draw = 0.005; draw < 1; draw += 0.01)
            first += chooseByFreeCapacity(views, AvailabilityZone("a"), UnseenLoad { replacedShare, draw }) == 0 ? 1 : 0;
        return first;
    };
    CHECK(countFirst(0) == 100);
    CHECK(countFirst(0.5) > 80);
    CHECK(countFirst(1) < 65);
    CHECK(replacedShareAfter(0ms, 100ms) == 0);
    CHECK(replacedShareAfter(1s, 100ms) > 0.99);
}

// Guards against daemons that all choose the same free replica until their counts are renewed.
TEST_CASE("100 daemons with counts 50 to 300 ms old distribute the load so that few requests wait")
{
    std::vector<SimulatedReplica> replicas(8);
    auto load = loadOf(replicas, 0.6);
    auto present = simulate(replicas, load, SimulatedDecision::Present);
    auto learned = simulate(replicas, load, SimulatedDecision::Learned);
    CHECK(learned.waitedShare < present.waitedShare / 2);
    CHECK(learned.p99 < present.p99);
    // Equal replicas are served at least as evenly.
    auto spread = [](const SimulatedResult& result) { return std::ranges::max(result.share) - std::ranges::min(result.share); };
    CHECK(spread(learned) <= spread(present));
    // Of plain calls that are shorter than the counts are old.
    for (size_t i = 0; i < 3; ++i)
        replicas[i] = { AvailabilityZone(std::string(1, static_cast<char>('a' + i))), 6 };
    replicas.resize(3);
    load.requestsPerSecond = 400;
    load.meanSeconds = 0.03;
    auto presentPlain = simulate(replicas, load, SimulatedDecision::Present);
    auto learnedPlain = simulate(replicas, load, SimulatedDecision::Learned);
    CHECK(learnedPlain.waitedShare < presentPlain.waitedShare * 0.7);
    CHECK(learnedPlain.p99 < presentPlain.p99);
    CHECK(learnedPlain.otherZoneShare < presentPlain.otherZoneShare);
}

TEST_CASE("a replica of half speed gets less of the work, and the slowest requests are faster")
{
    std::vector<SimulatedReplica> replicas(8);
    replicas[0].speed = halfSpeed;
    for (auto occupied : { 0.5, 0.85 }) {
        auto load = loadOf(replicas, occupied);
        auto present = simulate(replicas, load, SimulatedDecision::Present);
        auto learned = simulate(replicas, load, SimulatedDecision::Learned);
        CHECK(learned.shareOfFirst(1) < present.shareOfFirst(1));
        CHECK(learned.p99 < present.p99 * 0.85);
        CHECK(learned.meanSeconds < present.meanSeconds);
    }
}

TEST_CASE("replicas that slow down at 60% of their slots are loaded less")
{
    for (auto power : { 1.0, 2.0 }) {
        std::vector<SimulatedReplica> replicas(8);
        for (size_t i = 0; i < 2; ++i) {
            replicas[i].kneeShare = 0.6;
            replicas[i].kneePower = power;
        }
        auto load = loadOf(replicas, 0.75);
        auto present = simulate(replicas, load, SimulatedDecision::Present);
        auto learned = simulate(replicas, load, SimulatedDecision::Learned);
        CHECK(learned.p99 < present.p99 * 0.85);
        CHECK(learned.meanSeconds < present.meanSeconds);
        CHECK(learned.waitedShare < present.waitedShare);
    }
}

TEST_CASE("the weight follows a speed that halves or doubles within 15 s")
{
    for (auto isSlowLater : { true, false }) {
        auto before = isSlowLater ? 1.0 : 0.5;
        auto after = isSlowLater ? 0.5 : 1.0;
        std::vector<SimulatedReplica> replicas(8);
        replicas[0].speed = [before, after](double seconds) { return seconds < 25 ? before : after; };
        auto load = loadOf(replicas, 0.6);
        load.warmUp = 10;
        load.seconds = 25;
        auto earlier = simulate(replicas, load, SimulatedDecision::Learned);
        load.warmUp = 40;
        load.seconds = 55;
        auto later = simulate(replicas, load, SimulatedDecision::Learned);
        const auto& slow = isSlowLater ? later : earlier;
        const auto& equal = isSlowLater ? earlier : later;
        CHECK(slow.capacities[0].speed < 0.75);
        CHECK(slow.shareOfFirst(1) < 0.09);
        CHECK(equal.capacities[0].speed > 0.9);
        CHECK(equal.shareOfFirst(1) > 0.1);
    }
}

// Guards against capacities that follow noise, which would move the load to and fro.
TEST_CASE("moments of noise leave the weights of equal replicas as they are")
{
    std::vector<SimulatedReplica> replicas(38);
    for (size_t i = 0; i < replicas.size(); ++i) {
        replicas[i].zone = AvailabilityZone(std::string(1, static_cast<char>('a' + i % 3)));
        replicas[i].speed = noisySpeed(i);
    }
    auto load = loadOf(replicas, 0.6);
    load.isExponential = true;
    load.isTimePerToken = true;
    auto present = simulate(replicas, load, SimulatedDecision::Present);
    auto learned = simulate(replicas, load, SimulatedDecision::Learned);
    CHECK(learned.waitedShare < present.waitedShare);
    CHECK(learned.meanSeconds < present.meanSeconds);
    for (const auto& capacity : learned.capacities) {
        CHECK(capacity.speed > 0.85);
        CHECK(capacity.speed < 1.15);
        CHECK(capacity.limitShare > 0.8);
    }
}

TEST_CASE("in a pool with speeds from 0.55 to 1.2 the slow replicas get less of the work")
{
    std::vector<SimulatedReplica> replicas(38);
    for (size_t i = 0; i < replicas.size(); ++i) {
        replicas[i].zone = AvailabilityZone(std::string(1, static_cast<char>('a' + i % 3)));
        auto base = 0.55 + 0.65 * static_cast<double>(i) / 37;
        replicas[i].speed = [base, noise = noisySpeed(i)](double seconds) { return base * noise(seconds); };
    }
    auto load = loadOf(replicas, 0.45);
    load.isExponential = true;
    load.isTimePerToken = true;
    auto present = simulate(replicas, load, SimulatedDecision::Present);
    auto learned = simulate(replicas, load, SimulatedDecision::Learned);
    CHECK(learned.shareOfFirst(8) < present.shareOfFirst(8) * 0.8);
    CHECK(learned.waitedShare < present.waitedShare);
    CHECK(learned.meanSeconds < present.meanSeconds);
}

TEST_CASE("a daemon with false sums does not move the work to a slow replica")
{
    std::vector<SimulatedReplica> replicas(8);
    replicas[0].speed = halfSpeed;
    auto load = loadOf(replicas, 0.5);
    auto present = simulate(replicas, load, SimulatedDecision::Present);
    CapacitySimulation simulation(replicas, load, SimulatedDecision::Learned);
    simulation.falsifyReports = [](std::vector<CapacitySamples>& reports) {
        auto isSlow = reports.front().replica == ReplicaId("i-0");
        for (auto& sums : reports.front().bands)
            sums = { 1e9, isSlow ? 1e8 : 4e9 };
    };
    auto deceived = simulation.run();
    CHECK(deceived.shareOfFirst(1) < present.shareOfFirst(1));
    CHECK(deceived.p99 < present.p99);
}
