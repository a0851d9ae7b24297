#include "decisions/DecodeSimulation.h"
#include "decisions/placement/DecodePlacement.h"
#include "decisions/urgency/DecodeReserve.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <memory>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr size_t maximumCalls = 3;

const ServicePriorities threePriorities({ 0, 1, 2 });

/** Rare urgent short streams, and bursts of long ones that exceed the capacity of 12 engines of 6 slots. */
std::vector<DecodeKind> burstsAgainstUrgent(double bulkPerSecond)
{
    return { { "urgent", 0, 12, 150, 100, 2000, 0, 0 }, { "chat", 1, 20, 700, 400, 4000, 0, 0 }, { "bulk", 2, bulkPerSecond, 1200, 1500, 8000, 1500, 4000 } };
}

/** The decision as it was: all requests have position 4, and no slot is kept free. */
DecodeRule formerRule()
{
    auto decide = [](const DecodeSituation& situation) -> DecodeStep {
        auto wait = expectedSlotWait(situation.views, fromSeconds(0.9));
        if (situation.calls >= maximumCalls || !wait || toSeconds(*wait) * 1000 > situation.kind.timeout - situation.waited)
            return {};
        return { DecodeStep::Action::Call, *chooseLeastOccupied(situation.views, {}) };
    };
    return { decide, [](const DecodeKind&) { return EnginePosition(4); }, {} };
}

/** The effective priority sets the position, and less urgent requests leave slots free. */
struct UrgencyRule {
    ServicePriorities priorities;
    std::map<std::pair<size_t, uint32_t>, UrgentDemand> demands; /**< of each daemon and priority */

    uint32_t keptFree(const DecodeSituation& situation)
    {
        if (priorities.levelOf(situation.kind.priority) == 0)
            return 0;
        uint32_t inFlight = 0;
        uint32_t slots = 0;
        for (const auto& view : situation.views) {
            inFlight += view.moreUrgentRequests;
            slots += view.slots;
        }
        auto& demand = demands[{ situation.daemon, situation.kind.priority }];
        demand = withObservation(demand, inFlight, TimePoint(fromSeconds(situation.now / 1000)));
        return slotsKeptFree(demand, slots);
    }

    DecodeStep operator()(const DecodeSituation& situation)
    {
        if (situation.calls >= maximumCalls)
            return {};
        DecodeNeed need;
        need.occupancy = fromSeconds(0.9);
        need.timeLeft = fromSeconds((situation.kind.timeout - situation.waited) / 1000);
        need.hasMoreUrgent = priorities.levelOf(situation.kind.priority) > 0;
        need.keptFree = keptFree(situation);
        need.waitingAhead = situation.hasWaited ? 0 : situation.waitingAhead;
        need.choice = situation.choice;
        auto decision = placeDecode(situation.views, need);
        switch (decision.action) {
        case DecodeAction::Call:
            return { DecodeStep::Action::Call, decision.index };
        case DecodeAction::Wait:
            return { DecodeStep::Action::Wait };
        case DecodeAction::Refuse:
            break;
        }
        return { situation.hasWaited ? DecodeStep::Action::Wait : DecodeStep::Action::Refuse };
    }
};

DecodeRule urgencyRule(const ServicePriorities& priorities, bool sharesRefusals = true)
{
    return { [rule = std::make_shared<UrgencyRule>(UrgencyRule { priorities, {} })](const DecodeSituation& situation) { return (*rule)(situation); },
        [priorities](const DecodeKind& kind) { return priorities.orderOf(kind.priority, PrefillRank::Urgent); }, priorities, sharesRefusals };
}

size_t servedIn(const std::map<std::string, DecodeOutcome>& outcomes)
{
    size_t served = 0;
    for (const auto& [kind, outcome] : outcomes)
        served += outcome.served();
    return served;
}

void report(const std::string& rule, const std::map<std::string, DecodeOutcome>& outcomes)
{
    for (const auto& [kind, outcome] : outcomes)
        MESSAGE(rule << " " << kind << ": " << outcome.requests << " requests, " << outcome.onTime << " on time, " << outcome.late << " late, " << outcome.refusedAtOnce << " refused at once, " << outcome.refusedAfterCalls << " after calls, " << outcome.calls << " calls, " << outcome.waits << " waits");
}

} // namespace

TEST_CASE("where all routes of a service have one priority, the positions at its engines do not depend on it")
{
    for (const auto& priorities : { ServicePriorities(), ServicePriorities({ 3 }), ServicePriorities({ 3, 3 }) }) {
        CHECK(priorities.orderOf(3, PrefillRank::Urgent) == 4);
        CHECK(priorities.orderOf(3, PrefillRank::Relaxed) == 5);
        CHECK(priorities.orderOf(3, PrefillRank::Deferred) == 7);
        CHECK(priorities.firstOrderOf(3) == 0);
        CHECK(priorities.endOrderOf(3) == enginePositions);
        CHECK(priorities.isDeferred(7));
        CHECK_FALSE(priorities.isDeferred(5));
    }
}

// Guards against a less urgent request that is admitted before a more urgent one, also with more priorities than positions.
TEST_CASE("a less urgent request never precedes a more urgent one that can be on time")
{
    for (uint32_t count = 2; count <= 25; ++count) {
        std::vector<uint32_t> values;
        for (uint32_t i = 0; i < count; ++i)
            values.push_back(i * 7);
        ServicePriorities priorities(values);
        for (uint32_t i = 0; i < count; ++i) {
            auto onTime = priorities.orderOf(values[i], PrefillRank::Urgent);
            CHECK(onTime <= priorities.orderOf(values[i], PrefillRank::Relaxed));
            CHECK(priorities.orderOf(values[i], PrefillRank::Relaxed) <= priorities.orderOf(values[i], PrefillRank::Deferred));
            CHECK(priorities.orderOf(values[i], PrefillRank::Deferred) < enginePositions);
            CHECK(priorities.firstOrderOf(values[i]) <= onTime);
            CHECK(priorities.orderOf(values[i], PrefillRank::Deferred) < priorities.endOrderOf(values[i]));
            if (i == 0)
                continue;
            CHECK(priorities.orderOf(values[i - 1], PrefillRank::Relaxed) <= onTime);
            if (count <= enginePositions)
                CHECK(priorities.orderOf(values[i - 1], PrefillRank::Deferred) < onTime);
        }
    }
}

TEST_CASE("the priorities of accounts between and beyond those of the routes have a place in the order")
{
    ServicePriorities priorities({ 0, 5 });
    CHECK(priorities.levelOf(0) == 0);
    CHECK(priorities.levelOf(3) == 1);
    CHECK(priorities.levelOf(9) == 1);
}

// Guards against an urgent prompt that is placed behind the long prompts of less urgent requests.
TEST_CASE("an urgent prompt does not wait for less urgent ones, even when it will be late")
{
    std::vector<PlacementView> views(1);
    views[0].queued = amountAt(90'000.0, threePriorities.orderOf(2, PrefillRank::Urgent));
    PromptShape prompt { "m", 220, 72, {} };
    PrefillSpeed speed { 300, 2 };
    PromptUrgency urgent { 0, PrefillRank::Urgent, threePriorities };
    CHECK(choosePrefillEngine(prompt, views, speed, 1s, urgent)->workTokens == 220);
    CHECK(choosePrefillEngine(prompt, views, speed, Duration::zero(), urgent)->workTokens == 220);
    PromptUrgency bulk { 2, PrefillRank::Urgent, threePriorities };
    CHECK(choosePrefillEngine(prompt, views, speed, 1s, bulk)->workTokens == 90'220);
}

TEST_CASE("slots are kept free for as many urgent requests as recently, and never too many")
{
    UrgentDemand demand;
    CHECK(slotsKeptFree(demand, 72) == 1);
    CHECK(slotsKeptFree(demand, 2) == 0);
    demand = withObservation(demand, 20, TimePoint(1s));
    demand = withObservation(demand, 0, TimePoint(1100ms));
    CHECK(slotsKeptFree(demand, 720) == 25);
    CHECK(slotsKeptFree(demand, 72) == 21);
    demand = withObservation(demand, 0, TimePoint(1100ms + 8 * urgentPeakHalfLife));
    CHECK(slotsKeptFree(demand, 720) == 1);
}

// Guards against urgent streams that wait for slots behind less urgent ones, or are refused while those are accepted.
TEST_CASE("bursts of long streams do not delay or displace rare urgent ones")
{
    for (auto preempts : { false, true }) {
        for (auto queueLimit : { 2U, 6U }) {
            for (auto bulk : { 60.0, 120.0 }) {
                DecodeFleet fleet;
                fleet.preempts = preempts;
                fleet.queueLimit = queueLimit;
                auto former = DecodeSimulation(fleet, burstsAgainstUrgent(bulk), formerRule()).run();
                auto present = DecodeSimulation(fleet, burstsAgainstUrgent(bulk), urgencyRule(threePriorities)).run();
                MESSAGE("engines preempt: " << preempts << ", queue " << queueLimit << ", long streams a second: " << bulk);
                report("former", former);
                report("present", present);
                const auto& urgent = present["urgent"];
                CHECK(urgent.share(urgent.onTime) > (preempts ? 0.98 : 0.85));
                CHECK(urgent.onTime > former["urgent"].onTime);
                CHECK(urgent.served() == urgent.requests);
                CHECK(present["chat"].onTime > former["chat"].onTime);
                CHECK(present["chat"].share(present["chat"].served()) >= present["bulk"].share(present["bulk"].served()));
                // The less urgent streams get the capacity that is left, and nearly all that cannot are refused before a call.
                CHECK(servedIn(present) >= servedIn(former) * 95 / 100);
                CHECK(present["bulk"].refusedAfterCalls < former["bulk"].refusedAfterCalls / 10);
            }
        }
    }
}

// Guards against prompts that are read and then refused by full engines, one after the other.
TEST_CASE("nearly full engines are not called by daemons with old counts")
{
    for (auto load : { 0.9, 1.0, 1.3 }) {
        for (auto queueLimit : { 2U, 6U }) {
            DecodeFleet fleet;
            fleet.queueLimit = queueLimit;
            std::vector<DecodeKind> kinds { { "chat", 0, load * 12 * 6 / 0.9, 900, 600, 6000, 0, 0 } };
            auto former = DecodeSimulation(fleet, kinds, formerRule()).run()["chat"];
            auto present = DecodeSimulation(fleet, kinds, urgencyRule({})).run()["chat"];
            auto alone = DecodeSimulation(fleet, kinds, urgencyRule({}, false)).run()["chat"];
            MESSAGE("queue " << queueLimit << ", load " << load);
            report("former", { { "chat", former } });
            report("refusals known to one daemon", { { "chat", alone } });
            report("present", { { "chat", present } });
            CHECK(present.served() >= former.served());
            CHECK(present.refusedAfterCalls <= former.refusedAfterCalls / 5);
            CHECK(present.calls - present.served() <= (former.calls - former.served()) / 2);
        }
    }
}

TEST_CASE("a decode is placed with equal chances at engines that differ by one request, and prefers its own zone")
{
    std::vector<PlacementView> views(4);
    for (size_t i = 0; i < views.size(); ++i) {
        views[i].id = ReplicaId("i-" + std::to_string(i));
        views[i].slots = 6;
        views[i].zone = AvailabilityZone(i < 3 ? "a" : "b");
    }
    views[1].requests = 1;
    views[2].requests = 3;
    DecodeNeed need;
    need.timeLeft = 1s;
    need.ownZone = AvailabilityZone("a");
    std::map<size_t, int> counts;
    for (need.choice = 0; need.choice < 100; ++need.choice)
        ++counts[placeDecode(views, need).index];
    CHECK(counts == std::map<size_t, int> { { 0, 50 }, { 1, 50 } });
}

// Guards against a refusal reported by one peer that takes an engine out of use.
TEST_CASE("a decode waits while all engines are at the load at which they refuse, and is refused when it would wait too long")
{
    std::vector<PlacementView> views(2);
    for (auto& view : views) {
        view.slots = 4;
        view.requests = 5;
        view.requestsAtRefusal = 5;
    }
    DecodeNeed need;
    need.occupancy = 400ms;
    need.timeLeft = 1s;
    CHECK(placeDecode(views, need).action == DecodeAction::Wait);
    CHECK_FALSE(lastResortEngine(views, {}).has_value());
    views[1].requests = 4;
    CHECK(placeDecode(views, need) == DecodeDecision { DecodeAction::Call, 1, 100ms });
    CHECK(lastResortEngine(views, {}) == 1);
    need.timeLeft = 50ms;
    CHECK(placeDecode(views, need).action == DecodeAction::Refuse);
    need.timeLeft = 10s;
    need.waitingAhead = 11;
    CHECK(placeDecode(views, need).action == DecodeAction::Refuse);
    // The slots become free while the prompt is read.
    need.startsIn = 1s;
    CHECK(placeDecode(views, need).action == DecodeAction::Call);
}
