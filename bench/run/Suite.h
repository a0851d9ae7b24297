#pragma once

#include "bench/policy/Baselines.h"
#include "bench/policy/Daemon.h"
#include "bench/run/Measurement.h"

#include <functional>
#include <optional>

namespace chestnut::bench {

/** A policy to measure: a baseline, or our policy with some parts disabled. */
struct PolicySetup {
    std::string name;
    std::optional<BaselineKind> baseline;
    PolicyOptions options;
};

std::vector<PolicySetup> allPolicySetups();

/** Selects the part of the suite to run. Partial runs are for experiments; the checks need the whole suite. */
struct SuiteSelection {
    unsigned threads = 4;
    std::string scenario; /**< empty: all */
    bool includesVariants = true; /**< also run our policy with each of its parts disabled */
};

/** Runs every policy in every scenario of both deployments with fixed seeds, several runs at a time in parallel threads.
    Each run has its own virtual clock, so the figures do not depend on the threads. */
std::vector<Row> runSuite(const SuiteSelection&);

} // namespace chestnut::bench
