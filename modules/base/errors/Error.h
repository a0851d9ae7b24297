#pragma once

#include "base/errors/ErrorKind.h"

#include <chrono>
#include <string>

namespace chestnut {

/** An error of the closed list with a detail text for people. */
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    /** When a repeat may succeed; zero means that nothing better than the default is known. */
    std::chrono::milliseconds retryAfter { 0 };

    bool operator==(const Error&) const = default;
};

} // namespace chestnut
