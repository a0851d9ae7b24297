#pragma once

#include "bench/run/Measurement.h"

#include <string>
#include <vector>

namespace chestnut::bench {

/** Draws an SVG bar chart that compares head-of-line delay and tail latency of our policy with the baselines. */
std::string formatPlot(const std::vector<Row>&);

} // namespace chestnut::bench
