#pragma once

#include "soak/SoakFleet.h"

namespace chestnut::soak {

/** Which faults a run draws from. */
enum class FaultProfile : uint8_t {
    PlannedOnly, /**< SIGTERM, SIGHUP, manifests and replicas that announce their leaving */
    All,
};

/** Injects random faults from outside the daemons, in series and overlapping, and heals them. */
class FaultInjector {
public:
    FaultInjector(SoakFleet&, FaultProfile, uint32_t seed);

    /** Begins a fault every few hundred milliseconds for so long, and waits until all have ended. */
    asio::awaitable<void> run(Duration);

    /** The faults so far, for the log. */
    const std::vector<std::string>& history() const { return m_history; }

private:
    using Fault = asio::awaitable<void> (FaultInjector::*)();
    struct NamedFault {
        const char* name;
        Fault fault;
        bool isPlanned;
    };
    static const std::vector<NamedFault>& allFaults();

    void begin(const NamedFault&);
    void watchProcesses();

    asio::awaitable<void> terminate();
    asio::awaitable<void> hangUp();
    asio::awaitable<void> changeManifest();
    asio::awaitable<void> drainReplica();

    asio::awaitable<void> killDaemon();
    asio::awaitable<void> killAll();
    asio::awaitable<void> pauseDaemon();
    asio::awaitable<void> takeStoreDown();
    asio::awaitable<void> silenceStore();
    asio::awaitable<void> slowStore();
    asio::awaitable<void> loseStoreAnswers();
    asio::awaitable<void> compactStore();
    asio::awaitable<void> disturbStoreClock();
    asio::awaitable<void> disturbStoreLink();
    asio::awaitable<void> disturbFrontLink();
    asio::awaitable<void> disturbReplicaLink();
    asio::awaitable<void> crashReplica();
    asio::awaitable<void> failRequests();
    asio::awaitable<void> truncateAnswers();

    asio::awaitable<void> kill(SoakDaemon&);
    asio::awaitable<void> disturb(LinkPointer);
    asio::awaitable<void> misbehave(double ReplicaFaults::*share);
    SoakDaemon* undisturbedDaemon();
    /* Clients draw from generators of their own, so that the faults depend on the seed alone. */
    int pick(int lowest, int highest) { return std::uniform_int_distribution<int>(lowest, highest)(m_random); }
    size_t pickIndex(size_t size) { return std::uniform_int_distribution<size_t>(0, size - 1)(m_random); }
    Duration between(int lowestMilliseconds, int highestMilliseconds) { return std::chrono::milliseconds(pick(lowestMilliseconds, highestMilliseconds)); }
    ReplicaStandin& anyReplica() { return *m_fleet.replicas[pickIndex(m_fleet.replicas.size())]; }

    SoakFleet& m_fleet;
    FaultProfile m_profile;
    TimePoint m_startedAt;
    std::mt19937 m_random;
    std::vector<std::string> m_history;
    int m_active = 0;
    TimerSubscription m_processTimer;
};

} // namespace chestnut::soak
