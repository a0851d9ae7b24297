#include "platform/ReplicaListener.h"
#include "support/HttpFixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace chestnut;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

std::string fieldOf(const std::string& header, const std::string& name)
{
    auto begin = header.find(name + ": ");
    if (begin == std::string::npos)
        return {};
    begin += name.size() + 2;
    return header.substr(begin, header.find("\r\n", begin) - begin);
}

/** Refuses, misdirects or runs requests at random. On each connection it repeats earlier responses, whole or in two parts, before
    a response and after it. */
struct RandomReplica : test::ReplicaListener {
    explicit RandomReplica(uint32_t seed)
        : random(seed)
    {
        asio::co_spawn(context, acceptAll(), asio::detached);
    }

    bool chance(double share) { return std::bernoulli_distribution(share)(random); }

    asio::awaitable<void> acceptAll()
    {
        while (true)
            asio::co_spawn(context, serve(co_await acceptor.async_accept(asio::use_awaitable)), asio::detached);
    }

    asio::awaitable<void> pause(Duration time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::vector<std::string> sent;
        boost::system::error_code error;
        std::string buffer;
        auto write = [&](std::string bytes) -> asio::awaitable<void> {
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        };
        while (true) {
            auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            auto header = buffer.substr(0, size);
            buffer.erase(0, size);
            if (chance(0.3))
                co_await pause(1ms);
            // A copy of any earlier response on the connection, and often of one with the same id.
            if (!sent.empty() && chance(0.5)) {
                ++copies;
                auto copy = sent[std::uniform_int_distribution<size_t>(0, sent.size() - 1)(random)];
                auto split = chance(0.3) ? copy.size() / 2 : copy.size();
                co_await write(copy.substr(0, split));
                if (split < copy.size())
                    co_await pause(1ms);
                co_await write(copy.substr(split));
            }
            sent.push_back(answer(header));
            co_await write(sent.back());
            if (chance(0.05)) {
                co_await pause(2ms);
                ++copies;
                co_await write(sent.back().substr(0, chance(0.5) ? 9 : std::string::npos));
            }
        }
    }

    std::string answer(const std::string& header)
    {
        auto call = fieldOf(header, "X-Call");
        auto id = fieldOf(header, "X-Chestnutroute-Request-Id");
        auto kind = std::uniform_int_distribution<int>(0, 3)(random);
        std::string status = kind == 0 ? "503 Service Unavailable\r\nX-Chestnutroute-Not-Executed: 1" : kind == 1 ? "421 Misdirected Request"
                                                                                                                  : "200 OK\r\nX-Chestnutroute-Server-Seal: s";
        if (kind > 1)
            executed.insert(call);
        return "HTTP/1.1 " + status + "\r\nX-Chestnutroute-Request-Id: " + id + "\r\nX-Call: " + call + "\r\nContent-Length: 4\r\n\r\nbody";
    }

    asio::awaitable<void> callAtRandom(int calls)
    {
        for (int i = 0; i < calls; ++i) {
            auto number = std::to_string(++lastCall);
            RoutedRequest request;
            request.id = RequestId("q" + std::to_string(std::uniform_int_distribution<int>(0, 11)(random)));
            request.forwarded = { "GET", "/", { { "X-Chestnutroute-Request-Id", request.id.value() }, { "X-Call", number } }, {} };
            auto result = co_await client.send({ request, ReplicaId("i-1"), address(), 500ms });
            if (!result) {
                ++failed;
                continue;
            }
            auto isReported = result->executionStatus == ExecutionStatus::Executed;
            auto body = co_await readWholeBody(*result->body, 100);
            wrong += isReported != executed.contains(number) || result->headers.value("X-Call") != number ? 1 : 0;
            ++answered;
            if (chance(0.3))
                co_await pause(1ms);
        }
        ++finished;
    }

    std::mt19937 random;
    std::set<std::string> executed;
    int lastCall = 0;
    int copies = 0;
    int answered = 0;
    int failed = 0;
    int wrong = 0;
    int finished = 0;
};

} // namespace

// Guards against a response that is taken for the response to another call, at any moment of its arrival.
TEST_CASE("copies of responses at random moments are never taken for the responses to later calls")
{
    constexpr int callers = 4;
    for (uint32_t seed = 1; seed <= 5; ++seed) {
        RandomReplica replica(seed);
        for (int i = 0; i < callers; ++i)
            asio::co_spawn(replica.context, replica.callAtRandom(150), asio::detached);
        while (replica.finished < callers)
            replica.context.run_one();
        INFO("seed ", seed, ", answered ", replica.answered, ", failed ", replica.failed, ", copies ", replica.copies, ", connections ", replica.pool.openedConnections());
        CHECK(replica.wrong == 0);
        CHECK(replica.copies > 20);
        CHECK(replica.answered > replica.failed);
    }
}
