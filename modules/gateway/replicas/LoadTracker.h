#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace chestnut {

/** The work of one daemon at one replica. */
struct ReplicaWork {
    ReplicaId replica;
    uint32_t requests = 0;
    double prefillTokens = 0; /**< of requests that can be on time */
    double deferredTokens = 0; /**< of requests that are read after the others */

    bool operator==(const ReplicaWork&) const = default;
};

/** Which part of a message that is too long for one datagram. */
struct MessagePart {
    uint32_t index = 0;
    uint32_t count = 1;

    bool operator==(const MessagePart&) const = default;
};

/** What is known of one replica when a request is placed. */
struct ReplicaObservation {
    ReplicaWork work; /**< of all daemons */
    uint32_t fullAt = 0; /**< requests at which it refused more lately; zero when it did not */
    double slowdown = 1; /**< observed time over expected time */
    bool isEjected = false;

    bool operator==(const ReplicaObservation&) const = default;
};

/** Work in flight at each replica, of this daemon and of its peers, and what this daemon has observed of the replicas. */
class LoadTracker : public std::enable_shared_from_this<LoadTracker> {
public:
    LoadTracker(TimerService&, Log&);

    /** Counts one piece of work for as long as it exists. */
    class Flight {
    public:
        Flight() = default;
        Flight(std::shared_ptr<LoadTracker>, ReplicaWork);
        Flight(Flight&&) noexcept;
        Flight& operator=(Flight&&) noexcept;
        ~Flight();

        void end();

    private:
        std::shared_ptr<LoadTracker> m_board;
        ReplicaWork m_work;
    };

    [[nodiscard]] Flight begin(const ReplicaId&);
    /** Counts a prompt that an engine reads. */
    [[nodiscard]] Flight beginPrefill(const ReplicaId&, double tokens, bool isDeferred);

    ReplicaObservation observe(const ReplicaId&) const;
    uint32_t requestsAt(const ReplicaId& replica) const { return observe(replica).work.requests; }

    /** What this daemon tells its peers: replicas with work only. */
    std::vector<ReplicaWork> ownWork() const;
    /** The sum of this daemon's work and of that of the chosen peers. */
    std::vector<ReplicaWork> workOf(const std::function<bool(const DaemonId&)>& isChosen) const;
    /** Replaces what is known of a peer's work, or one part of it; it is forgotten when no news comes for peerTime. */
    void setPeerWork(const DaemonId&, std::vector<ReplicaWork>, MessagePart = {});
    void expirePeers();

    void recordSuccess(const ReplicaId&, double slowdown);
    /** An attempt that ended without an answer of the replica. */
    void recordFailure(const ReplicaId&);
    /** A replica refused work; with free slots it is busy with something that nobody announced. */
    void recordRefusal(const ReplicaId&, uint32_t slots);

    /** Remembers that a replica was sent these shared parts. */
    void recordParts(const ReplicaId&, const std::vector<uint64_t>& parts);
    bool hasPart(const ReplicaId&, uint64_t part) const;

    void forget(const ReplicaId&);

private:
    struct Record {
        ReplicaWork own;
        ReplicaWork peers;
        uint32_t fullAt = 0;
        TimePoint fullUntil;
        double slowdown = 1;
        double failureShare = 0; /**< fading mean */
        uint32_t failuresInRow = 0;
        uint32_t ejections = 0; /**< in a row */
        TimePoint ejectedUntil;
        std::unordered_map<uint64_t, TimePoint> parts; /**< when each part was last sent */
    };
    struct PeerWork {
        std::vector<std::vector<ReplicaWork>> parts;
        TimePoint receivedAt;
    };

    void add(const ReplicaWork&, ReplicaWork Record::*side);
    void subtract(const ReplicaWork&, ReplicaWork Record::*side);
    void subtractPeer(const std::vector<ReplicaWork>&);
    [[nodiscard]] Flight beginWork(ReplicaWork);
    const Record* find(const ReplicaId&) const;

    TimerService& m_timers;
    Log& m_log;
    std::unordered_map<ReplicaId, Record> m_records;
    std::unordered_map<DaemonId, PeerWork> m_peers;
};

} // namespace chestnut
