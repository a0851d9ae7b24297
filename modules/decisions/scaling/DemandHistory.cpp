#include "decisions/scaling/DemandHistory.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Time constant of the moving average. Single arrivals and the age of the counts, up to 300 ms, disappear in it. */
    constexpr Duration smoothingTime = std::chrono::milliseconds(1500);
    constexpr Duration peakLength = std::chrono::seconds(1);
    /** Two spans of this length in a row are compared. Demand that fluctuates with a longer period is taken for growth, which
        orders replicas too early and never too few. */
    constexpr Duration comparisonTime = std::chrono::seconds(12);
    /** The expected growth is at most this share of the present peak. */
    constexpr double highestGrowth = 1;

    /** The highest peak that began after `from` and until `to`; nothing when there was none. */
    std::optional<double> highestBetween(const DemandHistory& history, TimePoint from, TimePoint to)
    {
        std::optional<double> highest;
        for (const auto& peak : history.peaks) {
            if (peak.begin > from && peak.begin <= to)
                highest = std::max(highest.value_or(0), peak.replicas);
        }
        return highest;
    }

} // namespace

void addSample(DemandHistory& history, double replicas, TimePoint now)
{
    if (!history.firstSampleAt) {
        history.firstSampleAt = now;
        history.smoothed = replicas;
    } else {
        auto elapsed = toSeconds(now - history.lastSampleAt);
        history.smoothed += (replicas - history.smoothed) * (1 - std::exp(-elapsed / toSeconds(smoothingTime)));
    }
    history.lastSampleAt = now;
    if (history.peaks.empty() || now - history.peaks.back().begin >= peakLength)
        history.peaks.push_back({ now, history.smoothed });
    else
        history.peaks.back().replicas = std::max(history.peaks.back().replicas, history.smoothed);
    std::erase_if(history.peaks, [now](const DemandPeak& peak) { return now - peak.begin >= peakRetention; });
}

double expectedPeak(const DemandHistory& history, TimePoint now, Duration leadTime)
{
    auto present = highestBetween(history, now - comparisonTime, now).value_or(0);
    auto before = highestBetween(history, now - 2 * comparisonTime, now - comparisonTime);
    auto growth = before ? std::max(present - *before, 0.0) * toSeconds(leadTime) / toSeconds(comparisonTime) : 0;
    auto forecast = present + std::min(growth, present * highestGrowth);
    return std::max(forecast, highestBetween(history, now - peakRetention, now).value_or(0));
}

} // namespace chestnut
