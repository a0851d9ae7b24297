#include "platform/ReplicaListener.h"
#include "support/HttpFixture.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <map>

using namespace chestnut;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr std::string_view idField = "X-Chestnutroute-Request-Id: ";

std::string response(std::string_view status, const std::string& id, std::string_view fields, std::string_view body = {})
{
    std::string text = "HTTP/1.1 ";
    text.append(status).append("\r\n").append(idField).append(id).append("\r\n").append(fields);
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return text;
}

std::string refusalOf(const std::string& id)
{
    return response("503 Service Unavailable", id, "X-Chestnutroute-Not-Executed: 1\r\n");
}

std::string misdirectionOf(const std::string& id)
{
    return response("421 Misdirected Request", id, {});
}

/** Refuses the first request with each id and runs the later ones. Before each later response it writes once more what it has
    sent for that id on the same connection. */
struct CopyingReplica : test::ReplicaListener {
    explicit CopyingReplica(std::string (*refusal)(const std::string&))
        : refuse(refusal)
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
        std::map<std::string, std::string> sent;
        boost::system::error_code error;
        std::string buffer;
        while (true) {
            auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            auto begin = buffer.find(idField) + idField.size();
            auto id = buffer.substr(begin, buffer.find("\r\n", begin) - begin);
            buffer.erase(0, size);
            auto copy = sent[id];
            sent[id] = answer(id);
            co_await asio::async_write(socket, asio::buffer(copy + sent[id]), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    std::string answer(const std::string& id)
    {
        if (calls[id]++ == 0)
            return refuse(id);
        ++runs;
        return response("200 OK", id, "X-Chestnutroute-Server-Seal: s\r\n", R"({"kv_handle":"k)" + std::to_string(calls[id]) + "\"}");
    }

    ReplicaCall callOf(const RoutedRequest& request, const std::string& replica) const { return { request, ReplicaId(replica), address(), 500ms }; }

    static RoutedRequest requestOf(const std::string& id)
    {
        RoutedRequest request;
        request.id = RequestId(id);
        request.forwarded = { "GET", "/", { { "X-Chestnutroute-Request-Id", id } }, {} };
        return request;
    }

    static asio::awaitable<Result<ExecutionStatus>> send(ReplicaClient& replicas, ReplicaCall call)
    {
        auto result = co_await replicas.send(std::move(call));
        if (!result)
            co_return result.error();
        auto body = co_await readWholeBody(*result->body, 100);
        if (!body)
            co_return body.error();
        co_return result->executionStatus;
    }

    Result<ExecutionStatus> call(const std::string& id, const std::string& replica = "i-1")
    {
        auto request = requestOf(id);
        return test::runToEnd(context, send(client, callOf(request, replica)));
    }

    Result<PrefillResponse> prefill(const std::string& id)
    {
        auto request = requestOf(id);
        return test::runToEnd(context, client.prefill(callOf(request, "i-1")));
    }

    std::string (*refuse)(const std::string&);
    std::map<std::string, int> calls; /**< by request id */
    int runs = 0;
};

} // namespace

// Guards against TWICE and REFUSED: a request counts as not run although its replica runs it.
TEST_CASE("a copy of the refusal of a request does not refuse it when it is sent to the replica again")
{
    CopyingReplica replica(refusalOf);
    CHECK(replica.call("q1").value() == ExecutionStatus::NotExecuted);
    CHECK(replica.call("q1").value() == ExecutionStatus::Executed);
    CHECK(replica.runs == 1);
}

// Guards against TWICE: the address of a replica is used again by another one, which runs the request.
TEST_CASE("a copy of the misdirection of a request does not refuse it when it is sent to the address under another replica id")
{
    CopyingReplica replica(misdirectionOf);
    CHECK(replica.call("q1", "i-1").value() == ExecutionStatus::WrongReplica);
    CHECK(replica.call("q1", "i-2").value() == ExecutionStatus::Executed);
    CHECK(replica.runs == 1);
}

TEST_CASE("a copy of the response to a prefill is not the response to a later call with the same id")
{
    CopyingReplica replica(refusalOf);
    CHECK_FALSE(replica.prefill("q1").has_value());
    CHECK(replica.prefill("q1").value().handle.id == "k2");
    CHECK(replica.prefill("q1").value().handle.id == "k3");
    CHECK(replica.call("q1").value() == ExecutionStatus::Executed);
}

// Guards against a connection for each refusal while replicas are full.
TEST_CASE("connections on which requests were refused carry other requests")
{
    CopyingReplica replica(refusalOf);
    for (int i = 0; i < 40; ++i)
        CHECK(replica.call("q" + std::to_string(i)).value() == ExecutionStatus::NotExecuted);
    CHECK(replica.pool.openedConnections() == 1);
    for (int i = 0; i < 40; ++i)
        CHECK(replica.call("q" + std::to_string(i)).value() == ExecutionStatus::Executed);
    CHECK(replica.pool.openedConnections() == 2);
}
