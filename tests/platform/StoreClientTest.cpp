#include "platform/StoreClient.h"

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

/** A store that responds to each call with a fixed response and records the request. */
struct StoreFixture {
    HttpRequest seen;
    HttpResponse response;
    std::function<asio::awaitable<std::optional<HttpResponse>>()> delayed; /**< responds instead, unless it returns nothing */
    test::HttpFixture http { [this](HttpRequest request, HttpResponseWriter& writer) -> asio::awaitable<void> {
        seen = std::move(request);
        auto late = delayed ? co_await delayed() : std::nullopt;
        (void)co_await writer.send(late.value_or(response));
    } };
    AsioTimerService timers { http.context };
    ConnectionPool pool { http.context, timers, {} };
    MemoryLog log;
    ConnectionPool watchPool { http.context, timers, {} };
    platform::StoreClient store { pool, watchPool, log, http.server.endpoint() };
};

} // namespace

TEST_CASE("a list is decoded together with its values")
{
    StoreFixture fixture;
    fixture.response = { 200, {}, R"({"items":[{"key":"my/a","value":"bm9kZS0x","revision":412,"create_revision":400,"lease":1}],"has_more":true,"current_rev":530})" };
    auto page = fixture.http.run(fixture.store.list("my/", "my/0"));
    REQUIRE(page.has_value());
    CHECK(page->items == std::vector<StoreItem> { { "my/a", "node-1", 412, 400 } });
    CHECK(page->hasMore);
    CHECK(page->revision == 530);
    CHECK(fixture.seen.queryValue("prefix") == "my/");
    CHECK(fixture.seen.queryValue("after") == "my/0");
}

TEST_CASE("a watch returns changes and removals, and reports a compacted history")
{
    StoreFixture fixture;
    fixture.response = { 200, {}, R"({"events":[{"key":"my/a","value":"eA==","revision":7},{"key":"my/b","revision":8,"tombstone":true}],"current_rev":9})" };
    auto changes = fixture.http.run(fixture.store.watch("my/", 6, 100ms, nullptr));
    REQUIRE(changes.has_value());
    REQUIRE(changes->changes.size() == 2);
    CHECK(changes->changes[1].isRemoval);
    CHECK(changes->revision == 9);
    fixture.response = { 410, {}, "" };
    CHECK(fixture.http.run(fixture.store.watch("my/", 6, 100ms, nullptr))->isHistoryLost);
}

// Guards against superseded versions of large values that occupy a slow link.
TEST_CASE("changes that are longer than the limit of a watch are not read")
{
    StoreFixture fixture;
    fixture.response = { 200, {}, R"({"events":[],"padding":")" + std::string(maximumWatchBytes, 'x') + R"(","current_rev":9})" };
    auto changes = fixture.http.run(fixture.store.watch("my/", 6, 100ms, nullptr));
    REQUIRE(changes.has_value());
    CHECK(changes->isTooLong);
}

TEST_CASE("a transaction contains its conditions, writes and removals")
{
    StoreFixture fixture;
    fixture.response = { 200, {}, R"({"revision":412})" };
    auto revision = fixture.http.run(fixture.store.transact({ { "my/a", 3 } }, { { "my/a", "node-1", 77 } }, { "my/b" }));
    CHECK(revision.value() == 412);
    auto body = nlohmann::json::parse(fixture.seen.body);
    CHECK(body["expected"][0]["revision"] == 3);
    CHECK(body["writes"][0]["value"] == "bm9kZS0x");
    CHECK(body["writes"][0]["lease"] == 77);
    CHECK(body["deletes"][0] == "my/b");
}

TEST_CASE("the status determines whether a write may have had an effect")
{
    StoreFixture fixture;
    auto kindFor = [&](int status) {
        fixture.response = { status, {}, "{}" };
        return fixture.http.run(fixture.store.transact({}, { { "k", "v", 0 } }, {})).error().kind;
    };
    CHECK(kindFor(412) == ErrorKind::PlatformConflict);
    CHECK(kindFor(404) == ErrorKind::NotFound);
    CHECK(kindFor(429) == ErrorKind::PlatformUnavailable);
    CHECK(kindFor(503) == ErrorKind::PlatformUnavailable);
    CHECK(kindFor(500) == ErrorKind::PlatformAnswerLost);
    // A response without the revision does not show whether the write took effect.
    CHECK(kindFor(200) == ErrorKind::PlatformAnswerLost);
}

TEST_CASE("a call to an unreachable store is reported as without effect")
{
    StoreFixture fixture;
    platform::StoreClient unreachable(fixture.pool, fixture.watchPool, fixture.log, { "127.0.0.1", 1 });
    CHECK(fixture.http.run(unreachable.grantLease(3s)).error().kind == ErrorKind::PlatformUnavailable);
}

// Guards against one odd item after which the daemon follows none of the other keys.
TEST_CASE("an item with missing or unexpected fields does not hide the other items of a list or a watch")
{
    const std::string odd = R"({"key":"my/a","value":"eA=="},{"key":7,"revision":4},{"key":"my/b","revision":-1},{"key":"my/c","revision":1e30},[],null,)";
    const std::string sound = R"({"key":"my/d","value":"%","revision":5,"create_revision":"x"},{"key":"my/e","value":7,"revision":6,"tombstone":"no"})";
    StoreFixture fixture;
    fixture.response = { 200, {}, R"({"items":[)" + odd + sound + R"(],"current_rev":9})" };
    auto page = fixture.http.run(fixture.store.list("my/", ""));
    REQUIRE(page.has_value());
    CHECK(page->items == std::vector<StoreItem> { { "my/d", "", 5, 0 }, { "my/e", "", 6, 0 } });
    fixture.response = { 200, {}, R"({"events":[)" + odd + sound + R"(],"current_rev":9})" };
    auto changes = fixture.http.run(fixture.store.watch("my/", 1, 1s, nullptr));
    REQUIRE(changes.has_value());
    CHECK(changes->changes == std::vector<StoreChange> { { { "my/d", "", 5, 0 } }, { { "my/e", "", 6, 0 } } });
    // Without an item, the key after which the next page begins is unknown.
    fixture.response = { 200, {}, R"({"items":[{}],"has_more":true,"current_rev":9})" };
    CHECK_FALSE(fixture.http.run(fixture.store.list("my/", "")).has_value());
}

// Guards against memory use that grows with a response of the store.
TEST_CASE("a response of the store without end is a lost response")
{
    StoreFixture fixture;
    fixture.response = { 200, {}, std::string(9 << 20, 'x') };
    CHECK(fixture.http.run(fixture.store.list("my/", "")).error().kind == ErrorKind::PlatformAnswerLost);
    auto changes = fixture.http.run(fixture.store.watch("my/", 1, 1s, nullptr));
    REQUIRE(changes.has_value());
    CHECK(changes->isTooLong);
    CHECK(changes->changes.empty());
    CHECK(fixture.http.run(fixture.store.transact({}, {}, { "my/a" })).error().kind == ErrorKind::PlatformAnswerLost);
}

// Guards against a restore of the store that goes unnoticed because the revision is high again when the watch returns.
TEST_CASE("each response shows the epoch of the store")
{
    StoreFixture fixture;
    size_t changes = 0;
    fixture.store.onEpochChange([&changes] { ++changes; });
    auto statusIn = [&](int status, const char* epoch) {
        fixture.response = { status, { { "Store-Era", epoch } }, R"({"revision":412})" };
        return fixture.http.run(fixture.store.transact({}, { { "k", "v", 0 } }, {}));
    };
    CHECK(statusIn(200, "4").has_value());
    CHECK(changes == 0);
    CHECK(statusIn(412, "5").error().kind == ErrorKind::PlatformConflict);
    CHECK(fixture.store.epoch() == 5);
    CHECK(changes == 1);
    // Unreadable values change nothing and are logged once.
    for (const auto* value : { "x", "-1", "99999999999999999999" })
        CHECK(statusIn(200, value).has_value());
    CHECK(fixture.store.epoch() == 5);
    CHECK(fixture.log.recent(EventId::StoreEpochUnreadable).size() == 1);
    // The call was sent when epoch 5 was known: the store was replaced by an older one.
    CHECK(statusIn(200, "2").has_value());
    CHECK(changes == 2);
}

namespace {

/** A store that sends the body of each response in chunks. */
struct SlowStoreFixture {
    explicit SlowStoreFixture(const json& document)
        : body(document.dump())
    {
    }

    asio::awaitable<void> respond(HttpResponseWriter& writer)
    {
        (void)co_await writer.begin(200, {});
        auto chunkBytes = body.size() / chunks + 1;
        for (size_t sent = 0; sent < body.size() && sent / chunkBytes < sentChunks; sent += chunkBytes) {
            (void)co_await writer.write(body.substr(sent, chunkBytes));
            co_await http.timers.sleep(100ms);
        }
        if (sentChunks < chunks)
            co_await http.timers.sleep(30s);
        (void)co_await writer.finish();
    }

    std::string body;
    size_t chunks = 25;
    size_t sentChunks = chunks; /**< after fewer chunks the body stops without an end */
    test::HttpFixture http { [this](HttpRequest, HttpResponseWriter& writer) { return respond(writer); } };
    ConnectionPool pool { http.context, http.timers, {} };
    ConnectionPool watchPool { http.context, http.timers, {} };
    platform::StoreClient store { pool, watchPool, http.log, http.server.endpoint() };
};

} // namespace

// Guards against a configuration that is late because the list that contains it has stopped midway (salvamanta-grown, hunt-5c6c-3).
TEST_CASE("a list that stops midway fails soon, and a slow one that makes progress is read to its end")
{
    SlowStoreFixture fixture({ { "items", { { { "key", "my/a" }, { "revision", 7 }, { "value", std::string(1 << 20, 'A') } } } }, { "current_rev", 7 } });
    auto page = fixture.http.run(fixture.store.list("my/", ""));
    REQUIRE(page.has_value());
    CHECK(page->items.size() == 1);
    fixture.sentChunks = 1;
    auto startedAt = fixture.http.timers.now();
    CHECK(fixture.http.run(fixture.store.list("my/", "")).error().kind == ErrorKind::PlatformAnswerLost);
    CHECK(fixture.http.timers.now() - startedAt < 5s);
}

// Guards against changes that are transferred again because a renewal succeeds while they are received.
TEST_CASE("the restart of a watch does not cancel the transfer of its changes")
{
    SlowStoreFixture fixture({ { "events", { { { "key", "my/a" }, { "revision", 8 }, { "value", std::string(100000, 'A') } } } }, { "current_rev", 8 } });
    fixture.chunks = fixture.sentChunks = 5;
    auto abort = std::make_shared<AbortHandle>();
    auto restart = fixture.http.timers.once(250ms, [&] { abort->interrupt(); });
    auto changes = fixture.http.run(fixture.store.watch("my/", 7, 10s, abort));
    REQUIRE(changes.has_value());
    CHECK(changes->changes.size() == 1);
}

// Guards against state from before a restore that is taken for the state after it.
TEST_CASE("a response from before a known restore is a lost response")
{
    StoreFixture fixture;
    bool hasAnsweredFirst = false;
    HttpResponse early { 200, { { "Store-Era", "4" } }, R"({"items":[],"current_rev":530})" };
    fixture.delayed = [&]() -> asio::awaitable<std::optional<HttpResponse>> {
        if (std::exchange(hasAnsweredFirst, true))
            co_return std::nullopt;
        co_await fixture.timers.sleep(200ms);
        co_return early;
    };
    std::optional<Result<StorePage>> page;
    auto list = [&]() -> asio::awaitable<void> { page = co_await fixture.store.list("my/", ""); };
    asio::co_spawn(fixture.http.context, list(), asio::detached);
    auto later = [&]() -> asio::awaitable<Result<uint64_t>> {
        co_await fixture.timers.sleep(50ms);
        fixture.response = { 200, { { "Store-Era", "5" } }, R"({"revision":1})" };
        auto revision = co_await fixture.store.transact({}, {}, { "my/a" });
        co_await fixture.timers.sleep(400ms);
        co_return revision;
    };
    CHECK(fixture.http.run(later()).has_value());
    REQUIRE(page.has_value());
    CHECK(page->error().kind == ErrorKind::PlatformAnswerLost);
}

// Guards against calls that get no response one after the other because each reuses another connection that got silent at the same time.
TEST_CASE("after a call without a response the idle connections to the store are not used again")
{
    StoreFixture fixture;
    fixture.response = { 200, {}, R"({"items":[],"current_rev":9})" };
    // Two calls at the same time leave two idle connections.
    fixture.delayed = [&]() -> asio::awaitable<std::optional<HttpResponse>> {
        co_await fixture.timers.sleep(50ms);
        co_return std::nullopt;
    };
    auto callTwice = [&]() -> asio::awaitable<bool> {
        asio::co_spawn(fixture.http.context, fixture.store.list("my/", ""), asio::detached);
        auto page = co_await fixture.store.list("my/", "");
        co_await fixture.timers.sleep(100ms);
        co_return page.has_value();
    };
    REQUIRE(fixture.http.run(callTwice()));
    REQUIRE(fixture.pool.openedConnections() == 2);
    fixture.delayed = [&]() -> asio::awaitable<std::optional<HttpResponse>> {
        co_await fixture.timers.sleep(1s);
        co_return std::nullopt;
    };
    CHECK(fixture.http.run(fixture.store.list("my/", "")).error().kind == ErrorKind::PlatformAnswerLost);
    fixture.delayed = nullptr;
    CHECK(fixture.http.run(fixture.store.list("my/", "")).has_value());
    CHECK(fixture.pool.openedConnections() == 3);
}

// Guards against connections that got silent a second time and that no call shows: a watch had taken the renewal's connection, and the next
// renewal opened a new one (trial of review/4 with a second silence).
TEST_CASE("a watch leaves the idle connection of the other calls to the next call")
{
    StoreFixture fixture;
    fixture.response = { 200, {}, R"({"items":[],"events":[],"current_rev":9})" };
    REQUIRE(fixture.http.run(fixture.store.list("my/", "")).has_value());
    REQUIRE(fixture.http.run(fixture.store.watch("my/", 9, 0s, nullptr)).has_value());
    REQUIRE(fixture.http.run(fixture.store.list("my/", "")).has_value());
    CHECK(fixture.pool.openedConnections() == 1);
    CHECK(fixture.watchPool.openedConnections() == 1);
}
