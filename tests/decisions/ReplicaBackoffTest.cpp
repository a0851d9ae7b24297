#include "decisions/replicas/ReplicaBackoff.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

TEST_CASE("each refusal holds for the whole time that it names, but no longer than the limit")
{
    constexpr TimePoint start { 100s };
    const ReplicaId replica("i-1");
    ReplicaBackoffs backoffs;
    CHECK(applyBackoff(backoffs, replica, 1, 3s, start));
    // A shorter time in a later refusal does not end the first one.
    CHECK_FALSE(applyBackoff(backoffs, replica, 1, 500ms, start + 1s));
    CHECK(backoffEnd(backoffs, replica, 1, start + 2999ms) == start + 3s);
    CHECK_FALSE(backoffEnd(backoffs, replica, 1, start + 3s).has_value());
    expireBackoffs(backoffs, start + 3s);
    CHECK(backoffs.backoffs.empty());
    CHECK_FALSE(applyBackoff(backoffs, replica, 1, 0s, start));
    CHECK_FALSE(applyBackoff(backoffs, replica, 1, -1s, start));
    CHECK(applyBackoff(backoffs, replica, 1, 24h, start));
    CHECK_FALSE(backoffEnd(backoffs, replica, 1, start + longestBackoff).has_value());
}
