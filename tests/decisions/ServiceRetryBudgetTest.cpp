#include "decisions/retries/ServiceRetryBudget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr ServiceRetryLimits limits { 0.2, 52, 10s };

} // namespace

TEST_CASE("six daemons that use their whole budget stay within the common limits in every window, without messages")
{
    constexpr uint32_t daemons = 6;
    std::vector<ServiceRetryBudget> budgets(daemons);
    std::vector<TimePoint> retries;
    std::vector<TimePoint> requests;
    for (Duration time = 0s; time < 60s; time += 20ms) {
        TimePoint now { 100s + time };
        for (uint32_t daemon = 0; daemon < daemons; ++daemon) {
            budgets[daemon].addRequest(now);
            requests.push_back(now);
            while (budgets[daemon].tryTakeRetry(limits, daemons, now))
                retries.push_back(now);
        }
    }
    auto countIn = [](const std::vector<TimePoint>& times, TimePoint start) {
        return static_cast<double>(std::ranges::count_if(times, [start](TimePoint time) { return time >= start && time < start + 10s; }));
    };
    for (auto start = TimePoint { 100s }; start < TimePoint { 150s }; start += 500ms)
        CHECK(countIn(retries, start) <= limits.ratio * countIn(requests, start) + limits.slack);
    CHECK(retries.size() > 500);
}

TEST_CASE("retries counted without permission reduce the budget of later ones")
{
    ServiceRetryBudget budget;
    TimePoint now { 100s };
    for (int i = 0; i < 31; ++i)
        budget.addRetry(now);
    CHECK_FALSE(budget.tryTakeRetry(limits, 1, now));
    CHECK(budget.tryTakeRetry(limits, 1, now + 11s));
}
