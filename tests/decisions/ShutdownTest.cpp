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
    CHECK(mayStart(plan, begin + 1s, begin + 16s));
    CHECK(mayStart(plan, begin + 4200ms, begin + 7s));
    CHECK_FALSE(mayStart(plan, begin + 4200ms, begin + 19s));
}
