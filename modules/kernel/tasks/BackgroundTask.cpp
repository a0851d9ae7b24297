#include "kernel/tasks/BackgroundTask.h"

#include "kernel/tasks/ExceptionText.h"

#include <boost/asio/co_spawn.hpp>

namespace chestnut {

namespace {

    asio::awaitable<void> runUntilReturn(TimerService& timers, Log& log, std::string name, std::function<asio::awaitable<void>()> start)
    {
        while (true) {
            std::exception_ptr exception;
            // No co_return inside the try block: clang 14 for AArch64 then misses exceptions that the awaited task throws.
            try {
                co_await start();
            } catch (...) {
                exception = std::current_exception();
            }
            if (!exception)
                co_return;
            log.write(EventId::TaskFailed, { { "task", name }, { "exception", textOf(exception) } });
            co_await timers.sleep(taskRestartPause);
        }
    }

} // namespace

void spawnTask(const asio::any_io_executor& executor, Log& log, std::string name, asio::awaitable<void> task)
{
    asio::co_spawn(executor, std::move(task), [&log, name = std::move(name)](const std::exception_ptr& exception) {
        if (exception)
            log.write(EventId::TaskFailed, { { "task", name }, { "exception", textOf(exception) } });
    });
}

void spawnPermanentTask(const asio::any_io_executor& executor, TimerService& timers, Log& log, std::string name, std::function<asio::awaitable<void>()> start)
{
    spawnTask(executor, log, name, runUntilReturn(timers, log, name, std::move(start)));
}

} // namespace chestnut
