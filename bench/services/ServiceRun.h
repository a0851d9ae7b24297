#pragma once

#include "bench/engine/VirtualClock.h"
#include "bench/run/Measurement.h"

#include <string>
#include <vector>

namespace chestnut::bench {

/** Parts of the policy for plain calls that a row can leave out. */
struct ServiceOptions {
    bool isRoundRobin = false; /**< baseline: servers in turn, no ejection, hedging or retries */
    bool ejection = true;
    bool hedging = true;
    bool hedgesAll = false; /**< hedges calls that are not idempotent as well: never allowed, shows what the rule costs */
    bool retries = true;
    bool retryBudget = true;
    bool quarantine = true;
};

/** What happens to the servers of a plain service during a run. */
struct ServiceScenario {
    std::string name;
    std::string deployment;
    uint32_t servers = 3;
    uint64_t seed = 1;
    bool hasSlowdowns = false; /**< one server after the other answers 10 times slower for 20 s */
    bool hasCrashes = false; /**< a server crashes every 10 s and is away for 3 s */
    bool hasOutage = false; /**< all servers refuse half of the calls for 30 s */
    bool hasPoison = false; /**< a call that crashes its server is sent again by its caller every 2 s */
};

struct ServiceFigures {
    std::vector<double> latencies; /**< milliseconds of the finished calls */
    uint64_t calls = 0;
    uint64_t done = 0;
    uint64_t attempts = 0;
    uint64_t lostServers = 0;
    uint64_t ranTwice = 0; /**< calls that are not idempotent and that two servers ran */
};

/** Adds one run to the figures. */
void runService(ServiceFigures&, const ServiceScenario&, const ServiceOptions&);

/** Rows of all plain-service scenarios of both deployments, over fixed seeds. */
std::vector<Row> runServices();

} // namespace chestnut::bench
