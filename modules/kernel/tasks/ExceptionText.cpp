#include "kernel/tasks/ExceptionText.h"

namespace chestnut {

std::string textOf(const std::exception_ptr& exception)
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception& error) {
        return error.what();
    } catch (...) {
        return "unknown exception";
    }
}

} // namespace chestnut
