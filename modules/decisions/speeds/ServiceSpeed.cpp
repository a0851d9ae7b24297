#include "decisions/speeds/ServiceSpeed.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Weight of the samples from which on an estimate is used. */
    constexpr double fewestSamples = 4;
    /** A sample counts as at most this multiple of the present estimate. */
    constexpr double outlierMultiple = 4;
    /** Smallest ratio of the variance of the token counts to their squared mean for a fit with two parameters. */
    constexpr double smallestSpread = 0.05;

    double millisecondsOf(Duration duration)
    {
        return toSeconds(duration) * 1000;
    }

    /** A fit through the origin, which is exact when no part of the time is fixed. */
    PrefillSpeed proportionalFit(const PrefillSamples& samples)
    {
        return { samples.tokens / std::max(samples.milliseconds, 1e-3), 0 };
    }

    std::optional<PrefillSpeed> fitPrefill(const PrefillSamples& samples)
    {
        if (samples.count < fewestSamples || samples.tokens <= 0)
            return std::nullopt;
        auto meanTokens = samples.tokens / samples.count;
        auto meanTime = samples.milliseconds / samples.count;
        auto variance = samples.tokensSquared / samples.count - meanTokens * meanTokens;
        auto covariance = samples.tokensTimesMilliseconds / samples.count - meanTokens * meanTime;
        if (variance < smallestSpread * meanTokens * meanTokens || covariance <= 0)
            return proportionalFit(samples);
        auto millisecondsPerToken = covariance / variance;
        auto fixed = meanTime - millisecondsPerToken * meanTokens;
        if (fixed < 0)
            return proportionalFit(samples);
        return PrefillSpeed { 1 / millisecondsPerToken, fixed };
    }

    std::optional<Duration> meanOf(const TimeSamples& samples)
    {
        if (samples.count < fewestSamples)
            return std::nullopt;
        return fromSeconds(samples.milliseconds / samples.count / 1000);
    }

    void scale(TimeSamples& samples, double factor)
    {
        samples.count *= factor;
        samples.milliseconds *= factor;
    }

    void add(TimeSamples& sum, const TimeSamples& samples)
    {
        sum.count += samples.count;
        sum.milliseconds += samples.milliseconds;
    }

} // namespace

Duration expectedPrefillTime(const PrefillSpeed& speed, double tokens)
{
    return fromSeconds((speed.fixedMilliseconds + tokens / speed.tokensPerMillisecond) / 1000);
}

void addPrefill(PrefillSamples& samples, double tokens, Duration time)
{
    if (auto speed = fitPrefill(samples))
        time = std::min(time, expectedPrefillTime(*speed, tokens) * static_cast<int>(outlierMultiple));
    auto milliseconds = millisecondsOf(time);
    samples.count += 1;
    samples.tokens += tokens;
    samples.milliseconds += milliseconds;
    samples.tokensSquared += tokens * tokens;
    samples.tokensTimesMilliseconds += tokens * milliseconds;
}

void addTime(TimeSamples& samples, Duration time)
{
    if (auto mean = meanOf(samples))
        time = std::min(time, *mean * static_cast<int>(outlierMultiple));
    samples.count += 1;
    samples.milliseconds += millisecondsOf(time);
}

void scale(ServiceSamples& samples, double factor)
{
    auto& prefill = samples.prefill;
    prefill.count *= factor;
    prefill.tokens *= factor;
    prefill.milliseconds *= factor;
    prefill.tokensSquared *= factor;
    prefill.tokensTimesMilliseconds *= factor;
    scale(samples.firstEvent, factor);
    scale(samples.eventGap, factor);
    scale(samples.occupancy, factor);
}

void add(ServiceSamples& sum, const ServiceSamples& samples)
{
    sum.prefill.count += samples.prefill.count;
    sum.prefill.tokens += samples.prefill.tokens;
    sum.prefill.milliseconds += samples.prefill.milliseconds;
    sum.prefill.tokensSquared += samples.prefill.tokensSquared;
    sum.prefill.tokensTimesMilliseconds += samples.prefill.tokensTimesMilliseconds;
    add(sum.firstEvent, samples.firstEvent);
    add(sum.eventGap, samples.eventGap);
    add(sum.occupancy, samples.occupancy);
}

ServiceSpeed estimateSpeed(const ServiceSamples& samples)
{
    return { fitPrefill(samples.prefill), meanOf(samples.firstEvent), meanOf(samples.eventGap), meanOf(samples.occupancy) };
}

} // namespace chestnut
