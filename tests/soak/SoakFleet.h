#pragma once

#include "kernel/timers/AsioTimerService.h"
#include "processes/ChildProcess.h"
#include "soak/DisturbanceTracker.h"
#include "soak/ReplicaStandin.h"
#include "soak/ResumptionChecks.h"

namespace chestnut::soak {

struct FleetShape {
    int daemons = 4;
    int plainReplicas = 3;
    int engines = 5;
    bool deadReplicasReset = false; /**< see ReplicaFaults::resetsWhenDown */
    bool hasVersions = false; /**< the engines have two software versions, which their events name */

    bool operator==(const FleetShape&) const = default;
};

/** One daemon of the fleet: the real program as a process. Clients reach it through one link, and it reaches the store
    through another. */
struct SoakDaemon {
    SoakDaemon(TimerService& timers, std::string daemonName)
        : name(std::move(daemonName))
        , disturbances(timers)
    {
    }

    std::string name;
    std::string settingsPath;
    std::string outputPath;
    std::unique_ptr<test::ChildProcess> process;
    LinkPointer clientLink;
    LinkPointer storeLink;
    DisturbanceTracker disturbances;
    TimePoint startedAt; /**< start of the present process */
    uint64_t servedVersion = 0; /**< newest manifest whose route the present process has served */
    TimePoint servedVersionAt; /**< when a client first saw that */
    bool hasBegunStreams = false; /**< the present process has begun a new stream that may be resumed */
    bool isDiscoverable = true; /**< discovery offers it to clients */
    bool hasProcessFault = false; /**< a fault of its process is in progress, so it may exit */
};

/** Daemons as child processes, with the store, the replicas and the links that they use in this process. */
class SoakFleet {
public:
    static constexpr const char* host = "soak.example";
    static constexpr Duration plainTimeout = std::chrono::milliseconds(1500);
    static constexpr Duration streamTimeout = std::chrono::milliseconds(4000);
    static constexpr Duration graceTime = std::chrono::seconds(8);
    /** Time after a disturbance until a daemon must be up to date again; the platform's stable_ms. */
    static constexpr Duration stabilizationTime = std::chrono::milliseconds(3000);

    SoakFleet(FleetShape, uint32_t seed, std::string folder);

    /** Starts the store, the replicas and the daemons. */
    void start();
    void startProcess(SoakDaemon&);

    /** Whether daemon and store were undisturbed long enough that the daemon must have read the state of the store at that time. */
    bool isStableSince(const SoakDaemon&, TimePoint) const;
    /** Number of decode engines of the version that serve. */
    size_t decodeEngines(const std::string& version) const;

    /** The daemon with the name, or null. */
    SoakDaemon* findDaemon(const std::string& name) const;
    /** A random daemon that discovery offers to clients. */
    SoakDaemon& randomDaemon();

    /** Writes the next manifest, which adds a route and removes the one that the previous manifest added. */
    void writeManifest();
    /** Writes the present manifest again. */
    void rewriteManifest();
    uint64_t manifestVersion() const { return m_version; }
    TimePoint manifestWrittenAt() const { return m_manifestWrittenAt; }
    static std::string addedPrefix(uint64_t version) { return "/added" + std::to_string(version) + "/"; }

    int pick(int lowest, int highest) { return std::uniform_int_distribution<int>(lowest, highest)(m_random); }

    asio::io_context context;
    AsioTimerService timers { context };
    MemoryLog log;
    Ledger ledger { timers };
    NoticeChecks notices { timers, ledger, [this](const std::string& daemon) { return isDisturbed(daemon); } };
    ResumptionChecks resumptions;
    DisturbanceTracker unplannedDisturbances { timers }; /**< of the whole fleet; planned work does not count */
    DisturbanceTracker storeDisturbances { timers };
    PlatformStore store;
    std::vector<LinkPointer> replicaLinks;
    std::vector<std::unique_ptr<ReplicaStandin>> replicas;
    std::vector<std::unique_ptr<SoakDaemon>> daemons;

private:
    LinkPointer makeLink(const Endpoint& server);
    void addReplica(ReplicaPlacement, bool resetsWhenDown);
    void addEngines(const FleetShape&);
    void addDaemon(int number);
    /** Whether the daemon was restarted, frozen or cut off within the stabilization time. */
    bool isDisturbed(const std::string& daemon) const;

    std::mt19937 m_random;
    std::string m_folder;
    uint64_t m_version = 0;
    std::string m_manifest;
    TimePoint m_manifestWrittenAt;
};

} // namespace chestnut::soak
