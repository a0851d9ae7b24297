#pragma once

#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace chestnut {

/** Starts a task whose end nobody waits for. An exception ends it and is logged. */
void spawnTask(const asio::any_io_executor&, Log&, std::string name, asio::awaitable<void>);

/** Starts a task that runs as long as the daemon, for example a loop that renews a lease. After an exception, which is logged,
    it is started again after taskRestartPause; a task that returns is not. */
void spawnPermanentTask(const asio::any_io_executor&, TimerService&, Log&, std::string name, std::function<asio::awaitable<void>()> start);

/** Limits the log lines and calls of a task that fails immediately after each start. */
constexpr Duration taskRestartPause = std::chrono::seconds(1);

} // namespace chestnut
