#pragma once

#include "bench/run/Fleet.h"

#include <optional>
#include <string>
#include <vector>

namespace chestnut::bench {

/** Targets of section 1.4 of the design page. */
constexpr Duration firstTokenTarget = std::chrono::milliseconds(1100);
constexpr Duration tokenGapTarget = std::chrono::milliseconds(79);

/** Result of one job of a run. */
struct JobRecord {
    uint64_t job = 0;
    uint64_t seed = 0;
    PriorityClass priorityClass = PriorityClass::Live;
    JobOutcome outcome = JobOutcome::Pending;
    bool isFlood = false;
    double firstTokenSeconds = 0; /**< since the caller sent the request; the timeout if the job timed out */
    double lastTokenSeconds = 0;
    double tokenGapSeconds = 0; /**< mean time between tokens */
    double tokens = 0; /**< prompt and output */

    bool isGood() const;
};

/** All records of one policy in one scenario, over all seeds. */
struct RunRecords {
    std::vector<JobRecord> jobs;
    double measuredSeconds = 0;
    double processedTokens = 0;
    double hedgedTokens = 0;
    uint32_t roleChanges = 0;
    uint32_t runs = 0;
};

/** One row of the table. Shares are percentages, times are milliseconds. */
struct Row {
    std::string deployment;
    std::string scenario;
    std::string policy;
    double liveGood = 0; /**< finished with both token targets met */
    double firstOnTime = 0; /**< live: first token within its target */
    double gapOnTime = 0; /**< live: mean time between tokens within its target */
    double otherGood = 0; /**< liveGood of the accounts that did not cause the spike */
    double liveDone = 0; /**< finished before the deadline */
    double batchDone = 0;
    double refused = 0; /**< live, refused before it was sent to an engine */
    double timedOut = 0; /**< live, accepted and then not finished in time */
    double inTime = 0; /**< live, finished in time or refused before it was sent to an engine; the rest timed out */
    double batchRefused = 0;
    double batchTimedOut = 0;
    double goodTokens = 0; /**< prompt and output tokens per second, of good live jobs and finished batch jobs */
    double p50 = 0; /**< live time to first token */
    double p95 = 0;
    double p99 = 0;
    double p999 = 0;
    double last95 = 0; /**< live time to last token */
    double last99 = 0;
    double batchP95 = 0; /**< time to last token */
    double delayMean = 0; /**< additional latency of live jobs' last token, compared with the same jobs on an otherwise empty fleet */
    double delayP99 = 0;
    double roleChanges = 0; /**< per run */
    double extraWork = 0; /**< tokens processed by the slower attempt of hedged jobs, in percent of all tokens; service calls: attempts beyond the first */
    double lostServers = 0; /**< service calls: server crashes per run */
    double ranTwice = 0; /**< service calls that are not idempotent and that servers began to run more than once */
};

/** Upper bound of liveGood if all engines serve only live work at their highest speed, modelled as a fluid queue in which
    work waits no longer than the first-token target. Reported in a row of its own, whose other figures are zero. */
double liveCapacityBound(const Scenario&);

void addRun(RunRecords&, const Fleet&);
/** @param alone  the same live work on an otherwise empty fleet, as the reference for the head-of-line delay */
Row summarize(const RunRecords&, const RunRecords* alone);

} // namespace chestnut::bench
