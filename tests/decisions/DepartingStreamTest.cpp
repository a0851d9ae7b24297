#include "decisions/drains/DepartingStream.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

// Guards against streams that break when their engine leaves, and against a third of all streams that move at one moment.
TEST_CASE("streams leave a departing engine one after the other, and all of them in time")
{
    constexpr int streams = 100;
    int moved = 0;
    int mostInStep = 0;
    for (auto left = 2500ms; left > 0ms; left -= 50ms) {
        int now = 0;
        for (int i = 0; i < streams; ++i)
            now += shouldContinueElsewhere({ left, 1s, std::nullopt, i / double(streams) }) ? 1 : 0;
        mostInStep = std::max(mostInStep, now - moved);
        moved = now;
        if (left > 2s)
            CHECK(moved == 0);
        if (left <= 800ms)
            CHECK(moved == streams);
    }
    CHECK(mostInStep <= 10);
}

TEST_CASE("a stream that is expected to end in time stays, unless it has not ended shortly before the departure")
{
    CHECK_FALSE(shouldContinueElsewhere({ 1500ms, 400ms, 1s, 1 }));
    CHECK(shouldContinueElsewhere({ 1500ms, 400ms, 2s, 1 }));
    CHECK(shouldContinueElsewhere({ 700ms, 400ms, 450ms, 0 }));
}
