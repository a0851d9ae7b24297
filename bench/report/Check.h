#pragma once

#include "bench/run/Measurement.h"

#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chestnut::bench {

/** A bound that does not hold. The id does not depend on the measured figures. */
struct BrokenBound {
    std::string id; /**< deployment/scenario/measure/policy, for example "tanner/spike/live_done/round_robin" */
    std::string text;
};

/** Broken bounds, split by a list of the ids that are known to be broken. */
struct KnownRedSplit {
    std::vector<std::string> known; /**< broken and listed */
    std::vector<std::string> unexpected; /**< broken and not listed */
    std::vector<std::string> stale; /**< listed, but the bound holds or does not exist */
};

/** Checks the rows against the stated targets and the baselines. Returns the broken bounds. */
std::vector<BrokenBound> checkBounds(const std::vector<Row>&);

/** Ids of the lines "bench: <row id>" of a text in the format of KNOWN-RED.txt. */
std::vector<std::string> knownRedIds(std::istream&);

KnownRedSplit splitByKnown(const std::vector<BrokenBound>&, const std::vector<std::string>& knownIds);

/** Compares the figures of our policy with an earlier result. Returns a line for each figure that is worse. */
std::vector<std::string> checkRegression(const std::vector<Row>&, const nlohmann::ordered_json& earlier);

/** Parts of the policy that can be disabled without making a figure of any row worse. */
std::vector<std::string> policiesWithoutGain(const std::vector<Row>&);

} // namespace chestnut::bench
