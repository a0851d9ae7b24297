#pragma once

#include "bench/run/Fleet.h"
#include "decisions/admission/Admission.h"
#include "decisions/ejection/Ejection.h"
#include "decisions/fairness/FairQueue.h"
#include "decisions/hedging/Hedging.h"
#include "decisions/routing/PrefixIndex.h"

#include <array>
#include <deque>
#include <map>

namespace chestnut::bench {

/** Parts of the policy that are enabled. A benchmark row with one of them disabled shows its gain. */
struct PolicyOptions {
    bool liveReserve = true;
    bool preemption = true;
    bool memoryLimit = true; /**< an engine's free memory limits the work sent to it */
    bool hedging = true;
    bool ejection = true;
    bool prefixAffinity = true;
    bool roleControl = true;
    bool fairQueueing = true;
    bool earlyRefusal = true;
    bool preemptionSlack = true; /**< batch work near its deadline is not preempted */
    bool subsets = true; /**< in a large fleet, each daemon uses only a subset of the replicas */
    bool lastCall = true; /**< waiting live work near its latest start may exceed the replicas' slots */
    bool onTimeFirst = true; /**< waiting live work that can meet the first-token target is served before work that cannot */
};

/** Nominal rates of an engine in a role, while both prefill and decode work is queued. */
ServiceRates ratesOf(EngineRole);

/** Simulates the request path of one daemon with the product's decision functions. */
class Daemon {
public:
    Daemon(Fleet&, uint32_t index, const PolicyOptions&);

    void jobArrived(const Job&);
    void firstTokenReceived(const Attempt&);
    void attemptEnded(const Attempt&, bool isFinished);
    void jobExpired(const Job&);
    void loadReported(uint32_t engine, const LoadReport&, const std::vector<CacheEvent>&);
    void engineChanged(uint32_t engine);

    /** Work that the job causes at the engines, without prefill of the longest prefix that a replica has cached. */
    WorkEstimate expectedWork(const Job&) const;
    /** Returns the latency samples since the last call, for the peers: mean ratio and count of each replica. */
    std::map<ReplicaId, ReplicaLatency> takeSummary();
    void mergeSummary(const std::map<ReplicaId, ReplicaLatency>&);

private:
    WorkEstimate estimate(const Job&) const;
    void chooseOwnSubset();

    struct AttemptState {
        Attempt attempt;
        WorkEstimate unfinished;
        Duration expectedFirstToken {};
        Duration expectedDecode {};
        TimePoint firstTokenAt;
        bool hasFirstToken = false;
        bool isBatch = false;
        bool isLong = false;
    };
    /** A request sent (+1) or ended (-1). */
    struct RequestChange {
        TimePoint at;
        WorkEstimate sent;
        int32_t requests = 0;
    };

    RouteRequest requestFor(const Job&);
    RouteDecision choose(const RouteRequest&);
    void dispatch(const Job&, size_t engine, const ReplicaEstimate&, double cachedTokens, bool isHedge = false);
    void enqueue(const Job&);
    void removeFromQueueState(const Job&);
    void dispatchWaiting();
    bool serveNext(const QueuedRequest&);
    bool preemptNewestBatch(size_t engine);
    void scheduleHedge(const Job&, uint64_t attempt);
    void hedge(uint64_t attempt);
    void recordLatency(uint32_t engine, double latencyRatio);
    void refreshHealth();
    void refuseExpired();
    void updateOwnLoad(const AttemptState&, int sign);
    void recordChange(uint32_t engine, const WorkEstimate& sent, int32_t requests);
    TimePoint now() { return m_fleet.clock().now(); }

    Fleet& m_fleet;
    uint32_t m_index;
    PolicyOptions m_options;
    RandomGenerator m_random;
    std::vector<bool> m_isInSubset; /**< by engine */
    std::vector<ReplicaView> m_views;
    std::vector<double> m_cachedTokens;
    std::vector<ReplicaId> m_excluded;
    PrefixIndex m_prefixes;
    LatencyGroup m_latencies;
    std::map<ReplicaId, ReplicaLatency> m_summary;
    LatencyQuantiles m_quantiles;
    HedgeBudget m_hedges;
    FairQueue m_queue;
    QueueState m_queueState;
    std::array<OutputLengthModel, 2> m_outputLengthModels;
    std::vector<ConcurrencyLimit> m_concurrencyLimits;
    std::vector<std::deque<RequestChange>> m_requestChanges;
    std::map<uint64_t, AttemptState> m_attempts;
    std::map<uint64_t, WorkEstimate> m_queuedWork;
    bool m_isPreempting = false;
};

} // namespace chestnut::bench
