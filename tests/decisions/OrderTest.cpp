#include "decisions/leases/Order.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration time)
{
    return TimePoint(time);
}

OrderInputs heldEngine()
{
    OrderInputs inputs;
    inputs.lease = { EngineGroupId("a/m1"), 4, at(100s), at(0s) };
    inputs.holder = "d1/1/a/m1/4";
    inputs.desired = { 7, 3, EngineRole::Decode, ModelId("m1"), "v1", {} };
    inputs.intent = OrderIntent { inputs.holder, inputs.lease.group, 4, 2, inputs.desired };
    inputs.observed = ObservedEngine { 4, 2, inputs.desired, true };
    inputs.now = at(101s);
    return inputs;
}

} // namespace

// Guards against an order that is still in progress when the lease has ended.
TEST_CASE("orders stop 4 s before the end of the lease, counted from before the renewal was sent")
{
    Lease lease { EngineGroupId("g"), 1, at(100s), at(0s) };
    CHECK(mayOrder(lease, at(105s)));
    CHECK_FALSE(mayOrder(lease, at(106s)));
    lease.ordersAllowedFrom = at(104s);
    CHECK_FALSE(mayOrder(lease, at(103s)));
    CHECK(successorWait == 14s);
}

TEST_CASE("an engine that runs its intent is settled; a late order with a lower number is overwritten")
{
    auto inputs = heldEngine();
    CHECK(nextOrderStep(inputs).action == OrderAction::Settled);
    inputs.observed->fencingNumber = 3;
    auto step = nextOrderStep(inputs);
    CHECK(step.action == OrderAction::Send);
    CHECK(step.intent.sequence == 3);
    inputs.observed->fencingNumber = 9;
    CHECK(nextOrderStep(inputs).action == OrderAction::Yield);
}

// Guards against comparing the fencing numbers of two groups, which are counted separately.
TEST_CASE("a takeover uses a fencing number above those of the intent and of the engine")
{
    auto inputs = heldEngine();
    inputs.intent->holder = "d2/1/a/m2/20";
    inputs.intent->fencingNumber = 20;
    inputs.observed->fencingNumber = 22;
    auto step = nextOrderStep(inputs);
    CHECK(step.action == OrderAction::TakeOver);
    CHECK(step.intent.fencingNumber == 23);
    inputs.intent->desired.revision = 8;
    CHECK(nextOrderStep(inputs).action == OrderAction::Wait);
}

TEST_CASE("a change waits for the drain, for the change in progress and for the retry delay")
{
    auto inputs = heldEngine();
    inputs.desired.role = EngineRole::Prefill;
    CHECK(nextOrderStep(inputs).action == OrderAction::Drain);
    inputs.isDrained = true;
    CHECK(nextOrderStep(inputs).action == OrderAction::Send);
    inputs.retryAt = at(102s);
    CHECK(nextOrderStep(inputs).action == OrderAction::Wait);
    inputs.retryAt = {};
    inputs.observed->isReady = false;
    inputs.changingSince = at(100s);
    CHECK(nextOrderStep(inputs).action == OrderAction::Wait);
    inputs.changingSince = at(100s) - engineChangeTimeout;
    CHECK(nextOrderStep(inputs).action == OrderAction::Send);
}

TEST_CASE("an automatic role stays until a newer ticket sets the engine")
{
    Configuration configuration;
    EngineSpec engine;
    engine.setBy = 3;
    OrderIntent intent;
    intent.desired = { 5, 3, EngineRole::Prefill, ModelId("m"), "", {} };
    CHECK(desiredEngine(configuration, engine, intent, std::nullopt).role == EngineRole::Prefill);
    CHECK(desiredEngine(configuration, engine, intent, EngineRole::Decode).role == EngineRole::Decode);
    engine.setBy = 4;
    CHECK(desiredEngine(configuration, engine, intent, std::nullopt).role == EngineRole::Mixed);
}

// Guards against a change based on a load report from before the last daemon stopped sending work.
TEST_CASE("a drain ends with a fresh report of no running work, or at its timeout")
{
    DrainProgress drain { at(0s), at(0s), at(2s), 0, at(2s) };
    CHECK_FALSE(isDrained(drain, at(10s)));
    drain.reportedAt = at(3s);
    CHECK(isDrained(drain, at(10s)));
    drain.running = 1;
    CHECK_FALSE(isDrained(drain, at(10s)));
    CHECK(isDrained(drain, at(0s) + drainTimeout));
    CHECK(maximumUnavailable(1) == 1);
    CHECK(maximumUnavailable(14) == 1);
    CHECK(maximumUnavailable(130) == 13);
    CHECK(slowStartShare(15s) == doctest::Approx(0.55));
}

TEST_CASE("engines for the model with the smallest ready share are drained first")
{
    auto order = sortedByUrgency({ { EngineId("e1"), 3, 4, at(1s) }, { EngineId("e2"), 1, 4, at(2s) }, { EngineId("e3"), 1, 4, at(1s) } });
    CHECK(order[0].engine == EngineId("e3"));
    CHECK(order[2].engine == EngineId("e1"));
}

// Guards against leases that are all held by one daemon or in another region.
TEST_CASE("holders are spread over the members of the group's region")
{
    std::vector<MemberRecord> members;
    for (auto id : { "d1", "d2", "d3", "d4" })
        members.push_back({ DaemonId(id), 1, 0, MemberState::Ready, AvailabilityZone("a"), Region(id[1] < '4' ? "r" : "far"), "", "", 0, 0 });
    std::map<DaemonId, int> holders;
    for (int i = 0; i < 300; ++i)
        ++holders[*preferredHolder(EngineGroupId("a/m" + std::to_string(i)), Region("r"), members)];
    CHECK(holders.size() == 3);
    for (const auto& [id, count] : holders)
        CHECK(count > 60);
    CHECK(preferredHolder(EngineGroupId("x"), Region("empty"), members));
}
