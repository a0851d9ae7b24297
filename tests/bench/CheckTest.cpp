#include "bench/report/Check.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace chestnut::bench;

TEST_CASE("the list of known broken bounds is exact")
{
    // Guards against a check that passes over a new broken bound, or keeps listing one that holds again.
    std::istringstream text("test: a case\nbench: a/spike/live_done/round_robin\n   bench: indented\nbench: a/spike/extra/target\n");
    auto ids = knownRedIds(text);
    REQUIRE(ids == std::vector<std::string> { "a/spike/live_done/round_robin", "a/spike/extra/target" });
    auto split = splitByKnown({ { "a/spike/live_done/round_robin", "97" }, { "a/spike/in_time/round_robin", "98" } }, ids);
    CHECK(split.known == std::vector<std::string> { "a/spike/live_done/round_robin: 97" });
    CHECK(split.unexpected == std::vector<std::string> { "a/spike/in_time/round_robin: 98" });
    CHECK(split.stale == std::vector<std::string> { "a/spike/extra/target" });
}

TEST_CASE("a bound against a baseline has an id without figures")
{
    // Guards against ids that change with each run, which no list could name.
    Row ours;
    ours.deployment = "a";
    ours.scenario = "spike";
    ours.policy = "ours";
    ours.liveDone = 90;
    auto baseline = ours;
    baseline.policy = "round_robin";
    baseline.liveDone = 91;
    auto broken = checkBounds({ ours, baseline });
    REQUIRE(broken.size() == 1);
    CHECK(broken.front().id == "a/spike/live_done/round_robin");
}
