#pragma once

#include "bench/engine/VirtualClock.h"
#include "bench/run/Measurement.h"

#include <string>
#include <vector>

namespace chestnut::bench {

/** Parts of the policy for calls to backend servers, which a row can disable. */
struct ServiceOptions {
    bool isRoundRobin = false; /**< baseline: uses the servers in turn, without ejection, hedging and retries */
    bool ejection = true;
    bool hedging = true;
    bool hedgesAll = false; /**< also hedges calls that are not idempotent: this is never allowed; the row shows what the rule costs */
    bool retries = true;
    bool retryBudget = true;
    bool quarantine = true;
};

/** Faults of the backend servers of a service during a run. */
struct ServiceScenario {
    std::string name;
    std::string deployment;
    uint32_t servers = 3;
    uint64_t seed = 1;
    bool hasSlowdowns = false; /**< each server in turn responds 10 times slower for 20 s */
    bool hasCrashes = false; /**< a server crashes every 10 s and is down for 3 s */
    bool hasOutage = false; /**< all servers refuse half of the calls for 30 s */
    bool hasPoison = false; /**< every 2 s, a caller retries a call that crashes its server */
};

struct ServiceFigures {
    std::vector<double> latencies; /**< milliseconds of the finished calls */
    uint64_t calls = 0;
    uint64_t done = 0;
    uint64_t attempts = 0;
    uint64_t lostServers = 0;
    uint64_t ranTwice = 0; /**< calls that are not idempotent and that servers began to run more than once */
};

/** Adds one run to the figures. */
void runService(ServiceFigures&, const ServiceScenario&, const ServiceOptions&);

/** Rows of all backend-server scenarios of both deployments, with fixed seeds. */
std::vector<Row> runServices();

} // namespace chestnut::bench
