#pragma once

#include "soak/SoakFleet.h"

namespace chestnut::soak {

/** The faults from which a run chooses at random. */
struct FaultProfile {
    bool isPlannedOnly = false; /**< SIGTERM, SIGHUP, new manifests and replicas that announce their departure */
    bool includesSilence = false; /**< replicas that delay their responses for about a second */
    bool includesNotices = false; /**< replicas that state in their responses that they leave or want a pause */
    bool includesFraming = false; /**< responses that end with the connection, are cut, or are sent twice */
    bool includesRestore = false; /**< restores of the store from a copy some seconds old */
    bool includesCopies = false; /**< copies of refusals, also before the response to a request with the same id */
    bool includesLimits = false; /**< replicas that state how many requests they take from all daemons together */
    bool includesVersions = false; /**< engines of several software versions, which are replaced, and interrupted streams */
    std::string only; /**< name of the only fault to inject, of any kind; empty: all */

    bool operator==(const FaultProfile&) const = default;
};

/** Injects random faults from outside the daemons. Each fault ends after a random time; faults may overlap. */
class FaultInjector {
public:
    FaultInjector(SoakFleet&, FaultProfile, uint32_t seed);

    /** Starts a fault every few hundred milliseconds for the given time, then waits until all have ended. */
    asio::awaitable<void> run(Duration);

    /** The faults started so far with their times, for the report. */
    const std::vector<std::string>& history() const { return m_history; }

private:
    using Fault = asio::awaitable<void> (FaultInjector::*)();
    struct NamedFault {
        const char* name;
        Fault fault;
        bool isPlanned;
        bool FaultProfile::*option = nullptr; /**< included only with this option */
    };
    static const std::vector<NamedFault>& allFaults();

    bool isEligible(const NamedFault&) const;
    void begin(const NamedFault&);
    void checkProcesses();

    asio::awaitable<void> terminate();
    asio::awaitable<void> sendHangup();
    asio::awaitable<void> changeManifest();
    asio::awaitable<void> drainReplica();
    /** Most engines of one version leave; they return with a new version, or with new ids only. */
    asio::awaitable<void> replaceVersion();
    asio::awaitable<void> replaceEngine(ReplicaStandin&, std::string version);
    asio::awaitable<void> silenceReplicas();
    asio::awaitable<void> leaveInResponses();
    asio::awaitable<void> shedRequests();
    asio::awaitable<void> limitRequests();
    asio::awaitable<void> omitLengths();
    asio::awaitable<void> copyRefusals();
    asio::awaitable<void> restoreStore();
    asio::awaitable<void> restoreOnce();
    /** Engines leave the decode stage without an order, so that the role holder sends orders. */
    asio::awaitable<void> changeStages();
    asio::awaitable<void> writeAgain(std::vector<std::string> entriesBefore);

    asio::awaitable<void> killDaemon();
    asio::awaitable<void> killAll();
    asio::awaitable<void> restartAll();
    asio::awaitable<void> pauseDaemon();
    asio::awaitable<void> takeStoreDown();
    asio::awaitable<void> makeStoreUnresponsive();
    asio::awaitable<void> slowStore();
    asio::awaitable<void> loseStoreResponses();
    asio::awaitable<void> compactStore();
    asio::awaitable<void> disturbStoreClock();
    asio::awaitable<void> disturbStoreLink();
    asio::awaitable<void> disturbClientLink();
    asio::awaitable<void> disturbReplicaLink();
    asio::awaitable<void> crashReplica();
    asio::awaitable<void> failRequests();
    asio::awaitable<void> truncateResponses();
    asio::awaitable<void> breakOffStreams();
    asio::awaitable<void> breakResponses();
    asio::awaitable<void> repeatRefusals();
    asio::awaitable<void> injectResponseFault(size_t replica, ResponseFault);

    bool canLeave(const ReplicaStandin&) const;
    asio::awaitable<void> drain(ReplicaStandin&);
    asio::awaitable<void> kill(SoakDaemon&);
    void spawn(asio::awaitable<void>);
    asio::awaitable<void> injectLinkFault(LinkPointer);
    asio::awaitable<void> injectReplicaFault(double ReplicaFaults::*share);
    SoakDaemon* randomDaemonWithoutFault();
    /* Clients use other random generators, so that the faults depend on the seed alone. */
    int pick(int lowest, int highest) { return std::uniform_int_distribution<int>(lowest, highest)(m_random); }
    size_t pickIndex(size_t size) { return std::uniform_int_distribution<size_t>(0, size - 1)(m_random); }
    Duration between(int lowestMilliseconds, int highestMilliseconds) { return std::chrono::milliseconds(pick(lowestMilliseconds, highestMilliseconds)); }
    ReplicaStandin& randomReplica() { return *m_fleet.replicas[pickIndex(m_fleet.replicas.size())]; }

    SoakFleet& m_fleet;
    FaultProfile m_profile;
    TimePoint m_startedAt;
    TimePoint m_nextRestoreAt;
    TimePoint m_nextRestartAt; /**< of all daemons */
    std::mt19937 m_random;
    std::vector<std::string> m_history;
    int m_active = 0;
    int m_replacements = 0;
    int m_leavingEngines = 0; /**< that are being replaced */
    TimerSubscription m_processTimer;
};

} // namespace chestnut::soak
