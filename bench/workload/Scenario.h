#pragma once

#include "bench/workload/Deployment.h"

#include <string>
#include <vector>

namespace chestnut::bench {

/** One request of the workload, including values that a policy cannot read in advance: its actual output length and
    timing. */
struct Job {
    uint64_t id = 0;
    AccountId account;
    PriorityClass priorityClass = PriorityClass::Live;
    TimePoint arrival; /**< at the daemon */
    TimePoint deadline;
    uint32_t daemon = 0;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    uint32_t outputLimit = 0;
    std::vector<uint64_t> prefixBlocks;
    bool isStraggler = false;
    bool isFlood = false; /**< from the account that causes the spike */
    bool isMeasured = true; /**< false for arrivals before the measured time */
};

/** Multiplies the arrival rates from `begin` on. */
struct Phase {
    Duration begin {};
    double liveFactor = 1;
    double batchFactor = 1;
    bool isFlood = false; /**< most of the live work comes from one account */
};

/** Slows one engine down for some time. Its load reports do not include the slowdown. */
struct Slowdown {
    uint32_t engine = 0;
    Duration begin {};
    Duration end {};
    double factor = 1;
};

struct Scenario {
    std::string name;
    Deployment deployment;
    Duration arrivals = std::chrono::seconds(240);
    Duration measuredFrom {};
    std::vector<Phase> phases { {} };
    std::vector<Slowdown> slowdowns;
    bool startsSplit = false; /**< engines start alternately with the roles prefill and decode instead of mixed */
    uint64_t seed = 1;
};

/** The mix alternates between more prompt work and more output work while the sum stays near the capacity. */
Scenario mixShift(const Deployment&, uint64_t seed);
/** mixShift(), but starting with the roles of an earlier mix: half of the engines for prefill, half for decode. */
Scenario mixShiftFromSplit(const Deployment&, uint64_t seed);
/** Live demand exceeds the capacity for a minute, most of it from one account. */
Scenario loadSpike(const Deployment&, uint64_t seed);
/** Live demand far beyond the capacity, so that some of it cannot be served in time. */
Scenario overload(const Deployment&, uint64_t seed);
/** A shift of the mix in a short run, for a large fleet. */
Scenario largeMixShift(const Deployment&, uint64_t seed);
/** Short live work beside long work with stragglers, near the capacity. */
Scenario headOfLine(const Deployment&, uint64_t seed);
/** The short work of headOfLine() alone, with the same arrivals. */
Scenario shortWorkAlone(const Deployment&, uint64_t seed);
/** At moderate load, a fifth of the engines is slowed down for 30 s at a time. */
Scenario slowReplicas(const Deployment&, uint64_t seed);

/** All arrivals of the scenario, ordered by time. */
std::vector<Job> arrivalsOf(const Scenario&);

} // namespace chestnut::bench
