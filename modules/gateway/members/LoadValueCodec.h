#pragma once

#include "base/time/TimePoint.h"

#include <nlohmann/json.hpp>

namespace chestnut {

/** Reports of load messages are at most this old, which keeps calculations with reported ages in range. */
constexpr Duration maximumReportAge = std::chrono::minutes(1);

/* Readers of values that another daemon has sent; all throw nlohmann::json::exception for a value out of range. */

/** A sum or rate of at least zero. NaN and infinity, which CBOR can encode, would stay in each sum that they are added to. */
double decodeSum(const nlohmann::json& item);

/** The age of a report, from zero to maximumReportAge. */
Duration decodeAge(const nlohmann::json& item);

/** Limits the memory that a list takes. */
void checkSize(const nlohmann::json& list, size_t maximum);

} // namespace chestnut
