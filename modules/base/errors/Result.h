#pragma once

#include "base/errors/Error.h"

#include <boost/system/result.hpp>
#include <stdexcept>

namespace chestnut {

/** A value or an Error. Coroutines return it, because LEAF's thread-local error handlers do not survive a suspension. */
template <typename T>
using Result = boost::system::result<T, Error>;

/** Called by boost::system::result when value() is taken from a failed result. */
[[noreturn]] inline void throw_exception_from_error(const Error& error, const boost::source_location&)
{
    throw std::logic_error("value taken from a failed result: " + error.detail);
}

inline Error makeError(ErrorKind kind, std::string detail)
{
    return Error { kind, std::move(detail), std::chrono::milliseconds(0) };
}

} // namespace chestnut
