#include "platform/TaskClient.h"

#include "kernel/timers/AsioTimerService.h"
#include "support/HttpFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace chestnut;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** A task platform that responds to each call with a fixed response and records the requests. */
struct TaskFixture {
    std::vector<HttpRequest> seen;
    HttpResponse response { 200, {}, "{}" };
    Duration delay {};
    test::HttpFixture http { [this](HttpRequest request, HttpResponseWriter& writer) -> asio::awaitable<void> {
        seen.push_back(std::move(request));
        auto answer = response;
        if (delay > 0ms)
            co_await http.timers.sleep(delay);
        (void)co_await writer.send(std::move(answer));
    } };
    ConnectionPool pool { http.context, http.timers, {} };
    Metrics metrics;
    platform::TaskClient client { pool, http.timers, metrics, { http.server.endpoint(), 50 } };

    Result<TaskResult> order(const std::string& zone = "a", bool isReclaimable = false)
    {
        return http.run(client.orderReplicas({ ServiceId("s"), AvailabilityZone(zone), 3, isReclaimable }, { DaemonId("d0"), 7 }));
    }
};

} // namespace

TEST_CASE("a usage report and an order contain their fields, the holder and its fencing number")
{
    TaskFixture fixture;
    CHECK(fixture.http.run(fixture.client.reportUsage({ 412, { { AccountId("x"), 3 }, { AccountId("y"), 1 } } }, { DaemonId("d0"), 7 })).value() == TaskResult::Done);
    CHECK(fixture.order().value() == TaskResult::Done);
    CHECK(fixture.order("a", true).value() == TaskResult::Done);
    REQUIRE(fixture.seen.size() == 3);
    CHECK(fixture.seen[0].method == "POST");
    CHECK(fixture.seen[0].target == "/usage");
    CHECK(json::parse(fixture.seen[0].body) == json::parse(R"({"window_id":412,"counts":{"x":3,"y":1}})"));
    CHECK(fixture.seen[0].headers.value("X-Chestnutroute-Duty-Holder") == "d0");
    CHECK(fixture.seen[0].headers.value("X-Chestnutroute-Fencing-Token") == "7");
    CHECK(fixture.seen[1].target == "/scale");
    CHECK(json::parse(fixture.seen[1].body) == json::parse(R"({"service":"s","zone":"a","desired_count":3})"));
    CHECK(json::parse(fixture.seen[2].body)["spot"] == true);
}

TEST_CASE("the status determines the result and whether a call may have had an effect")
{
    TaskFixture fixture;
    auto resultFor = [&](int status) {
        fixture.response = { status, {}, "not JSON" };
        return fixture.order();
    };
    CHECK(resultFor(200).value() == TaskResult::Done);
    CHECK(resultFor(409).value() == TaskResult::Unavailable);
    CHECK(resultFor(400).value() == TaskResult::Refused);
    CHECK(resultFor(404).value() == TaskResult::Refused);
    CHECK(resultFor(503).error().kind == ErrorKind::PlatformUnavailable);
    CHECK(resultFor(500).error().kind == ErrorKind::PlatformAnswerLost);
    CHECK(resultFor(429).value() == TaskResult::RateLimited);
}

TEST_CASE("a call to an unreachable task platform is reported as without effect")
{
    TaskFixture fixture;
    platform::TaskClient unreachable(fixture.pool, fixture.http.timers, fixture.metrics, { { "127.0.0.1", 1 }, 50 });
    CHECK(fixture.http.run(unreachable.reportUsage({}, {})).error().kind == ErrorKind::PlatformUnavailable);
}

// Guards against a call that is still in flight when another daemon may already call.
TEST_CASE("a call to a silent task platform ends within the longest time of a call")
{
    TaskFixture fixture;
    fixture.delay = 4s;
    auto sentAt = fixture.http.timers.now();
    CHECK(fixture.order().error().kind == ErrorKind::PlatformAnswerLost);
    CHECK(fixture.http.timers.now() - sentAt < longestTaskCall + 400ms);
}

// Guards against refusals that go on because the calls go on.
TEST_CASE("after a refusal for the rate no call is sent for a while")
{
    TaskFixture fixture;
    fixture.response = { 429, { { "Retry-After", "0.5" } }, "" };
    CHECK(fixture.order().value() == TaskResult::RateLimited);
    fixture.response = { 200, {}, "" };
    auto refusedAt = fixture.http.timers.now();
    CHECK(fixture.order("b").value() == TaskResult::RateLimited);
    CHECK(fixture.seen.size() == 1);
    while (fixture.order().value() != TaskResult::Done)
        REQUIRE(fixture.http.timers.now() - refusedAt < 5s);
    CHECK(fixture.http.timers.now() - refusedAt > 400ms);
    CHECK(fixture.seen.size() == 2);
}

// Guards against calls of all kinds that together exceed the platform's rate.
TEST_CASE("all calls of a daemon share one rate limit, and a call that would wait long for it is not made")
{
    TaskFixture fixture;
    platform::TaskClient client(fixture.pool, fixture.http.timers, fixture.metrics, { fixture.http.server.endpoint(), 10 });
    size_t done = 0;
    size_t limited = 0;
    auto order = [&](uint32_t zone) -> asio::awaitable<void> {
        auto result = co_await client.orderReplicas({ ServiceId("s"), AvailabilityZone(std::to_string(zone)), 1, false }, {});
        ++(result.has_value() && *result == TaskResult::Done ? done : limited);
    };
    for (uint32_t i = 0; i < 40; ++i)
        asio::co_spawn(fixture.http.context, order(i), asio::detached);
    (void)fixture.http.run([&]() -> asio::awaitable<bool> {
        co_await fixture.http.timers.sleep(1500ms);
        co_return true;
    }());
    CHECK(done == fixture.seen.size());
    CHECK(done <= 10);
    CHECK(done >= 2);
    CHECK(done + limited == 40);
}

// Guards against two calls for one subject that reach the platform in the other order.
TEST_CASE("one call is in flight for each subject")
{
    TaskFixture fixture;
    fixture.delay = 100ms;
    std::vector<Result<TaskResult>> results;
    auto order = [&](std::string zone, bool isReclaimable) -> asio::awaitable<void> {
        results.push_back(co_await fixture.client.orderReplicas({ ServiceId("s"), AvailabilityZone(std::move(zone)), 1, isReclaimable }, {}));
    };
    asio::co_spawn(fixture.http.context, order("a", false), asio::detached);
    asio::co_spawn(fixture.http.context, order("a", true), asio::detached);
    asio::co_spawn(fixture.http.context, order("a", false), asio::detached);
    (void)fixture.http.run([&]() -> asio::awaitable<bool> {
        co_await fixture.http.timers.sleep(500ms);
        co_return true;
    }());
    REQUIRE(results.size() == 3);
    CHECK(fixture.seen.size() == 2);
    CHECK(results[0].error().kind == ErrorKind::PlatformUnavailable);
    CHECK(fixture.order().value() == TaskResult::Done);
}

// Guards against a call that waited for a connection or the rate limit while the lease ended.
TEST_CASE("a call is not sent when its authority has ended")
{
    TaskFixture fixture;
    fixture.client.setAdmission([](const TaskAuthority& authority) { return authority.fencingNumber == 8; });
    CHECK(fixture.order().error().kind == ErrorKind::PlatformUnavailable);
    CHECK(fixture.seen.empty());
}
