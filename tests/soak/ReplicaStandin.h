#pragma once

#include "decisions/replicas/ReplicaRegistry.h"
#include "soak/Calmness.h"
#include "soak/FaultyLink.h"
#include "soak/Ledger.h"
#include "soak/PlatformStore.h"

#include <functional>
#include <random>

namespace chestnut::soak {

/** How a replica misbehaves. */
struct ReplicaFaults {
    double failShare = 0; /**< requests that run and are answered with an error */
    double truncateShare = 0; /**< answers that break off in the middle */
    bool resetsWhenDown = false; /**< its address accepts connections after its end and resets them */
};

/** Where a replica stands and what it serves. */
struct ReplicaPlace {
    std::string service;
    EngineStage stage = EngineStage::None;
    std::string zone;
    uint16_t serverPort = 0;
};

/** The header by which a replica of the soak learns which daemon a client used. */
constexpr std::string_view daemonHeader = "X-Soak-Daemon";

/** The answer of a plain replica to an attempt, and the data of one event of a stream. */
std::string bodyFor(const std::string& requestId);
std::string eventFor(const std::string& requestId, uint64_t number);
uint64_t eventsFor(const std::string& requestId);

/** One replica of the platform, by its published protocol, behind a faulty link. */
class ReplicaStandin {
public:
    ReplicaStandin(asio::io_context&, TimerService&, Log&, PlatformStore&, Ledger&, ReplicaPlace, LinkPointer, uint32_t seed);

    /** Opens the listener and registers the replica. */
    void start();

    /** Announces its leaving, goes on serving, and ends. `isInTouch` tells whether a daemon must have heard of it. */
    void drain(std::function<bool(const std::string& daemon, TimePoint since)> isInTouch);
    /** Ends at once, without a word; its entry lapses later. */
    void crash();
    /** Removes its entry, as the store does while it is away; the next heartbeat brings it back. */
    void lapse() { m_store.erase(key()); }
    /** Starts again under a new id. */
    void restart();

    bool isLeavingOrDown() const { return m_isDown || m_drainingSince.has_value(); }

    ReplicaFaults faults;
    Duration clockError {}; /**< of the start that its entry names */

private:
    asio::awaitable<void> answer(HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> answerControl(const HttpRequest&, HttpResponseWriter&);
    HttpResponse takeOrder(const nlohmann::json&);
    asio::awaitable<void> changeStage(EngineStage);
    asio::awaitable<void> run(const HttpRequest&, HttpResponseWriter&);
    asio::awaitable<void> runStream(const HttpRequest&, HttpResponseWriter&, const std::string& id);
    asio::awaitable<void> runPlain(HttpResponseWriter&, const std::string& id);
    void checkHandle(const HttpRequest&, const std::string& id);
    void checkDrain(const HttpRequest&, const std::string& id);
    void end();
    void writeEntry();
    std::string key() const;
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }

    asio::io_context& m_context;
    TimerService& m_timers;
    PlatformStore& m_store;
    Ledger& m_ledger;
    ReplicaPlace m_place;
    LinkPointer m_link;
    std::mt19937 m_random;
    ReplicaId m_id;
    int m_starts = 0; /**< work of an earlier start ends when this has grown */
    int64_t m_startedAt = 0;
    int64_t m_heartbeat = 0;
    uint64_t m_acceptedOrders = 0;
    uint64_t m_highestFencing = 0;
    std::string m_holder; /**< of the highest fencing number */
    uint64_t m_handles = 0;
    uint32_t m_running = 0;
    bool m_isBusy = false;
    bool m_isDown = false;
    std::optional<TimePoint> m_drainingSince;
    std::function<bool(const std::string&, TimePoint)> m_isInTouch;
    HttpServer m_server;
    TimerSubscription m_heartbeatTimer;
    TimerSubscription m_endTimer;
    TimerSubscription m_lapseTimer;
};

} // namespace chestnut::soak
