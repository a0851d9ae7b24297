#pragma once

#include "base/errors/ErrorKind.h"

#include <chrono>
#include <string>

namespace chestnut {

/** An error kind with a detail text for logs and operators. */
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    /** Delay after which a retry may succeed; zero means that the default delay applies. */
    std::chrono::milliseconds retryAfter { 0 };

    bool operator==(const Error&) const = default;
};

} // namespace chestnut
