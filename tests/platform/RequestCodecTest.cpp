#include "platform/RequestCodec.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace chestnut::platform;
using namespace std::chrono_literals;

namespace {

HttpRequest clientRequest()
{
    return { "POST", "/a/b?c=d", { { "Host", "h.example:8144" }, { "X-Chestnutroute-Request-Id", "q1" }, { "X-Chestnutroute-Model", "m" }, { "X-Chestnutroute-Token-Count", "1460,80" }, { "X-Chestnutroute-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250" }, { "X-Chestnutroute-Deadline-Ms", "2000" }, { "X-Other", "kept" } }, "body" };
}

ReplicaCall callFor(const RoutedRequest& request)
{
    return { request, ReplicaId("i-1"), "10.0.0.1:80", 1500ms };
}

} // namespace

TEST_CASE("a request is decoded with its id, host, deadline and prompt")
{
    auto request = decodeRequest(clientRequest(), TimePoint(1s));
    CHECK(request.id == RequestId("q1"));
    CHECK(request.timeLeft == Duration(2000ms));
    REQUIRE(request.prompt.has_value());
    CHECK(request.prompt->promptTokens == 1460);
    CHECK(request.prompt->maximumOutputTokens == 80);
    CHECK(request.prompt->parts == std::vector<PromptPart> { { 0x5c1e07a2, 800 }, { 0x91bd3f06, 410 }, { 0xe4402b7d, 250 } });
    CHECK(sharingKey(*request.prompt) == 0x91bd3f06);
}

TEST_CASE("method, target, body and the client's headers are forwarded unchanged, with the remaining time")
{
    auto request = decodeRequest(clientRequest(), TimePoint(1s));
    auto call = encodeCall(callFor(request));
    CHECK(call.method == "POST");
    CHECK(call.target == "/a/b?c=d");
    CHECK(call.body == "body");
    for (const auto* name : { "Host", "X-Chestnutroute-Request-Id", "X-Chestnutroute-Model", "X-Chestnutroute-Token-Count", "X-Chestnutroute-Prompt-Prefix", "X-Other" })
        CHECK(call.headers.value(name) == clientRequest().headers.value(name));
    CHECK(call.headers.value("X-Chestnutroute-Deadline-Ms") == "1500");
    CHECK(call.headers.value("X-Chestnutroute-Expect-Instance") == "i-1");
}

TEST_CASE("headers that only the system may set are dropped when a client sends them")
{
    auto http = clientRequest();
    for (const auto* name : { "X-Chestnutroute-Kv-Hold", "X-Chestnutroute-Pin-Ms", "X-Chestnutroute-Kv-Backup", "X-Chestnutroute-Kv-Source", "X-Chestnutroute-Stage", "X-Chestnutroute-Request-Priority", "x-chestnutroute-expect-instance", "Kv-Fetch" })
        http.headers.set(name, "forged");
    auto request = decodeRequest(http, TimePoint(1s));
    auto call = encodeCall(callFor(request));
    for (const auto& field : call.headers.fields())
        CHECK_MESSAGE(field.second != "forged", field.first);
}

TEST_CASE("connection-specific headers are dropped, including those that the Connection field lists")
{
    auto http = clientRequest();
    http.headers.set("Connection", "keep-alive, X-Hop");
    http.headers.set("X-Hop", "1");
    http.headers.set("Transfer-Encoding", "chunked");
    http.headers.set("Keep-Alive", "timeout=4");
    auto request = decodeRequest(http, TimePoint(1s));
    for (const auto* name : { "Connection", "X-Hop", "Transfer-Encoding", "Keep-Alive" })
        CHECK_FALSE(request.forwarded.headers.contains(name));
}

TEST_CASE("prompt parts after an invalid one are ignored")
{
    auto http = clientRequest();
    http.headers.set("X-Chestnutroute-Prompt-Prefix", "5c:800,bad,e4:250");
    CHECK(decodeRequest(http, TimePoint(1s)).prompt->parts.size() == 1);
    http.headers.set("X-Chestnutroute-Token-Count", "many");
    CHECK_FALSE(decodeRequest(http, TimePoint(1s)).prompt.has_value());
}

TEST_CASE("a response counts as executed only with the seal and without a content encoding")
{
    ReplicaId expected("i-1");
    HttpHeaders sealed { { "X-Chestnutroute-Server-Seal", "s" } };
    CHECK(executionStatusOf(200, sealed, expected) == ExecutionStatus::Executed);
    CHECK(executionStatusOf(500, sealed, expected) == ExecutionStatus::Executed);
    CHECK(executionStatusOf(200, {}, expected) == ExecutionStatus::Unverified);
    CHECK(executionStatusOf(200, { { "X-Chestnutroute-Server-Seal", "s" }, { "Content-Encoding", "gzip" } }, expected) == ExecutionStatus::Unverified);
    CHECK(executionStatusOf(503, { { "X-Chestnutroute-Not-Executed", "1" } }, expected) == ExecutionStatus::NotExecuted);
    CHECK(executionStatusOf(421, {}, expected) == ExecutionStatus::WrongReplica);
    // Status 503 without the header X-Chestnutroute-Not-Executed does not prove that the request has not run.
    CHECK(executionStatusOf(503, {}, expected) == ExecutionStatus::Unverified);
}

TEST_CASE("a response with the id of another request is rejected")
{
    CHECK(isResponseTo({ { "X-Chestnutroute-Request-Id", "q1" } }, RequestId("q1")));
    CHECK_FALSE(isResponseTo({ { "X-Chestnutroute-Request-Id", "q0" } }, RequestId("q1")));
    CHECK(isResponseTo({}, RequestId()));
}

// Guards against a client that runs requests at the cost of another account, or reads the account's header into its own.
TEST_CASE("a client's value of the account header is dropped, and the authenticated account's name is set")
{
    auto http = clientRequest();
    http.headers.set("x-chestnutroute-tenant", "forged");
    auto request = decodeRequest(http, TimePoint(1s));
    CHECK_FALSE(encodeCall(callFor(request)).headers.contains("X-Chestnutroute-Tenant"));
    request.account = RequestAccount { AccountId("t1"), {} };
    CHECK(encodeCall(callFor(request)).headers.value("X-Chestnutroute-Tenant") == "t1");
    // Also in calls after the first one of a stream.
    auto resumed = callFor(request);
    resumed.resumeAfter = "4";
    CHECK(encodeCall(resumed).headers.value("X-Chestnutroute-Tenant") == "t1");
}

// Guards against keys that reach replicas.
TEST_CASE("the key header is dropped, and forwarded only where it is an ordinary field")
{
    auto http = clientRequest();
    http.headers.set("x-api-KEY", "k1");
    auto request = decodeRequest(http, TimePoint(1s));
    CHECK(request.key == "k1");
    CHECK_FALSE(encodeCall(callFor(request)).headers.contains("X-Api-Key"));
    request.forwardsKey = true;
    CHECK(encodeCall(callFor(request)).headers.value("X-Api-Key") == "k1");
}

TEST_CASE("several fields with a key count as none")
{
    HttpRequest http { "GET", "/", { { "X-Api-Key", "k1" }, { "X-Api-Key", "k2" } }, "" };
    auto request = decodeRequest(http, TimePoint(1s));
    CHECK(request.key.empty());
    CHECK_FALSE(encodeCall(callFor(request)).headers.contains("X-Api-Key"));
}
