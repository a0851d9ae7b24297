#include "platform/ReplicaListener.h"
#include "platform/StoreClient.h"
#include "platform/TaskClient.h"
#include "support/HttpFixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;
using asio::ip::tcp;
using test::ReplicaListener;

namespace {

/** A server that answers each request with the same bytes: a replica, the store and the task platform. */
struct FixedResponse : ReplicaListener {
    explicit FixedResponse(std::string bytes)
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
        asio::streambuf buffer;
        boost::system::error_code error;
        auto ignoringErrors = asio::redirect_error(asio::use_awaitable, error);
        while (!error) {
            auto size = co_await asio::async_read_until(socket, buffer, "\r\n\r\n", ignoringErrors);
            buffer.consume(size);
            co_await asio::async_write(socket, asio::buffer(response), ignoringErrors);
        }
    }

    /** Whether the call has an answer, that is, no error. */
    template <typename T>
    bool hasAnswer(asio::awaitable<Result<T>> call)
    {
        return test::runToEnd(context, std::move(call)).has_value();
    }

    /** The calls that have an answer. */
    std::vector<std::string> answered()
    {
        ReplicaId id("i-1");
        EngineRun run { id, address(), RequestId("q1") };
        RoutedRequest request;
        request.id = RequestId("q1");
        request.forwarded = { "POST", "/", { { "X-Chestnutroute-Request-Id", "q1" } }, "body" };
        ReplicaCall call { request, id, address(), 500ms };
        Endpoint endpoint { "127.0.0.1", acceptor.local_endpoint().port() };
        ConnectionPool watchPool { context, timers, {} };
        Metrics metrics;
        platform::StoreClient store { pool, watchPool, log, endpoint };
        platform::TaskClient tasks { pool, timers, metrics, { endpoint, 50 } };
        std::vector<std::string> names;
        auto add = [&names](const char* name, bool isAnswered) {
            if (isAnswered)
                names.emplace_back(name);
        };
        add("request", hasAnswer(client.send(call)));
        add("prefill", hasAnswer(client.prefill(call)));
        add("release", hasAnswer(client.release({ address(), "h", id })));
        add("report", hasAnswer(client.report(id, address())));
        add("order", hasAnswer(client.order({ id, address(), EngineStage::Decode, "d0", 1, 0 })));
        add("run query", hasAnswer(client.mayBeRunning(run, 500ms)));
        add("run stop", hasAnswer(client.stopRun(run, "10.0.0.2:80", 500ms)));
        add("list", hasAnswer(store.list("my/", "")));
        add("watch", hasAnswer(store.watch("my/", 6, 100ms, nullptr)));
        add("transaction", hasAnswer(store.transact({}, {}, { "my/a" })));
        add("task", hasAnswer(tasks.orderReplicas({ ServiceId("s"), AvailabilityZone("a"), 3, false }, { DaemonId("d0"), 7 })));
        return names;
    }

    std::string response;
};

const std::string body = R"({"kv_handle":"h","tokens":1,"version":1,"seq_no":1,"items":[],"events":[],"current_rev":9,"revision":9,"runs":[]})";

std::string responseOf(const std::string& statusLine, const std::string& fields)
{
    return "HTTP/1.1 " + statusLine + "\r\nX-Chestnutroute-Server-Seal: s\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string idField = "X-Chestnutroute-Request-Id: q1\r\n";

} // namespace

// Guards against bytes that one of the readers of responses takes for an answer, for example with the status 000.
TEST_CASE("no call accepts a response that does not follow HTTP")
{
    const std::vector<std::string> statuses { "000 Odd", "099 Odd", "600 Odd", "101 Switching Protocols" };
    const std::vector<std::string> badFields { "X Field: 1\r\n", "X\x01: 1\r\n", ": 1\r\n", "X: a\x01\r\n", "Transfer-Encoding: gzip\r\n" };
    for (const auto& fields : { idField, std::string() }) {
        for (const auto& status : statuses)
            CHECK_MESSAGE(FixedResponse(responseOf(status, fields)).answered() == std::vector<std::string>(), status);
        for (const auto& field : badFields)
            CHECK_MESSAGE(FixedResponse(responseOf("200 OK", fields + field)).answered() == std::vector<std::string>(), field);
    }
    // A well-formed response without an id is no answer to a request or a prefill; one with an id is one only to them, the store and the task platform.
    CHECK(FixedResponse(responseOf("200 OK", "")).answered().size() == 9);
    CHECK(FixedResponse(responseOf("200 OK", idField)).answered().size() == 6);
}
