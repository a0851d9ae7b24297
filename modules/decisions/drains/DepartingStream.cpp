#include "decisions/drains/DepartingStream.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Time before the departure by which every stream is moved: a call to another engine and its first event. The time of the
        departure is known with the delay of the entry, up to half a second. */
    constexpr Duration latestMove = std::chrono::milliseconds(800);
    /** The moves are spread over this time before that. */
    constexpr Duration moveSpread = std::chrono::milliseconds(1200);

} // namespace

bool shouldContinueElsewhere(const DepartingStream& stream)
{
    if (stream.timeLeft <= latestMove)
        return true;
    auto rest = stream.expectedTime ? std::max(*stream.expectedTime - stream.elapsed, Duration::zero()) : stream.timeLeft;
    if (rest + latestMove < stream.timeLeft)
        return false;
    return toSeconds(stream.timeLeft - latestMove) <= stream.position * toSeconds(moveSpread);
}

} // namespace chestnut
