#pragma once

#include "claims/claims.h"
#include "claims/DaemonTimers.h"
#include "claims/FakePeers.h"
#include "infrastructure/testing/FakeKeyValueStore.h"
#include "kernel/timers/VirtualTimerService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace chestnut {

/** One daemon's claim service with its own, separately faulty connections to the key-value service and to its peers. */
struct FleetDaemon {
    FleetDaemon(asio::io_context&, VirtualTimerService&, std::shared_ptr<KeyValueModel>, FakePeerNetwork&, DaemonId, Incarnation);

    void pause(bool isPaused);

    DaemonTimers timers;
    FakeKeyValueStore store;
    MemoryLog log;
    Metrics metrics;
    FakePeers peers;
    SharedClaimService claims;
    bool isDead = false;
};

/** One claim and the decision that its caller received. */
struct ClaimAttempt {
    std::string key;
    std::optional<Result<ClaimDecision>> decision;

    bool isGranted() const { return decision && *decision && std::holds_alternative<ClaimGranted>(**decision); }
    bool isCompleted() const { return decision && *decision && std::holds_alternative<ClaimCompleted>(**decision); }
    bool isRefused(ErrorKind kind) const { return decision && !*decision && decision->error().kind == kind; }
};

/** Several daemons that share one key-value service in virtual time. A granted call counts as dispatched at once,
    unless its daemon has been killed. */
class ClaimFleet {
public:
    explicit ClaimFleet(size_t size);

    FleetDaemon& operator[](size_t index) { return *m_daemons[index]; }
    size_t size() const { return m_daemons.size(); }

    std::shared_ptr<ClaimAttempt> claim(size_t daemon, const std::string& key, const std::string& body = "body");
    /** Claims and advances the time until any decision must have arrived. */
    std::shared_ptr<ClaimAttempt> claimAndWait(size_t daemon, const std::string& key, const std::string& body = "body");
    void complete(size_t daemon, const std::string& key, const std::string& body);
    /** Abandons a call that the daemon was granted, before any byte of it was sent. */
    void abandon(size_t daemon, const std::string& key);
    void advance(Duration duration) { timers.advance(duration); }

    /** Returns a key with the current time whose shard has the given daemon as its preferred writer. */
    std::string keyWithPreferredWriter(size_t daemon);
    /** Returns a key whose time is the given age in the past. */
    std::string keyOfAge(UnixSeconds age);

    /** Stops the daemon abruptly, with its work unfinished. */
    void kill(size_t daemon);
    /** Kills a daemon and starts a new incarnation of it. */
    void restart(size_t daemon);

    unsigned dispatches(const std::string& key) { return m_dispatches[key]; }
    unsigned maximumDispatches() const;

    asio::io_context context;
    VirtualTimerService timers { context };
    std::shared_ptr<KeyValueModel> model = std::make_shared<KeyValueModel>();

private:
    std::unique_ptr<FleetDaemon> makeDaemon(size_t index);

    FakePeerNetwork m_network { context.get_executor(), timers, {} };
    std::vector<std::unique_ptr<FleetDaemon>> m_daemons;
    std::vector<std::unique_ptr<FleetDaemon>> m_dead; // kept alive because their coroutines still refer to them
    std::map<std::string, unsigned> m_dispatches;
    std::map<std::string, FleetDaemon*> m_runningAt;
    Incarnation m_lastIncarnation = 0;
    unsigned m_lastKey = 0;
};

} // namespace chestnut
