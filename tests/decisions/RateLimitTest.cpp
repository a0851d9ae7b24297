#include "decisions/limits/RateLimit.h"
#include "decisions/limits/RequestAllotment.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

const ReplicaId replica("i-1");
constexpr TimePoint start { 100s };

RateStatement statement(std::optional<double> perSecond, int64_t startedAt = 1)
{
    return { startedAt, perSecond };
}

std::optional<double> rateOf(const RateLimits& limits, int64_t startedAt = 1)
{
    return appliedRate(limits, replica, startedAt);
}

} // namespace

TEST_CASE("a rate limit falls at once, and rises or ends only by a response to a later request")
{
    RateLimits limits;
    CHECK_FALSE(applyRateStatement(limits, replica, statement({}), start, start));
    CHECK(applyRateStatement(limits, replica, statement(20), start - 5s, start));
    CHECK(rateOf(limits) == 20);
    // A response that was sent before the limit was learned may be older than the one that named it.
    CHECK_FALSE(applyRateStatement(limits, replica, statement({}), start - 1ms, start + 1ms));
    CHECK_FALSE(applyRateStatement(limits, replica, statement(30), start - 1ms, start + 1ms));
    CHECK(rateOf(limits) == 20);
    CHECK(applyRateStatement(limits, replica, statement(10), start - 1ms, start + 1s));
    CHECK(rateOf(limits) == 10);
    CHECK(applyRateStatement(limits, replica, statement(15), start + 1s, start + 2s));
    CHECK(applyRateStatement(limits, replica, statement({}), start + 2s, start + 3s));
    CHECK_FALSE(rateOf(limits).has_value());
}

TEST_CASE("a rate limit that is confirmed all the time still ends with the first response to a later request")
{
    RateLimits limits;
    for (auto time = 0ms; time < 2s; time += 10ms)
        applyRateStatement(limits, replica, statement(20), start + time - 100ms, start + time);
    CHECK(applyRateStatement(limits, replica, statement({}), start + 1900ms, start + 2s));
    CHECK_FALSE(rateOf(limits).has_value());
}

TEST_CASE("a rate limit belongs to one process start of the replica")
{
    RateLimits limits;
    applyRateStatement(limits, replica, statement(20, 2), start, start);
    CHECK_FALSE(rateOf(limits, 3).has_value());
    CHECK_FALSE(applyRateStatement(limits, replica, statement(1, 1), start + 1s, start + 1s));
    CHECK_FALSE(applyRateReport(limits, { replica, statement(1, 1), 0s }, start + 1s));
    CHECK(rateOf(limits, 2) == 20);
    CHECK(applyRateStatement(limits, replica, statement({}, 3), start - 1s, start + 1s));
    CHECK_FALSE(rateOf(limits, 2).has_value());
}

TEST_CASE("the newest statement of all daemons applies, and an old one does not come back")
{
    RateLimits limits;
    CHECK(applyRateReport(limits, { replica, statement(20), 100ms }, start));
    CHECK_FALSE(applyRateReport(limits, { replica, statement({}), 200ms }, start));
    CHECK(rateOf(limits) == 20);
    CHECK(applyRateReport(limits, { replica, statement({}), 0s }, start + 1s));
    CHECK_FALSE(rateOf(limits).has_value());
    // A peer that was cut off still reports the limit.
    for (auto time = 1s; time < 20s; time += 1s) {
        expireRateLimits(limits, start + time);
        CHECK_FALSE(applyRateReport(limits, { replica, statement(20), time + 100ms }, start + time));
    }
    CHECK(limits.limits.empty());
}

TEST_CASE("a limit without confirmation is forgotten, and is not reported as if it were new")
{
    RateLimits limits;
    applyRateStatement(limits, replica, statement(20), start, start);
    CHECK(rateReports(limits, start + 1s) == std::vector<RateLimitReport> { { replica, statement(20), 1s } });
    CHECK(rateReports(limits, start + longestReportAge + 1ms).empty());
    CHECK(expireRateLimits(limits, start + 29s).empty());
    CHECK(expireRateLimits(limits, start + 31s) == std::vector<ReplicaId> { replica });
    CHECK_FALSE(rateOf(limits).has_value());
}

TEST_CASE("a replica that names zero is still asked often enough to see that its limit has ended")
{
    RateLimits limits;
    applyRateStatement(limits, replica, statement(0), start, start);
    CHECK(rateOf(limits) == lowestAppliedRate);
}

TEST_CASE("requests are allotted at the daemon's rate, whatever its size, and unused ones do not pile up")
{
    for (auto perSecond : { 0.05, 0.7, 4.0, 1000.0 }) {
        CAPTURE(perSecond);
        RequestAllotment allotment;
        constexpr int seconds = 4000;
        int64_t sent = 0;
        for (Duration time = 0s; time < std::chrono::seconds(seconds); time += 125ms) {
            allotment = advanced(allotment, perSecond, start + time);
            for (; allotment.left() > 0; ++sent)
                allotment = afterRequest(allotment);
        }
        CHECK(static_cast<double>(sent) / seconds == doctest::Approx(perSecond).epsilon(0.1));
        // After an idle hour no more is left than for two periods.
        allotment = advanced(allotment, perSecond, start + std::chrono::hours(3));
        CHECK(static_cast<double>(allotment.left()) <= 2 * (perSecond * toSeconds(allotmentPeriod) + 1));
    }
}

TEST_CASE("requests beyond the allotment reduce the later ones")
{
    auto allotment = advanced({}, 8, start);
    for (int i = 0; i < 10; ++i)
        allotment = afterRequest(allotment);
    CHECK(allotment.left() == -6);
    allotment = advanced(allotment, 8, start + allotmentPeriod);
    CHECK(allotment.left() == -4);
    allotment = advanced(allotment, 8, start + 4 * allotmentPeriod);
    CHECK(allotment.left() == 2);
}

TEST_CASE("an immense rate is allotted without overflow")
{
    auto allotment = advanced({}, 1e300, start);
    CHECK(allotment.left() > 1000);
}

TEST_CASE("the parts of a limit follow the demand, and are equal while the demand elsewhere is unknown")
{
    CHECK(limitShare({ 10, 30, true, 4 }) == 0.25);
    CHECK(limitShare({ 10, 0, true, 4 }) == 1);
    CHECK(limitShare({ 0, 30, true, 4 }) == 0);
    CHECK(limitShare({ 10, 0, false, 4 }) == 0.25);
    CHECK(limitShare({ 0, 0, true, 4 }) == 0.25);
    CHECK(limitShare({ 0, 0, false, 0 }) == 1);
}
