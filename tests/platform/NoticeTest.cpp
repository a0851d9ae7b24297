#include "platform/HttpReplicaClient.h"
#include "platform/NoticeCodec.h"
#include "support/HttpFixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** A replica that gives a fixed response to every request. */
struct ReplicaFixture {
    HttpResponse response;
    test::HttpFixture http { [this](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> { (void)co_await writer.send(response); } };
    ConnectionPool pool { http.context, http.timers, {} };
    platform::HttpReplicaClient client { pool, http.timers };
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
        fixture.response = { status, { { "Server-Leaving", "1" } }, "" };
        fixture.callAll();
        std::vector<std::string> requests;
        for (const auto& notice : fixture.notices) {
            CHECK(notice.content.isLeaving);
            CHECK(notice.replica == ReplicaId("i-1"));
            CHECK(notice.address == fixture.address);
            requests.push_back(notice.request);
        }
        CHECK(requests == std::vector<std::string> { "q1", "q1", "release", "report", "order" });
    }
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
        auto content = platform::decodeNotice(headers);
        CAPTURE(content.unreadable);
        CHECK(content.isLeaving == isLeaving);
        CHECK(content.unreadable.empty() == isReadable);
    }
}

TEST_CASE("no value of the header but 1 takes a replica out of service")
{
    rc::detail::TestParams parameters;
    parameters.seed = 23;
    auto property = [] {
        auto value = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("01 \t,x")));
        auto isOne = value.find_first_not_of(" \t1") == std::string::npos && std::ranges::count(value, '1') == 1;
        RC_PRE(!isOne);
        RC_ASSERT_FALSE(platform::decodeNotice({ { "Server-Leaving", value } }).isLeaving);
    };
    CHECK(rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters).is<rc::detail::SuccessResult>());
}
