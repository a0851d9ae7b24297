#pragma once

#include "bench/run/Measurement.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chestnut::bench {

/** Bounds from the stated targets and from the baselines. Returns a line for each broken one. */
std::vector<std::string> checkBounds(const std::vector<Row>&);

/** Figures of our policy that are worse than in an earlier result. Returns a line for each. */
std::vector<std::string> checkRegression(const std::vector<Row>&, const nlohmann::ordered_json& earlier);

/** Policies whose removal makes no figure of any row worse. */
std::vector<std::string> uselessPolicies(const std::vector<Row>&);

} // namespace chestnut::bench
