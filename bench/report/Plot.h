#pragma once

#include "bench/run/Measurement.h"

#include <string>
#include <vector>

namespace chestnut::bench {

/** An SVG picture with bars for head-of-line delay and tail latency, ours beside the baselines. */
std::string formatPlot(const std::vector<Row>&);

} // namespace chestnut::bench
