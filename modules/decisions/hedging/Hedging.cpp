#include "decisions/hedging/Hedging.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** The buckets cover ratios from 0.05 to 50, each 11% wide. */
    constexpr double lowestRatio = 0.05;
    constexpr double highestRatio = 50;
    constexpr double minimumSamples = 20;
    /** Counts are halved at this total, so that the quantile follows changes within some hundred requests. */
    constexpr double fadingTotal = 1000;
    constexpr double hedgeQuantile = 0.95;
    constexpr double maximumHedgeShare = 0.05;
    constexpr Duration minimumHedgeDelay = std::chrono::milliseconds(20);

    size_t bucketOf(double ratio)
    {
        auto position = std::log(std::max(ratio, lowestRatio) / lowestRatio) / std::log(highestRatio / lowestRatio);
        auto bucket = static_cast<size_t>(position * static_cast<double>(LatencyQuantiles::bucketCount));
        return std::min(bucket, LatencyQuantiles::bucketCount - 1);
    }

    double upperEdge(size_t bucket)
    {
        auto position = static_cast<double>(bucket + 1) / static_cast<double>(LatencyQuantiles::bucketCount);
        return lowestRatio * std::pow(highestRatio / lowestRatio, position);
    }

} // namespace

void addSample(LatencyQuantiles& quantiles, double latencyRatio)
{
    if (quantiles.total >= fadingTotal) {
        for (auto& count : quantiles.counts)
            count /= 2;
        quantiles.total /= 2;
    }
    quantiles.counts[bucketOf(latencyRatio)] += 1;
    quantiles.total += 1;
}

std::optional<double> quantile(const LatencyQuantiles& quantiles, double share)
{
    if (quantiles.total < minimumSamples)
        return std::nullopt;
    auto wanted = share * quantiles.total;
    double seen = 0;
    for (size_t bucket = 0; bucket < LatencyQuantiles::bucketCount; bucket++) {
        seen += quantiles.counts[bucket];
        if (seen >= wanted)
            return upperEdge(bucket);
    }
    return highestRatio;
}

std::optional<Duration> hedgeDelay(const HedgeQuery& query, const LatencyQuantiles& quantiles, const HedgeBudget& budget)
{
    if (!query.isIdempotent || query.isLong || query.hasFirstByte || query.attempts != 1 || query.priorityClass != PriorityClass::Live)
        return std::nullopt;
    if (budget.hedges + 1 > budget.requests * maximumHedgeShare)
        return std::nullopt;
    auto ratio = quantile(quantiles, hedgeQuantile);
    if (!ratio)
        return std::nullopt;
    return std::max(minimumHedgeDelay, fromSeconds(toSeconds(query.expectedLatency) * *ratio));
}

} // namespace chestnut
