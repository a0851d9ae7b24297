#include "decisions/speeds/WaitLimits.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Multiples of the expected time. Queues and neighbours delay sound calls by small factors. */
    constexpr int prefillMultiple = 4;
    constexpr int firstEventMultiple = 8;
    constexpr int eventGapMultiple = 10;
    constexpr int responseMultiple = 4;
    /** Multiples of the latency objective, the least time before a call is abandoned: below them the response may still
        be useful, and a repetition would not be on time either. */
    constexpr int prefillObjectives = 3;
    constexpr int streamObjectives = 4;
    constexpr int responseObjectives = 2;
    /** Share of the time left that a stream may wait in such a silence. */
    constexpr double shareForSilence = 0.5;
    /** A decode engine processes prompts at half the speed of a prefill engine. */
    constexpr double decodeEngineSlowdown = 2;
    /** Share of the longest allowed pause by which a prompt may delay the streams of a decode engine. */
    constexpr double shareOfGap = 0.025;
    /** While the speed is unknown, a prompt of up to this many tokens for each token of output is short. */
    constexpr uint32_t promptTokensPerOutputToken = 4;

    std::optional<Duration> limitOf(std::optional<Duration> expected, int multiple, Duration least)
    {
        if (!expected)
            return std::nullopt;
        return std::max(*expected * multiple, least);
    }

} // namespace

std::optional<Duration> prefillWaitLimit(std::optional<Duration> expected, Duration latencyObjective)
{
    if (!expected)
        return std::nullopt;
    return *expected * prefillMultiple + latencyObjective * prefillObjectives;
}

std::optional<Duration> firstEventWaitLimit(const ServiceSpeed& speed, Duration latencyObjective)
{
    return limitOf(speed.firstEvent, firstEventMultiple, latencyObjective * streamObjectives);
}

std::optional<Duration> eventGapWaitLimit(const ServiceSpeed& speed, Duration latencyObjective, Duration timeLeft, Duration soundSilence)
{
    auto silence = std::min(soundSilence, fromSeconds(toSeconds(timeLeft) * shareForSilence));
    return limitOf(speed.eventGap, eventGapMultiple, std::max(latencyObjective * streamObjectives, silence));
}

Duration responseWaitLimit(const ServiceSpeed& speed, Duration latencyObjective)
{
    return *limitOf(speed.occupancy.value_or(Duration::zero()), responseMultiple, latencyObjective * responseObjectives);
}

bool isShortPrompt(uint32_t promptTokens, uint32_t maximumOutputTokens, const ServiceSpeed& speed, Duration gapObjective)
{
    if (!speed.prefill)
        return promptTokens <= maximumOutputTokens * promptTokensPerOutputToken;
    auto delay = promptTokens / speed.prefill->tokensPerMillisecond * decodeEngineSlowdown;
    return delay <= toSeconds(gapObjective) * 1000 * shareOfGap;
}

} // namespace chestnut
