#include "infrastructure/infrastructure.h"
#include "kernel/timers/VirtualTimerService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** A simulated platform whose next responses the test sets. */
struct Platform {
    bool isDown = false;
    bool losesResponses = false;
    int status = 200;
    std::vector<TimePoint> arrivals;
};

asio::awaitable<Result<HttpResponse>> respond(Platform& platform, TimerService& timers)
{
    platform.arrivals.push_back(timers.now());
    co_await timers.sleep(5ms);
    if (platform.isDown)
        co_return makeError(ErrorKind::ConnectFailed, "refused");
    if (platform.losesResponses)
        co_return makeError(ErrorKind::BackendFailed, "closed");
    co_return HttpResponse { platform.status, {}, "true" };
}

struct Fixture {
    explicit Fixture(PlatformSettings settings = {})
    {
        auto transport = [this](HttpRequest, Duration) { return respond(platform, timers); };
        client = std::make_shared<PlatformClient>(context.get_executor(), timers, log, metrics, transport, settings, 7);
    }

    /** Starts a call; its result is appended to `results`. */
    void start(bool isWrite, const std::string& target = "/v1/kv/a")
    {
        PlatformCall call { isWrite ? "write" : "read", { isWrite ? "PUT" : "GET", target, {}, "" }, isWrite, {} };
        asio::co_spawn(context, client->call(std::move(call)), [this](std::exception_ptr, Result<HttpResponse> result) { results.push_back(std::move(result)); });
    }

    ErrorKind lastError() const { return results.back().has_value() ? ErrorKind::Internal : results.back().error().kind; }

    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    Platform platform;
    std::vector<Result<HttpResponse>> results;
    std::shared_ptr<PlatformClient> client;
};

} // namespace

// Guards against reporting a write as not executed although it may have taken effect.
TEST_CASE("a refused connection and a lost response are reported as different errors")
{
    Fixture fixture;
    fixture.platform.isDown = true;
    fixture.start(true);
    fixture.timers.advance(10ms);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.lastError() == ErrorKind::PlatformUnavailable);

    Fixture other;
    other.platform.losesResponses = true;
    other.start(true);
    other.timers.advance(10ms);
    CHECK(other.lastError() == ErrorKind::PlatformAnswerLost);
    other.platform.losesResponses = false;
    other.platform.status = 500;
    other.start(true);
    other.timers.advance(10ms);
    CHECK(other.lastError() == ErrorKind::PlatformAnswerLost);
}

// Guards against one call for each of many coroutines that read the same key, and against a read that misses a write.
TEST_CASE("identical concurrent reads are merged into one call, but not across a write")
{
    Fixture fixture;
    for (int i = 0; i < 5; ++i)
        fixture.start(false);
    fixture.timers.advance(10ms);
    CHECK(fixture.results.size() == 5);
    CHECK(fixture.platform.arrivals.size() == 1);

    fixture.start(true, "/v1/kv/b");
    fixture.timers.advance(2ms);
    fixture.start(false);
    fixture.timers.advance(4ms); // the write ends, the read is in progress
    fixture.start(false);
    fixture.timers.advance(10ms);
    CHECK(fixture.platform.arrivals.size() == 4);
    CHECK(fixture.metrics.value("chestnut_platform_calls_total", { { "kind", "read" } }) == 3);
}

// Guards against exceeding the service's rate limit.
TEST_CASE("calls above the rate limit are delayed, and fail beyond the maximum delay")
{
    PlatformSettings settings;
    settings.writesPerSecond = 10;
    settings.burst = 2;
    Fixture fixture(settings);
    for (int i = 0; i < 30; ++i)
        fixture.start(true);
    fixture.timers.advance(1s + 1ms);
    CHECK(fixture.platform.arrivals.size() == 12);
    fixture.timers.advance(5s);
    CHECK(fixture.platform.arrivals.size() == 22); // the burst, and the calls that fit into a delay of 2 s
    CHECK(fixture.results.size() == 30);
    CHECK(fixture.log.recent(EventId::PlatformBudgetExhausted).size() == 1);
}

// Guards against a burst of calls after an outage, and against a log line for each failed call.
TEST_CASE("during an outage only probes are sent; afterwards calls resume at the steady rate")
{
    PlatformSettings settings;
    settings.readsPerSecond = 10;
    Fixture fixture(settings);
    fixture.platform.isDown = true;
    for (int i = 0; i < 2; ++i)
        fixture.start(false, "/v1/kv/" + std::to_string(i));
    fixture.timers.advance(10ms);
    CHECK(fixture.client->isInOutage());
    fixture.platform.arrivals.clear();
    for (int i = 0; i < 600; ++i) {
        fixture.start(true);
        fixture.timers.advance(100ms);
    }
    CHECK(fixture.platform.arrivals.size() <= 24); // at most one probe every 2.5 s once the backoff has reached its maximum
    CHECK(fixture.lastError() == ErrorKind::PlatformUnavailable);
    fixture.platform.isDown = false;
    for (int i = 0; i < 600 && fixture.client->isInOutage(); ++i)
        fixture.timers.advance(10ms);
    REQUIRE_FALSE(fixture.client->isInOutage());
    fixture.platform.arrivals.clear();
    for (int i = 0; i < 30; ++i)
        fixture.start(false, "/v1/kv/" + std::to_string(i));
    fixture.timers.advance(1s);
    CHECK(fixture.platform.arrivals.size() <= 10);
    CHECK(fixture.platform.arrivals.size() >= 9);
    CHECK(fixture.log.recent(EventId::PlatformLost).size() == 1);
    CHECK(fixture.log.recent(EventId::PlatformRestored).size() == 1);
}

// Guards against a burst from accumulated tokens right after an outage.
TEST_CASE("discarding the tokens of a bucket spreads the next calls")
{
    TokenBucket bucket(10, 20, TimePoint(0s));
    bucket.discardTokens(TimePoint(0s));
    CHECK(bucket.reserve(TimePoint(0s), 1s) == Duration(100ms));
    CHECK(bucket.reserve(TimePoint(0s), 1s) == Duration(200ms));
    CHECK_FALSE(bucket.reserve(TimePoint(0s), 100ms).has_value());
}
