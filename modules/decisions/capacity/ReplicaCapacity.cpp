#include "decisions/capacity/ReplicaCapacity.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Bounds of the time ratio of one call and of the mean that a daemon reports. */
    constexpr double lowestRatio = 0.125;
    constexpr double highestRatio = 4;
    /** A report counts as at most this multiple of the median report, or this number of calls. */
    constexpr double reportMultiple = 4;
    constexpr double leastReportLimit = 4;
    /** Reports of fewer calls are left out of the median: most daemons have hardly used a given replica. */
    constexpr double leastMedianReport = 0.5;
    /** Weight of the assumption that a replica is like its group. */
    constexpr double priorCalls = 4;
    /** Loads at which the bands are compared, as shares of the slots. */
    constexpr std::array<double, loadBands - 1> bandLoads { 0.25, 0.5, 0.7, 0.9 };
    /** Weight of the bands for the speed. A replica that slows down at high load has a lower limit and not a lower speed. */
    constexpr std::array<double, loadBands> speedWeights { 1, 1, 0.5, 0.25, 0.25 };
    /** Deviations of the logarithm of a mean below this many standard errors, or this value, count as none. */
    constexpr double standardErrors = 2.5;
    constexpr double leastDeviation = 0.1;
    /** The gain is the relative increase of the throughput over that of the load. The limit ends where it is below the first
        value, and begins to fall below the second one. */
    constexpr double leastGain = 0.25;
    constexpr double fullGain = 0.75;
    /** Bounds of the variance of a single ratio, relative to its squared mean. Without samples it is that of exponentially
        distributed times. */
    constexpr double lowestVariance = 0.1;
    constexpr double highestVariance = 2;
    constexpr double priorVariance = 1;
    constexpr size_t fewestForMedian = 3;
    constexpr int fitRounds = 4;

    using BandCurve = std::array<double, loadBands>;

    size_t bandOf(double loadShare)
    {
        return static_cast<size_t>(std::ranges::lower_bound(loadBandEnds, loadShare) - loadBandEnds.begin());
    }

    /** A deviation from zero counts in full from twice the insignificant value on, without a jump between. */
    double significantPart(double deviation, double variance)
    {
        auto insignificant = std::max(leastDeviation, standardErrors * std::sqrt(variance));
        return deviation * std::clamp(std::abs(deviation) / insignificant - 1, 0.0, 1.0);
    }

    double medianOf(std::vector<double> values)
    {
        auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::ranges::nth_element(values, middle);
        return *middle;
    }

    /** The median of the replicas that have enough calls in the band, so that one that is slow there does not lower the limit of
        all. With too few such replicas the mean over all calls, which is `below` without any. */
    double groupRatio(std::span<const CapacitySamples> group, std::span<const double> speeds, size_t band, double below)
    {
        std::vector<double> means;
        double count = priorCalls;
        auto sum = priorCalls * below;
        for (size_t i = 0; i < group.size(); ++i) {
            const auto& sums = group[i].bands.at(band);
            count += sums.count;
            sum += sums.timeRatios * speeds[i];
            if (sums.count >= priorCalls)
                means.push_back(sums.timeRatios / sums.count * speeds[i]);
        }
        return means.size() >= fewestForMedian ? medianOf(std::move(means)) : sum / count;
    }

    /** Time ratios of the group at the speed one. A band without calls is like the one below. */
    BandCurve curveOf(std::span<const CapacitySamples> group, std::span<const double> speeds)
    {
        BandCurve curve {};
        auto below = 1.0;
        for (size_t band = 0; band < loadBands; ++band) {
            below = curve.at(band) = groupRatio(group, speeds, band, below);
        }
        return curve;
    }

    double speedSamples(const CapacitySamples& samples)
    {
        double count = 0;
        for (size_t band = 0; band < loadBands; ++band)
            count += samples.bands.at(band).count * speedWeights.at(band);
        return count;
    }

    double fitSpeed(const CapacitySamples& samples, const BandCurve& curve)
    {
        auto expected = priorCalls;
        auto observed = priorCalls;
        for (size_t band = 0; band < loadBands; ++band) {
            expected += samples.bands.at(band).count * curve.at(band) * speedWeights.at(band);
            observed += samples.bands.at(band).timeRatios * speedWeights.at(band);
        }
        return expected / std::max(observed, lowestRatio);
    }

    /** Divides by the median, so that a majority of equal replicas has the speed one whatever the others do. */
    void normalize(std::vector<double>& speeds)
    {
        auto median = medianOf(speeds);
        for (auto& speed : speeds)
            speed /= median;
    }

    /** Variance of the ratio of a single call, relative to its squared mean. Differences in load add to it, so it is an upper estimate. */
    double varianceOf(std::span<const CapacitySamples> group, std::span<const double> speeds)
    {
        double count = 0;
        double sum = 0;
        double squares = 0;
        for (size_t i = 0; i < group.size(); ++i) {
            count += callsOf(group[i]);
            for (const auto& sums : group[i].bands)
                sum += sums.timeRatios * speeds[i];
            squares += group[i].squaredRatios * speeds[i] * speeds[i];
        }
        if (count < priorCalls)
            return priorVariance;
        return std::clamp(squares * count / (sum * sum) - 1, lowestVariance, highestVariance);
    }

    /** How the times of a group increase with the load, without what may be chance. */
    BandCurve significantCurve(std::span<const CapacitySamples> group, const BandCurve& curve, double variance)
    {
        BandCurve counts {};
        for (const auto& samples : group) {
            for (size_t band = 0; band < loadBands; ++band)
                counts.at(band) += samples.bands.at(band).count;
        }
        BandCurve result {};
        result.at(0) = 1;
        for (size_t band = 1; band < loadBands; ++band) {
            auto error = variance / (counts.at(band) + priorCalls) + variance / (counts.at(band - 1) + priorCalls);
            auto increase = significantPart(std::log(curve.at(band) / curve.at(band - 1)), error);
            result.at(band) = result.at(band - 1) * std::exp(increase);
        }
        return result;
    }

    /** Ratio of a replica's time in a band to that of its group, without what may be chance. */
    double significantRatio(const LoadBandSums& sums, double expectedRatio, double variance)
    {
        auto count = sums.count + priorCalls;
        auto ratio = (sums.timeRatios / expectedRatio + priorCalls) / count;
        return std::exp(significantPart(std::log(ratio), variance / count));
    }

    double limitShareOf(const CapacitySamples& samples, double speed, const BandCurve& curve, const BandCurve& increase, double variance)
    {
        auto limit = loadBandEnds.front();
        double share = 1;
        auto timeBelow = significantRatio(samples.bands.front(), curve.front() / speed, variance);
        for (size_t band = 1; band < loadBandEnds.size(); ++band) {
            auto time = increase.at(band) * significantRatio(samples.bands.at(band), curve.at(band) / speed, variance);
            auto loadGain = bandLoads.at(band) / bandLoads.at(band - 1);
            auto gain = (loadGain * timeBelow / time - 1) / (loadGain - 1);
            share *= std::clamp((gain - leastGain) / (fullGain - leastGain), 0.0, 1.0);
            limit += (loadBandEnds.at(band) - loadBandEnds.at(band - 1)) * share;
            timeBelow = time;
        }
        return limit;
    }

    double limitedRatio(double ratio)
    {
        return std::clamp(ratio, lowestRatio, highestRatio);
    }

    double limitOfReports(std::span<const CapacitySamples> reports)
    {
        std::vector<double> calls;
        for (const auto& report : reports) {
            if (auto count = callsOf(report); count >= leastMedianReport)
                calls.push_back(count);
        }
        if (calls.empty())
            return leastReportLimit;
        auto middle = calls.begin() + static_cast<std::ptrdiff_t>((calls.size() - 1) / 2);
        std::ranges::nth_element(calls, middle);
        return std::max(*middle * reportMultiple, leastReportLimit);
    }

    /** The report with at most this many calls, and with means within the bounds of a single call. */
    CapacitySamples limitedReport(CapacitySamples report, double limit)
    {
        for (auto& sums : report.bands)
            sums.timeRatios = std::clamp(sums.timeRatios, sums.count * lowestRatio, sums.count * highestRatio);
        auto calls = callsOf(report) + report.errors;
        report.squaredRatios = std::clamp(report.squaredRatios, 0.0, callsOf(report) * highestRatio * highestRatio);
        if (calls > limit)
            scale(report, limit / calls);
        return report;
    }

} // namespace

void addSample(CapacitySamples& samples, double loadShare, double timeRatio, double weight)
{
    auto& sums = samples.bands.at(bandOf(loadShare));
    sums.count += weight;
    auto ratio = limitedRatio(timeRatio);
    sums.timeRatios += ratio * weight;
    samples.squaredRatios += ratio * ratio * weight;
}

void addRefusal(CapacitySamples& samples, double loadShare)
{
    if (loadShare <= loadBandEnds.back())
        addSample(samples, loadShare, highestRatio);
}

void addError(CapacitySamples& samples)
{
    samples.errors += 1;
}

void scale(CapacitySamples& samples, double factor)
{
    for (auto& sums : samples.bands) {
        sums.count *= factor;
        sums.timeRatios *= factor;
    }
    samples.squaredRatios *= factor;
    samples.errors *= factor;
}

void add(CapacitySamples& sum, const CapacitySamples& samples)
{
    for (size_t band = 0; band < loadBands; ++band) {
        sum.bands.at(band).count += samples.bands.at(band).count;
        sum.bands.at(band).timeRatios += samples.bands.at(band).timeRatios;
    }
    sum.squaredRatios += samples.squaredRatios;
    sum.errors += samples.errors;
}

double callsOf(const CapacitySamples& samples)
{
    double calls = 0;
    for (const auto& sums : samples.bands)
        calls += sums.count;
    return calls;
}

CapacitySamples sumOfReports(std::span<const CapacitySamples> reports)
{
    CapacitySamples sum;
    auto limit = limitOfReports(reports);
    for (const auto& report : reports) {
        sum.replica = report.replica;
        add(sum, limitedReport(report, limit));
    }
    return sum;
}

std::vector<ReplicaCapacity> estimateCapacities(std::span<const CapacitySamples> group)
{
    std::vector<ReplicaCapacity> capacities;
    if (group.empty())
        return capacities;
    std::vector<double> speeds(group.size(), 1);
    BandCurve curve {};
    for (int round = 0; round < fitRounds; ++round) {
        curve = curveOf(group, speeds);
        for (size_t i = 0; i < group.size(); ++i)
            speeds[i] = fitSpeed(group[i], curve);
        normalize(speeds);
    }
    auto variance = varianceOf(group, speeds);
    auto increase = significantCurve(group, curve, variance);
    for (size_t i = 0; i < group.size(); ++i) {
        ReplicaCapacity capacity;
        capacity.samples = speedSamples(group[i]);
        auto deviation = significantPart(std::log(speeds[i]), variance / (capacity.samples + priorCalls));
        capacity.speed = std::clamp(std::exp(deviation), lowestSpeed, highestSpeed);
        capacity.limitShare = limitShareOf(group[i], speeds[i], curve, increase, variance);
        auto responses = callsOf(group[i]) + group[i].errors + priorCalls;
        capacity.errorShare = group[i].errors / responses;
        capacities.push_back(capacity);
    }
    return capacities;
}

} // namespace chestnut
