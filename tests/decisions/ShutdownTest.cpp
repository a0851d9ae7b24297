#include "decisions/drains/Shutdown.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

// Guards against a stream that is cut by a shutdown (search seed 36423820774 of the scenario tr-spares): a stream of up to
// 15 s was started 4.2 s after SIGTERM at a daemon that ended 3.8 s later.
TEST_CASE("a request that arrives late in a shutdown is started only if its response ends before the shutdown does")
{
    TimePoint begin { 100s };
    ShutdownPlan plan { begin, begin + 8s };
    CHECK(mayStart(plan, begin + 1s, begin + 16s, {}));
    CHECK(mayStart(plan, begin + 4200ms, begin + 7s, {}));
    CHECK_FALSE(mayStart(plan, begin + 4200ms, begin + 19s, {}));
    CHECK_FALSE(mayStart(plan, begin + 2900ms, begin + 19s, {}));
}

// Guards against requests that a short shutdown, or one of a service with long requests, takes and cuts off.
TEST_CASE("a request that is expected to outlast the shutdown is not started, and a short shutdown starts requests for less time")
{
    TimePoint begin { 100s };
    ShutdownPlan plan { begin, begin + 8s };
    CHECK(mayStart(plan, begin + 1s, begin + 60s, 3s));
    CHECK_FALSE(mayStart(plan, begin + 1s, begin + 60s, 4s));
    CHECK(mayStart(plan, begin + 1s, begin + 7s, 4s));
    ShutdownPlan brief { begin, begin + 3s };
    CHECK(mayStart(brief, begin + 1s, begin + 60s, {}));
    CHECK_FALSE(mayStart(brief, begin + 1100ms, begin + 60s, {}));
}
