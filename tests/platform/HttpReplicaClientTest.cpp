#include "platform/ReplicaListener.h"
#include "support/HttpFixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;
using asio::ip::tcp;
using test::ReplicaListener;

namespace {

const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Chestnutroute-Not-Executed: 1\r\n";
const std::string noBody = "Content-Length: 0\r\n\r\n";
const std::string success = "HTTP/1.1 200 OK\r\nX-Chestnutroute-Request-Id: q2\r\nX-Chestnutroute-Server-Seal: s\r\n" + noBody;

/** A refusal with these header lines. */
std::string refusalWith(std::string_view lines)
{
    auto text = refusal;
    text.append(lines);
    text.append(noBody);
    return text;
}

/** Refuses the first request of a connection and responds to the second one with the given bytes. */
struct KeptConnection : ReplicaListener {
    explicit KeptConnection(std::string bytes)
        : response(std::move(bytes))
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    asio::awaitable<void> serve()
    {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        asio::streambuf buffer;
        for (const auto& bytes : { refusalWith("X-Chestnutroute-Request-Id: q1\r\n"), response }) {
            buffer.consume(co_await asio::async_read_until(socket, buffer, "\r\n\r\n", asio::use_awaitable));
            co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        }
        // The connection stays open.
        co_await socket.async_wait(tcp::socket::wait_error, asio::use_awaitable);
    }

    Result<ExecutionStatus> call(const std::string& id)
    {
        RoutedRequest request;
        request.id = RequestId(id);
        request.forwarded = { "GET", "/", { { "X-Chestnutroute-Request-Id", id } }, {} };
        auto exchange = [this](platform::HttpReplicaClient& replicas, ReplicaCall replicaCall) -> asio::awaitable<Result<ExecutionStatus>> {
            auto result = co_await replicas.send(std::move(replicaCall));
            if (!result)
                co_return result.error();
            status = result->body->status();
            auto body = co_await readWholeBody(*result->body, 100);
            if (!body)
                co_return body.error();
            co_return result->executionStatus;
        };
        return test::runToEnd(context, exchange(client, { request, ReplicaId("i-1"), address(), 200ms }));
    }

    std::string response;
    int status = 0; /**< of the last response */
};

} // namespace

// Guards against a cut copy of a refusal and the next response that are read as one: "not run", or a wrong status, for a request that ran.
TEST_CASE("an earlier refusal that is cut at any byte never becomes a part of the next response")
{
    auto copy = refusalWith("X-Chestnutroute-Request-Id: q1\r\nX-Chestnutroute-Instance-Id: i-1\r\n");
    size_t answered = 0;
    for (size_t cut = 0; cut <= copy.size(); ++cut) {
        KeptConnection replica(copy.substr(0, cut) + success);
        CHECK(replica.call("q1").value() == ExecutionStatus::NotExecuted);
        auto result = replica.call("q2");
        if (!result) {
            CHECK_MESSAGE(describe(result.error().kind).outcome != Outcome::NotRun, cut);
            continue;
        }
        ++answered;
        CHECK_MESSAGE(*result == ExecutionStatus::Executed, cut);
        CHECK_MESSAGE(replica.status == 200, cut);
    }
    // Without a copy and after a whole one.
    CHECK(answered == 2);
}

// Guards against a response whose fields belong to two requests.
TEST_CASE("a response that repeats a field about its request is malformed")
{
    for (const std::string& field : { std::string("X-Chestnutroute-Request-Id: q2\r\n"), std::string("X-Chestnutroute-Request-Id: q1\r\n"), std::string("X-Chestnutroute-Server-Seal: t\r\n") }) {
        auto repeated = success;
        repeated.insert(repeated.find("Content-Length"), field);
        KeptConnection replica(repeated);
        CHECK(replica.call("q1").value() == ExecutionStatus::NotExecuted);
        CHECK(replica.call("q2").error().kind == ErrorKind::ProtocolError);
    }
}

// Guards against "not run" for a request that a replica runs, and against its second run.
TEST_CASE("an earlier refusal that is written once more does not refuse the next request on its connection")
{
    for (const std::string& id : { std::string("X-Chestnutroute-Request-Id: q1\r\n"), std::string("X-Chestnutroute-Request-Id: \r\n"), std::string() }) {
        auto copy = refusalWith(id);
        KeptConnection responding(copy + success);
        CHECK(responding.call("q1").value() == ExecutionStatus::NotExecuted);
        CHECK(responding.call("q2").value() == ExecutionStatus::Executed);
        KeptConnection silent(copy + copy);
        CHECK(silent.call("q1").value() == ExecutionStatus::NotExecuted);
        auto unanswered = silent.call("q2");
        REQUIRE_FALSE(unanswered.has_value());
        CHECK(describe(unanswered.error().kind).outcome != Outcome::NotRun);
    }
}

namespace {

/** Responds to each request of a connection with its report, written once more before a later response, which refuses an order. */
struct RepeatingReplica : ReplicaListener {
    RepeatingReplica() { asio::co_spawn(context, acceptAll(), asio::detached); }

    asio::awaitable<void> acceptAll()
    {
        while (true)
            asio::co_spawn(context, serve(co_await acceptor.async_accept(asio::use_awaitable)), asio::detached);
    }

    static asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string report = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"seq_no\":2}";
        std::string refusedOrder = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
        asio::streambuf buffer;
        std::string earlier;
        while (true) {
            auto size = co_await asio::async_read_until(socket, buffer, "\r\n\r\n", asio::use_awaitable);
            auto isReport = static_cast<const char*>(buffer.data().data())[0] == 'G';
            buffer.consume(isReport ? size : buffer.size());
            earlier += isReport ? report : refusedOrder;
            co_await asio::async_write(socket, asio::buffer(earlier), asio::use_awaitable);
        }
    }
};

} // namespace

// Guards against an order that is taken for done because the report before it was written once more.
TEST_CASE("an earlier report that is written once more is not the response to an order")
{
    RepeatingReplica replica;
    ReplicaId id("i-1");
    CHECK(test::runToEnd(replica.context, replica.client.report(id, replica.address())).value().acceptedOrders == 2);
    CHECK(test::runToEnd(replica.context, replica.client.order({ id, replica.address(), EngineStage::Decode, "d0", 1, 2 })).value() == OrderResult::Refused);
}

namespace {

/** Responds to each request with the given bytes and keeps what was sent; without bytes it never responds. */
struct AnsweringReplica : ReplicaListener {
    explicit AnsweringReplica(std::string bytes)
        : response(std::move(bytes))
    {
        asio::co_spawn(context, acceptAll(), asio::detached);
    }

    asio::awaitable<void> acceptAll()
    {
        while (true)
            asio::co_spawn(context, serve(co_await acceptor.async_accept(asio::use_awaitable)), asio::detached);
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string bytes(4096, '\0');
        while (true) {
            auto size = co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
            received.append(bytes, 0, size);
            if (!response.empty() && received.ends_with(received.starts_with("GET") ? "\r\n\r\n" : "}"))
                co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
        }
    }

    static std::string withBody(const std::string& body) { return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; }

    EngineRun run() const { return { ReplicaId("i-1"), address(), RequestId("q1") }; }

    Result<bool> mayBeRunning() { return test::runToEnd(context, client.mayBeRunning(run(), 200ms)); }
    Result<RunStopResult> stop() { return test::runToEnd(context, client.stopRun(run(), "10.0.0.2:80", 200ms)); }

    std::string response;
    std::string received;
};

} // namespace

// Guards against a second run of a request beside one that its engine still lists, or whose end is unknown.
TEST_CASE("only a report that lists other runs shows that a run has ended")
{
    for (const auto* body : { R"({"runs":[["q2",10,1,5],["q1",900,33,4]]})", R"({"running":1})", R"({"runs":7})", R"({"runs":[{}]})", "?", "" })
        CHECK(AnsweringReplica(AnsweringReplica::withBody(body)).mayBeRunning().value());
    for (const auto* body : { R"({"runs":[["q2",10,1,5]]})", R"({"runs":[]})" })
        CHECK_FALSE(AnsweringReplica(AnsweringReplica::withBody(body)).mayBeRunning().value());
    CHECK_FALSE(AnsweringReplica("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n").mayBeRunning().value());
    CHECK_FALSE(AnsweringReplica("").mayBeRunning().has_value());
}

TEST_CASE("a run counts as ended when its engine has stopped it or does not know it")
{
    AnsweringReplica stopping(AnsweringReplica::withBody("{}"));
    CHECK(stopping.stop().value() == RunStopResult::Stopped);
    CHECK(stopping.received.starts_with("POST /v1/kv-move "));
    CHECK(stopping.received.ends_with(R"({"id":"q1","last":true,"to":"10.0.0.2:80"})"));
    CHECK(AnsweringReplica("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").stop().value() == RunStopResult::NotRunning);
    CHECK(AnsweringReplica("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n").stop().value() == RunStopResult::WrongReplica);
    CHECK(AnsweringReplica("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").stop().value() == RunStopResult::Refused);
    CHECK_FALSE(AnsweringReplica("").stop().has_value());
}

// Guards against a run that counts as going on although its engine has ended it and only the move of its KV cache has failed.
TEST_CASE("a stop whose move has failed has ended the run")
{
    auto unavailable = [](const std::string& body) { return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; };
    CHECK(AnsweringReplica(unavailable(R"({"kv_handle":"3fa09c41b7d5","create_revision":4})")).stop().value() == RunStopResult::Stopped);
    for (const auto* body : { "", "{}", R"({"kv_handle":7})", R"({"kv_handle":""})", "[]" })
        CHECK(AnsweringReplica(unavailable(body)).stop().value() == RunStopResult::Refused);
}
