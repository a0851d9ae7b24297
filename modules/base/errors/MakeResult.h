#pragma once

#include "base/errors/Result.h"

#include <utility>

namespace chestnut {

/** A successful result. For types such as json, whose templated conversions make the plain conversion to a result ambiguous. */
template <typename T>
Result<T> makeResult(T value)
{
    return Result<T>(boost::system::in_place_value, std::move(value));
}

} // namespace chestnut
