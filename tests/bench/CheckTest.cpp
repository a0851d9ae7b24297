#include "bench/report/Check.h"
#include "bench/services/ServiceRun.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace chestnut::bench;

TEST_CASE("the check reports new broken bounds and listed bounds that hold again")
{
    // Guards against a check that ignores a new broken bound, or that does not report a listed bound that holds again.
    std::istringstream text("test: a case\nbench: a/spike/live_done/round_robin\n   bench: indented\nbench: a/spike/extra/target\n");
    auto ids = knownRedIds(text);
    REQUIRE(ids == std::vector<std::string> { "a/spike/live_done/round_robin", "a/spike/extra/target" });
    auto split = splitByKnown({ { "a/spike/live_done/round_robin", "97" }, { "a/spike/in_time/round_robin", "98" } }, ids);
    CHECK(split.known == std::vector<std::string> { "a/spike/live_done/round_robin: 97" });
    CHECK(split.unexpected == std::vector<std::string> { "a/spike/in_time/round_robin: 98" });
    CHECK(split.stale == std::vector<std::string> { "a/spike/extra/target" });
}

TEST_CASE("the id of a bound against a baseline contains no figures")
{
    // Guards against ids that change with each run, so that the list of known broken bounds cannot name them.
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

TEST_CASE("hedges and retries never run a non-idempotent call twice")
{
    // Guards against duplicate orders while servers are slow, crash or refuse calls (H6).
    ServiceScenario scenario { .name = "all", .servers = 3, .seed = 5, .hasSlowdowns = true, .hasCrashes = true, .hasOutage = true };
    ServiceFigures figures;
    runService(figures, scenario, {});
    CHECK(figures.attempts > figures.calls);
    CHECK(figures.ranTwice == 0);
    ServiceFigures again;
    runService(again, scenario, {});
    CHECK(again.latencies == figures.latencies);
}
