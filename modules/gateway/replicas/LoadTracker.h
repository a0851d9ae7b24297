#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/capacity/CapacityPlacement.h"
#include "decisions/errors/ErrorCauses.h"
#include "gateway/replicas/CapacityTracker.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace chestnut {

/** The work in flight of one or several daemons at one replica. */
struct ReplicaWork {
    ReplicaId replica;
    uint32_t requests = 0;
    QueuedTokens queued;
    OrderedRequests decodes; /**< of services with requests of several priorities */

    /** For the same replica. */
    ReplicaWork& operator+=(const ReplicaWork&);
    /** Each amount stays at zero at least. */
    ReplicaWork& operator-=(const ReplicaWork&);
    bool operator==(const ReplicaWork&) const = default;
};

/** The id under which the requests to a service are counted that wait in the daemons for a slot. */
ReplicaId waitingAt(const ServiceId&);

/** The load at which a replica refused a request. */
struct RefusalReport {
    ReplicaId replica;
    uint32_t requests = 0; /**< in flight, as known to the daemon that was refused */
    Duration age {};

    bool operator==(const RefusalReport&) const = default;
};

/** Maximum number of refusals that one message reports. */
constexpr size_t maximumRefusalReports = 24;

/** The position of a part in a message that is split over several datagrams. */
struct MessagePart {
    uint32_t index = 0;
    uint32_t count = 1;

    bool operator==(const MessagePart&) const = default;
};

/** The state of one replica as seen by the placement of a request. */
struct ReplicaObservation {
    ReplicaWork work; /**< of all daemons */
    uint32_t peerRequests = 0; /**< those of other daemons */
    uint32_t requestsAtRefusal = 0; /**< requests in flight at its recent refusal of another one; zero without a refusal */
    double slowdown = 1; /**< ratio of observed to expected time */
    double errorShare = 0; /**< see PlacementView */
    bool isEjected = false;
    TimePoint completedAt; /**< last response to this daemon */

    bool operator==(const ReplicaObservation&) const = default;
};

/** Tracks the work in flight at each replica, of this daemon and its peers, and the latency and failures of the replicas. */
class LoadTracker : public std::enable_shared_from_this<LoadTracker> {
public:
    LoadTracker(TimerService&, Log&);

    /** Counts a piece of work as in flight during its lifetime. */
    class InFlightWork {
    public:
        InFlightWork() = default;
        InFlightWork(std::shared_ptr<LoadTracker>, ReplicaWork);
        InFlightWork(InFlightWork&&) noexcept;
        InFlightWork& operator=(InFlightWork&&) noexcept;
        ~InFlightWork();

        void end();

    private:
        std::shared_ptr<LoadTracker> m_loadTracker;
        ReplicaWork m_work;
    };

    [[nodiscard]] InFlightWork begin(const ReplicaId&);
    /** Counts a decode at an engine; `order` is absent where all requests of the service have the same priority. */
    [[nodiscard]] InFlightWork beginDecode(const ReplicaId&, std::optional<EnginePosition> order);
    /** Counts a prefill at an engine. */
    [[nodiscard]] InFlightWork beginPrefill(const ReplicaId&, double tokens, EnginePosition);

    ReplicaObservation observe(const ReplicaId&) const;
    uint32_t requestsAt(const ReplicaId& replica) const { return observe(replica).work.requests; }

    /** The work of this daemon; replicas without work are omitted. */
    std::vector<ReplicaWork> ownWork() const;
    /** The sum of the work of this daemon and the chosen peers. */
    std::vector<ReplicaWork> workOf(const std::function<bool(const DaemonId&)>& isChosen) const;
    /** Replaces a peer's work, or one part of it. It expires when it is not updated for peerTimeout. */
    void setPeerWork(const DaemonId&, std::vector<ReplicaWork>, MessagePart = {});
    /** Forgets peers without updates, and updates the learned capacities. Called several times a second. */
    void expirePeers();
    /** What a choice among replicas cannot see of the load, when each request lasts for `occupancy`; nothing without peers. */
    std::optional<UnseenLoad> unseenLoad(std::optional<Duration> occupancy);
    /** Sets the beginning of the random numbers, which should differ between daemons. */
    void seed(uint64_t value) { m_random.seed(value); }

    CapacityTracker& capacity() { return m_capacity; }

    void recordSuccess(const ReplicaId&, double slowdown);
    /** Records an attempt that ended without a response from the replica. */
    void recordFailure(const ReplicaId&);
    /** The recent error responses of this daemon's calls, by content. */
    ErrorCauses& errorCauses() { return m_errorCauses; }
    /** Records that a replica ran a call and answered it with an error of its own. It reduces the replica's share of the calls for
        some seconds and does not eject it. */
    void recordErrorResponse(const ReplicaId&);
    /** Records that a replica refused work. A refusal despite free slots counts as a failure: the replica is busy with unreported work. */
    void recordRefusal(const ReplicaId&, uint32_t slots);

    /** The latest refusals by each replica, the newest first. */
    std::vector<RefusalReport> recentRefusals() const;
    /** Records a refusal of which a peer has reported. */
    void recordPeerRefusal(const RefusalReport&);

    /** Records the shared prompt parts that a replica was sent and probably caches. */
    void recordSentParts(const ReplicaId&, const std::vector<uint64_t>& parts);
    bool hasPart(const ReplicaId&, uint64_t part) const;

    void resetObservations(const ReplicaId&);

private:
    struct Record {
        ReplicaWork own;
        ReplicaWork peers;
        uint32_t requestsAtRefusal = 0;
        TimePoint refusedAt; /**< meaningful if requestsAtRefusal is not zero */
        double slowdown = 1;
        double failureShare = 0; /**< moving average */
        double errorShare = 0; /**< moving average, at errorShareAt */
        TimePoint errorShareAt;
        TimePoint completedAt;
        uint32_t consecutiveFailures = 0;
        uint32_t ejections = 0; /**< consecutive */
        TimePoint ejectedUntil;
        std::unordered_map<uint64_t, TimePoint> parts; /**< when each part was last sent */
    };
    struct PeerWork {
        std::vector<std::vector<ReplicaWork>> parts;
        TimePoint receivedAt;
        TimePoint reportedAt; /**< when the first part was received */
    };

    void add(const ReplicaWork&, ReplicaWork Record::*side);
    void subtract(const ReplicaWork&, ReplicaWork Record::*side);
    void subtractPeer(const std::vector<ReplicaWork>&);
    [[nodiscard]] InFlightWork beginWork(ReplicaWork);
    static void setRefusal(Record&, uint32_t requests, TimePoint refusedAt);
    const Record* find(const ReplicaId&) const;
    double errorShareOf(const Record&) const;
    void recordReportPeriod(Duration);

    TimerService& m_timers;
    Log& m_log;
    std::unordered_map<ReplicaId, Record> m_records;
    ErrorCauses m_errorCauses;
    std::unordered_map<DaemonId, PeerWork> m_peers;
    std::optional<Duration> m_reportPeriod; /**< moving average of the time between two reports of one peer */
    std::mt19937_64 m_random;
    CapacityTracker m_capacity;
};

} // namespace chestnut
