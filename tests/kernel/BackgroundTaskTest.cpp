#include "kernel/tasks/BackgroundTask.h"
#include "kernel/tasks/EventLoop.h"
#include "kernel/tasks/ScopedFlag.h"

#include "kernel/timers/VirtualTimerService.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <new>
#include <stdexcept>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

asio::awaitable<void> failTimes(int& starts, int failures)
{
    if (++starts <= failures)
        throw std::runtime_error("no record");
    co_return;
}

} // namespace

// Guards against a loop that ends silently, for example one that renews a lease, while the daemon goes on without it.
TEST_CASE("a permanent task is started again after an exception, which is logged, until it returns")
{
    asio::io_context context;
    VirtualTimerService timers(context);
    MemoryLog log;
    int starts = 0;
    spawnPermanentTask(context.get_executor(), timers, log, "renewal", [&starts] { return failTimes(starts, 2); });
    timers.advance(500ms);
    CHECK(starts == 1);
    timers.advance(10s);
    CHECK(starts == 3);
    CHECK(log.recent(EventId::TaskFailed).size() == 2);
}

// Guards against an exception of a task that is lost, and against a flag that blocks all later runs.
TEST_CASE("an exception of a task is logged and its flags are reset")
{
    asio::io_context context;
    VirtualTimerService timers(context);
    MemoryLog log;
    bool isRunning = false;
    auto run = [](bool& flag) -> asio::awaitable<void> {
        ScopedFlag scoped(flag);
        throw std::runtime_error("no record");
        co_return;
    };
    spawnTask(context.get_executor(), log, "poll", run(isRunning));
    timers.runReady();
    CHECK_FALSE(isRunning);
    CHECK(log.recent(EventId::TaskFailed).size() == 1);
}

// Guards against an exception of one handler, such as one for a response that does not fit into the memory, that ends the daemon and with it
// all other requests.
TEST_CASE("the event loop goes on after an exception of a handler, which is logged")
{
    asio::io_context context;
    MemoryLog log;
    int completed = 0;
    asio::post(context, [] { throw std::bad_alloc(); });
    asio::post(context, [&] { ++completed; });
    asio::post(context, [] { throw std::runtime_error("no record"); });
    asio::post(context, [&] { ++completed; });
    runEventLoop(context, log);
    CHECK(completed == 2);
    CHECK(log.recent(EventId::CallbackFailed).size() == 2);
}

// Guards against a loop that does not end when the daemon stops.
TEST_CASE("the event loop returns when it is stopped, also by a handler that then fails")
{
    asio::io_context context;
    MemoryLog log;
    auto work = asio::make_work_guard(context);
    asio::post(context, [&context] {
        context.stop();
        throw std::runtime_error("after the stop");
    });
    runEventLoop(context, log);
    CHECK(context.stopped());
}
