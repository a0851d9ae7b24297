#include "decisions/DecodeSimulation.h"
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
    std::map<std::pair<size_t, uint32_t>, UrgentDemand> demands; /**< of each daemon and priority */

    uint32_t keptFree(const DecodeSituation& situation)
    {
        if (situation.kind.priority == 0)
            return 0;
        uint32_t inFlight = 0;
        for (const auto& view : situation.views)
            inFlight += view.moreUrgentRequests;
        auto& demand = demands[{ situation.daemon, situation.kind.priority }];
        demand = withObservation(demand, inFlight, TimePoint(fromSeconds(situation.now / 1000)));
        return slotsKeptFree(demand, static_cast<uint32_t>(situation.views.size()), situation.views[0].slots);
    }

    DecodeStep operator()(const DecodeSituation& situation)
    {
        auto wait = expectedSlotWait(situation.views, fromSeconds(0.9), keptFree(situation));
        if (situation.calls >= maximumCalls || !wait || toSeconds(*wait) * 1000 > situation.kind.timeout - situation.waited)
            return {};
        return { DecodeStep::Action::Call, *chooseLeastOccupied(situation.views, {}) };
    }
};

DecodeRule urgencyRule()
{
    return { [rule = std::make_shared<UrgencyRule>()](const DecodeSituation& situation) { return (*rule)(situation); },
        [](const DecodeKind& kind) { return threePriorities.orderOf(kind.priority, PrefillRank::Urgent); }, threePriorities };
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
    CHECK(slotsKeptFree(demand, 12, 6) == 1);
    CHECK(slotsKeptFree(demand, 12, 2) == 0);
    demand = withObservation(demand, 20, TimePoint(1s));
    demand = withObservation(demand, 0, TimePoint(1100ms));
    CHECK(slotsKeptFree(demand, 12, 16) == 3);
    CHECK(slotsKeptFree(demand, 12, 6) == 1);
    demand = withObservation(demand, 0, TimePoint(1100ms + 8 * urgentPeakHalfLife));
    CHECK(slotsKeptFree(demand, 12, 16) == 1);
}

// Guards against urgent streams that wait for slots behind less urgent ones.
TEST_CASE("bursts of long streams delay rare urgent ones less than without priorities")
{
    for (auto bulk : { 30.0, 60.0, 120.0 }) {
        auto former = DecodeSimulation({}, burstsAgainstUrgent(bulk), formerRule()).run();
        auto present = DecodeSimulation({}, burstsAgainstUrgent(bulk), urgencyRule()).run();
        report("former", former);
        report("present", present);
        const auto& urgent = present["urgent"];
        CHECK(urgent.onTime > former["urgent"].onTime);
        CHECK(present["chat"].onTime > former["chat"].onTime);
        CHECK(present["bulk"].served() > former["bulk"].served() * 9 / 10);
    }
}
