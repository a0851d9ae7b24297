#include "platform/HttpReplicaClient.h"
#include "platform/NoticeCodec.h"
#include "support/HttpFixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** A replica that gives a fixed response to every request, with the request's id if it has one. */
struct ReplicaFixture {
    HttpResponse response;
    test::HttpFixture http { [this](HttpRequest request, HttpResponseWriter& writer) -> asio::awaitable<void> {
        auto copy = response;
        if (auto id = request.headers.value("X-Chestnutroute-Request-Id"); !id.empty())
            copy.headers.set("X-Chestnutroute-Request-Id", std::string(id));
        (void)co_await writer.send(std::move(copy));
    } };
    ConnectionPool pool { http.context, http.timers, {} };
    MemoryLog log;
    platform::HttpReplicaClient client { pool, http.timers, log };
    std::vector<ReplicaNotice> notices;
    std::string address = formatEndpoint(http.server.endpoint());

    ReplicaFixture()
    {
        client.onNotice([this](const ReplicaNotice& notice) { notices.push_back(notice); });
    }

    void callAll()
    {
        RoutedRequest request;
        request.id = RequestId("q1");
        request.forwarded = { "GET", "/", { { "X-Chestnutroute-Request-Id", "q1" } }, {} };
        ReplicaCall call { request, ReplicaId("i-1"), address, 1s };
        (void)http.run(client.send(call));
        (void)http.run(client.prefill(call));
        (void)http.run(client.release({ address, "k", ReplicaId("i-1") }));
        (void)http.run(client.report(ReplicaId("i-1"), address));
        (void)http.run(client.order({ ReplicaId("i-1"), address }));
    }
};

} // namespace

TEST_CASE("each call passes on what the response says about the replica, whatever its status")
{
    for (int status : { 200, 202, 404, 500, 503 }) {
        CAPTURE(status);
        ReplicaFixture fixture;
        fixture.response = { status, { { "Server-Leaving", "1" }, { "Retry-After", "1.5" } }, "" };
        fixture.callAll();
        std::vector<std::string> requests;
        for (const auto& notice : fixture.notices) {
            CHECK(notice.content.isLeaving);
            CHECK(notice.content.backoff == (status == 503 ? std::optional(Duration(1500ms)) : std::nullopt));
            CHECK(notice.replica == ReplicaId("i-1"));
            CHECK(notice.address == fixture.address);
            requests.push_back(notice.request);
        }
        CHECK(requests == std::vector<std::string> { "q1", "q1", "release", "report", "order" });
    }
}

// Guards against bursts that reach a replica in its pause because their connections were being opened when it began.
TEST_CASE("a call is not sent when its replica wants no requests once the connection is open")
{
    ReplicaFixture fixture;
    fixture.response = { 200, { { "Server-Leaving", "1" } }, "" };
    fixture.client.setAdmission([](const ReplicaId& replica) { return replica != ReplicaId("i-1"); });
    fixture.callAll();
    CHECK(fixture.notices.empty());
    CHECK(fixture.pool.openedConnections() > 0);
}

TEST_CASE("a response of another replica at the address says nothing about the expected one")
{
    ReplicaId expected("i-1");
    CHECK(platform::responderOf(200, {}, expected) == expected);
    CHECK(platform::responderOf(421, {}, expected) == std::nullopt);
    CHECK(platform::responderOf(421, { { "X-Chestnutroute-Instance-Id", "i-2" } }, expected) == ReplicaId("i-2"));
}

TEST_CASE("a departure is announced by the value 1 alone; other values are reported as unreadable")
{
    struct Case {
        HttpHeaders headers;
        bool isLeaving;
        bool isReadable;
    };
    for (const auto& [headers, isLeaving, isReadable] : std::vector<Case> {
             { {}, false, true },
             { { { "server-leaving", " 1 " } }, true, true },
             { { { "Server-Leaving", "0" } }, false, true },
             { { { "Server-Leaving", "0" }, { "Server-Leaving", "1" } }, true, true },
             { { { "Server-Leaving", "" } }, false, false },
             { { { "Server-Leaving", "11" } }, false, false },
             { { { "Server-Leaving", "1, 1" } }, false, false } }) {
        auto content = platform::decodeNotice(200, headers);
        CAPTURE(content.unreadable);
        CHECK(content.isLeaving == isLeaving);
        CHECK(content.unreadable.empty() == isReadable);
    }
}

TEST_CASE("Retry-After of a refusal is read in seconds; invalid values are reported as unreadable")
{
    struct Case {
        HttpHeaders headers;
        std::optional<Duration> backoff;
        bool isReadable;
    };
    for (const auto& [headers, backoff, isReadable] : std::vector<Case> {
             { { { "retry-after", " 2 " } }, 2s, true },
             { { { "Retry-After", "0.25" } }, 250ms, true },
             { { { "Retry-After", "0" } }, 0s, true },
             { { { "Retry-After", "1e300" } }, 24h, true },
             { { { "Retry-After", "1" }, { "Retry-After", "3" }, { "Retry-After", "2" } }, 3s, true },
             { { { "Retry-After", "soon" }, { "Retry-After", "2" } }, 2s, false },
             { { { "Retry-After", "-1" } }, std::nullopt, false },
             { { { "Retry-After", "nan" } }, std::nullopt, false },
             { { { "Retry-After", "inf" } }, std::nullopt, false },
             { { { "Retry-After", "1, 2" } }, std::nullopt, false },
             { { { "Retry-After", "" } }, std::nullopt, false },
             { { { "Retry-After", "Fri, 04 Dec 2026 22:00:00 GMT" } }, std::nullopt, false } }) {
        auto content = platform::decodeNotice(503, headers);
        const auto value = headers.fields().front().second;
        CAPTURE(value);
        CHECK(content.backoff == backoff);
        CHECK(content.unreadable.empty() == isReadable);
        CHECK(platform::decodeNotice(200, headers) == NoticeContent {});
    }
}

// Guards against log lines as long as a header, with bytes that are not text.
TEST_CASE("unreadable values are reported in a short printable form")
{
    const std::string leavingValue(8000, '\xff');
    const auto time = std::string(8000, '9') + "x";
    auto content = platform::decodeNotice(503, { { "Server-Leaving", leavingValue }, { "Retry-After", time }, { "Retry-After", time }, { "Retry-After", time } });
    CHECK_FALSE(content.unreadable.empty());
    CHECK(content.unreadable.size() < 500);
    CHECK(std::ranges::all_of(content.unreadable, [](unsigned char c) { return c >= ' ' && c < 0x7f; }));
    CHECK_FALSE(content.backoff.has_value());
}

// Guards against a handle of a faulty engine that breaks the header or the path it is sent in.
TEST_CASE("a prefill response whose handle is no token is a failed call")
{
    ReplicaFixture fixture;
    RoutedRequest request;
    request.forwarded = { "GET", "/", {}, {} };
    for (const std::string handle : { R"()", R"(a\r\nX-Other: 1)", R"(a b)", R"(\u00e9)", R"(a\u0000)" }) {
        CAPTURE(handle);
        fixture.response = { 200, {}, R"({"kv_handle":")" + handle + R"("})" };
        auto response = fixture.http.run(fixture.client.prefill({ request, ReplicaId("i-1"), fixture.address, 1s }));
        CHECK_FALSE(response.has_value());
    }
    fixture.response = { 200, {}, R"({"kv_handle":"3fa09c41b7d5"})" };
    CHECK(fixture.http.run(fixture.client.prefill({ request, ReplicaId("i-1"), fixture.address, 1s })).has_value());
}

// Guards against bytes of a faulty replica that are read as a departure, or as a time that is negative or out of range.
TEST_CASE("arbitrary values of both headers are read as one departure, a bounded time, or nothing")
{
    rc::detail::TestParams parameters;
    parameters.seed = 23;
    auto property = [] {
        auto value = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("0123456789.eE+-xnaif \t,")));
        auto content = platform::decodeNotice(503, { { "Server-Leaving", value }, { "Retry-After", value } });
        auto isOne = value.find_first_not_of(" \t1") == std::string::npos && std::ranges::count(value, '1') == 1;
        RC_ASSERT(!content.isLeaving || isOne);
        RC_ASSERT(content.backoff.value_or(0s) >= 0s);
        RC_ASSERT(content.backoff.value_or(0s) <= 24h);
    };
    CHECK(rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters).is<rc::detail::SuccessResult>());
}

TEST_CASE("Server-Limit is read in requests per second; invalid values are reported as unreadable")
{
    struct Case {
        HttpHeaders headers;
        std::optional<double> perSecond;
        bool isReadable;
    };
    for (const auto& [headers, perSecond, isReadable] : std::vector<Case> {
             { { { "server-limit", " 26.3 " } }, 26.3, true },
             { { { "Server-Limit", "0" } }, 0, true },
             { { { "Server-Limit", "1e300" } }, 1e300, true },
             { { { "Server-Limit", "8" }, { "Server-Limit", "3" }, { "Server-Limit", "5" } }, 3, true },
             { { { "Server-Limit", "few" }, { "Server-Limit", "2" } }, 2, false },
             { { { "Server-Limit", "-1" } }, std::nullopt, false },
             { { { "Server-Limit", "nan" } }, std::nullopt, false },
             { { { "Server-Limit", "inf" } }, std::nullopt, false },
             { { { "Server-Limit", "" } }, std::nullopt, false },
             { { { "Server-Limit", "1, 2" } }, std::nullopt, false } }) {
        for (int status : { 200, 500, 503 }) {
            auto content = platform::decodeNotice(status, headers);
            const auto value = headers.fields().front().second;
            CAPTURE(value);
            CHECK(content.rate == (perSecond ? std::optional(RateNotice { perSecond }) : std::nullopt));
            CHECK(content.unreadable.empty() == isReadable);
        }
        // A late response may be older than what the replica says now.
        CHECK_FALSE(platform::decodeLateNotice(headers).rate.has_value());
    }
}

TEST_CASE("only a response to a request shows by a missing Server-Limit that there is no limit")
{
    ReplicaFixture fixture;
    fixture.response = { 200, {}, "" };
    fixture.callAll();
    for (const auto& notice : fixture.notices) {
        CHECK(notice.request == "q1");
        CHECK(notice.content.rate == RateNotice {});
    }
    CHECK(fixture.notices.size() == 2);
}
