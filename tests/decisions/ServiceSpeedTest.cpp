#include "decisions/speeds/ServiceSpeed.h"
#include "decisions/speeds/StreamProgress.h"
#include "decisions/speeds/WaitLimits.h"

#include <doctest/doctest.h>
#include <random>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** Samples of prefills at an engine with a fixed part of 20 ms, with noise of up to 20%. */
ServiceSamples samplesOf(double tokensPerMillisecond, int count)
{
    ServiceSamples samples { ServiceId("s") };
    std::mt19937 random(5);
    std::uniform_real_distribution<double> tokens(500, 20'000);
    std::uniform_real_distribution<double> noise(0.8, 1.2);
    for (int i = 0; i < count; ++i) {
        auto size = tokens(random);
        addPrefill(samples.prefill, size, fromSeconds((20 + size / tokensPerMillisecond) * noise(random) / 1000));
        addTime(samples.eventGap, 40ms);
        addTime(samples.firstEvent, 80ms);
    }
    return samples;
}

} // namespace

TEST_CASE("the prefill speed and its fixed part are estimated for engines of any speed")
{
    for (double speed : { 10.0, 55.0, 326.0, 2000.0 }) {
        auto estimate = estimateSpeed(samplesOf(speed, 200)).prefill;
        REQUIRE(estimate.has_value());
        for (double tokens : { 1000.0, 10'000.0 }) {
            auto actual = (20 + tokens / speed) / 1000;
            CHECK(toSeconds(expectedPrefillTime(*estimate, tokens)) > actual * 0.75);
            CHECK(toSeconds(expectedPrefillTime(*estimate, tokens)) < actual * 1.25);
        }
    }
}

TEST_CASE("nothing is estimated from the first calls")
{
    CHECK_FALSE(estimateSpeed(samplesOf(55, 2)).prefill.has_value());
    CHECK_FALSE(estimateSpeed(samplesOf(55, 2)).eventGap.has_value());
}

// Guards against one slow link or neighbour that changes the limits of all calls.
TEST_CASE("a single outlier changes the estimate little, and a lasting change is followed")
{
    auto samples = samplesOf(55, 40);
    auto before = expectedPrefillTime(*estimateSpeed(samples).prefill, 10'000);
    addPrefill(samples.prefill, 10'000, 60s);
    auto after = expectedPrefillTime(*estimateSpeed(samples).prefill, 10'000);
    CHECK(toSeconds(after) < toSeconds(before) * 1.2);
    for (int i = 0; i < 400; ++i) {
        scale(samples, 0.95);
        addPrefill(samples.prefill, 5000 + i * 20, (5000 + i * 20) * 1ms / 5);
    }
    CHECK(toSeconds(expectedPrefillTime(*estimateSpeed(samples).prefill, 10'000)) == doctest::Approx(2).epsilon(0.1));
}

TEST_CASE("samples of several daemons add up, and prompts of one size still give a time")
{
    auto samples = samplesOf(55, 3);
    CHECK_FALSE(estimateSpeed(samples).prefill.has_value());
    add(samples, samplesOf(55, 3));
    CHECK(estimateSpeed(samples).prefill.has_value());
    ServiceSamples equal { ServiceId("s") };
    for (int i = 0; i < 10; ++i)
        addPrefill(equal.prefill, 4000, 80ms);
    CHECK(toSeconds(expectedPrefillTime(*estimateSpeed(equal).prefill, 4000)) == doctest::Approx(0.08));
}

// Guards against sound calls that are cut, which is work done in vain that slows the engines further.
TEST_CASE("no call is limited before the speed is known, and limits grow with slower engines")
{
    CHECK_FALSE(prefillWaitLimit({}, 150ms).has_value());
    CHECK_FALSE(firstEventWaitLimit({}, 150ms).has_value());
    CHECK_FALSE(eventGapWaitLimit({}, 150ms, 10s, 1500ms).has_value());
    CHECK(responseWaitLimit({}, 150ms) == 300ms);
    auto speed = estimateSpeed(samplesOf(55, 50));
    CHECK(*prefillWaitLimit(2s, 150ms) >= 8s);
    CHECK(*prefillWaitLimit(1ms, 150ms) >= 450ms);
    CHECK(*eventGapWaitLimit(speed, 1ms, 10ms, 1500ms) >= 400ms);
    CHECK(*eventGapWaitLimit(speed, 1ms, 10s, 3s) >= 3s);
    CHECK(*firstEventWaitLimit(speed, 1ms) >= 600ms);
}

TEST_CASE("a prompt is short when it delays the streams of a decode engine little")
{
    ServiceSpeed fast;
    fast.prefill = PrefillSpeed { 326, 2 };
    ServiceSpeed slow;
    slow.prefill = PrefillSpeed { 55, 20 };
    CHECK(isShortPrompt(500, 90, fast, 150ms));
    CHECK_FALSE(isShortPrompt(500, 90, slow, 150ms));
    CHECK(isShortPrompt(220, 90, {}, 150ms));
    CHECK_FALSE(isShortPrompt(9000, 2, {}, 150ms));
}

// Guards against a new stream, or the progress of the engine itself, that is taken for a sign of progress elsewhere.
TEST_CASE("only events of other engines show that a silence is not common")
{
    ServiceId service("s");
    ReplicaId first("1"), second("2");
    auto at = [](int milliseconds) { return TimePoint(std::chrono::milliseconds(milliseconds)); };
    StreamProgress streams;
    streams.begin(service, first, at(0));
    CHECK_FALSE(streams.areOthersSilent(service, first, at(10)));
    streams.begin(service, second, at(20));
    CHECK_FALSE(streams.areOthersSilent(service, first, at(10)));
    streams.recordEvent(service, first, at(30));
    CHECK(streams.areOthersSilent(service, first, at(25)));
    streams.recordEvent(service, second, at(40));
    CHECK_FALSE(streams.areOthersSilent(service, first, at(35)));
    CHECK(streams.areOthersSilent(service, first, at(45)));
    streams.end(service, second);
    CHECK_FALSE(streams.areOthersSilent(service, first, at(45)));
}
