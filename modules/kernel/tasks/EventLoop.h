#pragma once

#include "kernel/logging/Log.h"

#include <boost/asio/io_context.hpp>

namespace chestnut {

/** Runs an io_context until it is stopped or has no more work. An exception of a callback, such as std::bad_alloc, ends the work of that
    callback only; it is logged and the loop goes on. */
void runEventLoop(boost::asio::io_context&, Log&);

} // namespace chestnut
