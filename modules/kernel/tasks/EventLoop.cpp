#include "kernel/tasks/EventLoop.h"

#include "kernel/tasks/ExceptionText.h"

namespace chestnut {

void runEventLoop(boost::asio::io_context& context, Log& log)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (...) {
            log.write(EventId::CallbackFailed, { { "exception", textOf(std::current_exception()) } });
        }
    }
}

} // namespace chestnut
