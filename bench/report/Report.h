#pragma once

#include "bench/run/Measurement.h"

#include <nlohmann/json.hpp>

namespace chestnut::bench {

/** All figures of a row, rounded as printed, so that two runs can be compared digit by digit. */
nlohmann::ordered_json toJson(const Row&);

std::string formatTable(const std::vector<Row>&);

} // namespace chestnut::bench
