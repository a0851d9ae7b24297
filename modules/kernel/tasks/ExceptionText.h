#pragma once

#include <exception>
#include <string>

namespace chestnut {

/** The message of an exception, for the log. */
std::string textOf(const std::exception_ptr&);

} // namespace chestnut
