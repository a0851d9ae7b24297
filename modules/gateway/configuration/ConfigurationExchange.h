#pragma once

#include "decisions/versions/PeerVersions.h"
#include "gateway/configuration/ConfigurationClient.h"
#include "gateway/configuration/ConfigurationNotice.h"
#include "gateway/members/DaemonDirectory.h"
#include "gateway/service/RoutingSource.h"
#include "kernel/metrics/Metrics.h"

#include <map>

namespace chestnut {

/** Fetches configurations from other daemons when the store does not deliver them to this one, and keeps a starting daemon from
    serving an older version than its peers do. Load messages announce the versions; see choosePeerToFetchFrom(). */
class ConfigurationExchange : public Service {
public:
    static constexpr std::string_view serviceName = "configurationexchange";
    std::string_view name() const final { return serviceName; }

    /** `ownKeys` mirrors the list of the daemons. Without a client nothing is fetched, and the daemon waits for no peer. */
    ConfigurationExchange(asio::io_context&, TimerService&, Log&, Metrics&, RoutingSource&, DaemonDirectory&, std::shared_ptr<StoreMirror> ownKeys, ConfigurationClient*);

    void start() override;

    /** Records the notice in a load message. */
    void record(const DaemonId& sender, const ConfigurationNotice&);

    /** The notice for this daemon's load messages. */
    ConfigurationNotice notice(bool withHolders);

    /** Whether this daemon has compared its version with those of its peers since it started, and may serve with it. */
    bool isSettled() const { return m_isSettled; }

private:
    struct Peer {
        AnnouncedVersion announced;
        uint32_t failures = 0; /**< of fetches, in a row */
    };

    asio::awaitable<void> fetchAll();
    asio::awaitable<void> fetchFrom(DaemonId);
    void recordFailure(const DaemonId&, uint64_t version, const Error&);
    void trackVersion();
    void trySettle();
    bool knowsHigherVersion() const;
    PeerVersionsView view() const;

    asio::io_context& m_context;
    TimerService& m_timers;
    Log& m_log;
    Metrics& m_metrics;
    RoutingSource& m_routing;
    DaemonDirectory& m_directory;
    std::shared_ptr<StoreMirror> m_ownKeys;
    ConfigurationClient* m_client;
    std::mt19937_64 m_random;
    std::map<DaemonId, Peer> m_peers;
    uint64_t m_ownVersion = 0; /**< as last compared */
    TimePoint m_ownVersionSince;
    std::optional<TimePoint> m_higherSince;
    Duration m_spread {};
    AutoResetEvent m_heardHigher;
    TimerSubscription m_settleTimer;
    std::optional<TimePoint> m_listedAt; /**< when the store has named the other daemons */
    bool m_isSettled;
};

} // namespace chestnut
