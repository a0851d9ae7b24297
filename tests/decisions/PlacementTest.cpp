#include "decisions/discovery/Discovery.h"
#include "decisions/estimates/WorkEstimate.h"
#include "decisions/roles/Roles.h"
#include "decisions/subsets/Subsets.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr auto start = TimePoint(1000s);

std::vector<MemberRecord> members(int count, int zones)
{
    std::vector<MemberRecord> result;
    for (int index = 0; index < count; index++) {
        MemberRecord member;
        member.id = DaemonId("d" + std::to_string(index));
        member.state = MemberState::Ready;
        member.zone = AvailabilityZone("z" + std::to_string(index % zones));
        member.region = Region("r");
        member.callerAddress = "10.0.0." + std::to_string(index) + ":8000";
        result.push_back(member);
    }
    return result;
}

std::vector<RoleEngine> engines(int count)
{
    std::vector<RoleEngine> result;
    for (int index = 0; index < count; index++) {
        RoleEngine engine;
        engine.id = EngineId("e" + std::to_string(index));
        engine.zone = AvailabilityZone("z" + std::to_string(index % 2));
        result.push_back(engine);
    }
    return result;
}

} // namespace

// Guards against a subset within one zone, and against per-daemon state that grows with the fleet.
TEST_CASE("a subset is bounded, prefers the own zone and spans two zones")
{
    std::vector<SubsetCandidate> candidates;
    candidates.reserve(120);
    for (int index = 0; index < 120; index++)
        candidates.push_back({ ReplicaId("e" + std::to_string(index)), AvailabilityZone(index % 3 == 0 ? "a" : "b"), Region("r") });
    auto subset = chooseSubset(DaemonId("d"), AvailabilityZone("a"), Region("r"), candidates);
    CHECK(subset.size() == subsetSize);
    std::set<std::string> own;
    for (int index = 0; index < 120; index += 3)
        own.insert("e" + std::to_string(index));
    CHECK(std::ranges::count_if(subset, [&](const ReplicaId& id) { return own.contains(id.value()); }) == 18);
    CHECK(chooseSubset(DaemonId("d"), AvailabilityZone("a"), Region("r"), std::span(candidates).first(5)).size() == 5);
}

// Guards against entry points at leaving or full members while others are free, and against a list within one zone.
TEST_CASE("discovery lists ready members of the caller's zone first")
{
    auto all = members(12, 2);
    auto response = entryPoints(AccountId("a"), AvailabilityZone("z0"), all);
    REQUIRE(response.size() == entryPointCount);
    CHECK(response[0].zone.value() == "z0");
    CHECK(response[1].zone.value() == "z0");
    CHECK(response[2].zone.value() == "z1");
    CHECK(entryPoints(AccountId("a"), AvailabilityZone("z0"), all) == response);
    for (auto& member : all) {
        if (member.callerAddress == response[0].address)
            member.state = MemberState::Leaving;
        if (member.callerAddress == response[1].address)
            member.loadPermille = 1000;
    }
    auto moved = entryPoints(AccountId("a"), AvailabilityZone("z0"), all);
    CHECK(std::ranges::find(moved, response[0]) == moved.end());
    CHECK(std::ranges::find(moved, response[1]) == moved.end());
    CHECK(moved[0].zone.value() == "z0");
}

// Guards against role changes that flap, take a zone below its floor, or make two engines unavailable at once.
TEST_CASE("a role changes only for a lasting gain and within the limits")
{
    auto fleet = engines(4);
    // 0.9 of the engines' time is needed, most of it for prefill, but the roles guarantee most of it to decode.
    ModelDemand demand { 25600, 320 };
    for (auto& engine : fleet)
        engine.role = EngineRole::Decode;
    auto change = decideRoleChange(demand, fleet, 1, start);
    REQUIRE(change.has_value());
    CHECK(change->to == EngineRole::Prefill);
    CHECK_FALSE(decideRoleChange({ 3200, 1280 }, fleet, 1, start).has_value());
    CHECK_FALSE(decideRoleChange(demand, fleet, 2, start).has_value());
    CHECK_FALSE(decideRoleChange({ 64000, 320 }, fleet, 1, start).has_value());
    auto changing = fleet;
    changing[0].isUnavailable = true;
    CHECK_FALSE(decideRoleChange(demand, changing, 1, start).has_value());
    for (auto& engine : fleet)
        engine.roleSince = start - 59s;
    CHECK_FALSE(decideRoleChange(demand, fleet, 1, start).has_value());
    CHECK(smoothedDemand({}, { 1000, 0 }, 1s).prefillTokensPerSecond < 100);
}

// Guards against estimates that stay at the output limit although the outputs are short.
TEST_CASE("the expected output length follows finished requests")
{
    OutputLengthModel model;
    for (int sample = 0; sample < 200; sample++)
        model = withSample(model, 1000, 100);
    CHECK(estimateWork(500, 1000, model).decodeTokens == doctest::Approx(100));
    CHECK(expectedServiceTime({ 8000, 25 }, {}) == 2s);
}
