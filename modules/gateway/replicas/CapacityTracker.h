#pragma once

#include "decisions/capacity/ReplicaCapacity.h"
#include "decisions/replicas/ReplicaRegistry.h"
#include "kernel/logging/Log.h"
#include "kernel/metrics/Metrics.h"
#include "kernel/timers/TimerService.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chestnut {

/** The daemons whose samples are summed. */
enum class CapacityScope : uint8_t {
    Daemon, /**< this one */
    Zone, /**< this one and those that report to it */
    Fleet, /**< all that are known */
};

/** Learns how much work each replica handles well, from the calls of this daemon and of its peers. */
class CapacityTracker {
public:
    CapacityTracker(TimerService&, Log&);

    /** Publishes the values of the replicas that deviate from the defaults, of a bounded number of them. */
    void publishTo(Metrics& metrics) { m_metrics = &metrics; }

    /** Records a call, or a part of one, that began at this share of the replica's slots; see addSample(). */
    void record(const ReplicaId&, double loadShare, double timeRatio, double weight = 1);
    void recordRefusal(const ReplicaId&, double loadShare);
    void recordError(const ReplicaId&);

    /** Estimates the capacities anew, at most once a second, and forgets replicas without samples. Called periodically. */
    void update();
    /** The last estimate. Replicas of one service and stage are compared with each other. */
    ReplicaCapacity capacityOf(const ReplicaEntry&);

    /** The sums of the next replicas after `cursor` in the order of their ids, which becomes the last of them; after the last replica
        the first one follows. Those without samples are left out. */
    std::vector<CapacitySamples> nextSamples(CapacityScope, ReplicaId& cursor, size_t maximum) const;
    /** Number of replicas with samples. */
    size_t size() const { return m_replicas.size(); }

    /** Replace what is known from the sender about these replicas. What is not updated ages. */
    void setPeerSamples(const DaemonId&, const std::vector<CapacitySamples>&);
    void setZoneSamples(const AvailabilityZone&, const std::vector<CapacitySamples>&);
    /** Those of all daemons together. They include the own ones, which are therefore not added. */
    void setFleetSamples(const std::vector<CapacitySamples>&);

    /** Forgets the samples of a replica that has started again. */
    void reset(const ReplicaId&);

private:
    /** Replicas that serve the same kind of calls. */
    using Group = std::pair<ServiceId, EngineStage>;
    struct AgingSamples {
        CapacitySamples samples;
        TimePoint at;
    };
    struct Record {
        AgingSamples own;
        std::map<DaemonId, AgingSamples> peers;
        std::map<AvailabilityZone, AgingSamples> zones;
        std::optional<AgingSamples> fleet;
        std::optional<Group> group; /**< absent until a request has looked at the replica */
        uint32_t slots = 0;
        ReplicaCapacity capacity;
        ReplicaCapacity logged;
        bool isPublished = false;
    };

    Record& recordOf(const ReplicaId&);
    CapacitySamples& own(const ReplicaId&);
    CapacitySamples aged(const AgingSamples&) const;
    CapacitySamples sumOf(const ReplicaId&, const Record&, CapacityScope) const;
    CapacitySamples knownOf(const ReplicaId&, const Record&) const;
    void estimate();
    void forgetOld();
    void logChange(const ReplicaId&, Record&);
    void publish(const ReplicaId&, Record&);

    TimerService& m_timers;
    Log& m_log;
    Metrics* m_metrics = nullptr;
    std::map<ReplicaId, Record> m_replicas;
    std::optional<TimePoint> m_updatedAt;
    size_t m_published = 0;
};

} // namespace chestnut
