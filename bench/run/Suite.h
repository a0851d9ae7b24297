#pragma once

#include "bench/policy/Baselines.h"
#include "bench/policy/Daemon.h"
#include "bench/run/Measurement.h"

#include <functional>
#include <optional>

namespace chestnut::bench {

/** A policy to measure: a baseline, or ours with some parts left out. */
struct Contender {
    std::string name;
    std::optional<BaselineKind> baseline;
    PolicyOptions options;
};

std::vector<Contender> allContenders();

/** Which part of the suite to run. A partial run serves experiments; checks need all of it. */
struct SuiteSelection {
    unsigned threads = 4;
    std::string scenario; /**< empty: all */
    bool includesVariants = true; /**< also our policy without each of its parts */
};

/** Runs every contender in every scenario of both deployments over fixed seeds, several at once on real threads.
    Each run has its own virtual clock, so the figures do not depend on the threads. */
std::vector<Row> runSuite(const SuiteSelection&);

} // namespace chestnut::bench
