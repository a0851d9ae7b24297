#include "peers/transport/NngTransport.h"
#include "kernel/timers/VirtualTimerService.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** Opens two transports, starts calls between them and closes both after a delay, while the calls are in progress. */
void closeDuringCalls(std::chrono::microseconds delay)
{
    asio::io_context context;
    VirtualTimerService timers(context);
    NngTransport server(context, timers);
    NngTransport client(context, timers);
    auto bound = server.listen({ "127.0.0.1", 0 }, [](std::string request) -> asio::awaitable<std::string> { co_return request; });
    REQUIRE(bound.has_value());
    for (int i = 0; i < 4; ++i)
        asio::co_spawn(context, client.call(formatEndpoint(*bound), "request", 2s), [](const std::exception_ptr&, const Result<std::string>&) {});
    auto end = std::chrono::steady_clock::now() + delay;
    while (std::chrono::steady_clock::now() < end)
        timers.runReady();
    server.close();
    client.close();
    timers.runReady();
}

/** Runs a function on a thread of its own. Returns whether it has ended within the limit. */
bool endsWithin(std::chrono::seconds limit, std::function<void()> function)
{
    auto task = std::make_shared<std::packaged_task<void()>>(std::move(function));
    auto isDone = task->get_future();
    std::thread([task] { (*task)(); }).detach();
    return isDone.wait_for(limit) == std::future_status::ready;
}

} // namespace

// Guards against a transport that waits forever in nng_close(): the tests of peers did not end in one CI run, and a daemon that
// closes the connection to a lost peer would stop. Each close of a listener may take 100 ms when nng hangs.
TEST_CASE("a transport that is closed during calls does not wait for nng")
{
    CHECK(endsWithin(60s, [] {
        for (int i = 0; i < 200; ++i)
            closeDuringCalls(std::chrono::microseconds(i * 13 % 3000));
    }));
}

// Guards against a close that blocks its caller, and against one that is not counted while it is pending.
TEST_CASE("a close that does not return is counted and leaves the caller free")
{
    SocketCloser closer;
    auto release = std::make_shared<std::promise<void>>();
    CHECK(endsWithin(10s, [closer, release] { closer.close([release] { release->get_future().wait(); }, 10ms); }));
    CHECK(closer.pending() == 1);
    closer.close([] {}, 10s);
    CHECK(closer.pending() == 1);
    release->set_value();
    CHECK(endsWithin(10s, [closer] {
        while (closer.pending() != 0)
            std::this_thread::sleep_for(1ms);
    }));
}
