#pragma once

#include "decisions/replicas/ReplicaRegistry.h"
#include "soak/DisturbanceTracker.h"
#include "soak/FaultyLink.h"
#include "soak/Ledger.h"
#include "soak/NoticeChecks.h"
#include "soak/PlatformStore.h"
#include "soak/StandinWriter.h"

#include <functional>
#include <random>

namespace chestnut::soak {

/** Faults that a replica simulates. */
struct ReplicaFaults {
    double failShare = 0; /**< share of requests that are executed and get an error response */
    double refuseShare = 0; /**< share of requests that are refused and not executed */
    double truncateShare = 0; /**< share of responses that are cut off in the middle */
    bool resetsWhenDown = false; /**< after it has stopped, its address accepts connections and resets them */
};

/** Location of a replica and the service that it serves. */
struct ReplicaPlacement {
    std::string service;
    EngineStage stage = EngineStage::None;
    std::string zone;
    uint16_t serverPort = 0;
    std::string version = "v1"; /**< of its software */
    bool namesVersion = false; /**< states its version in each event of a stream */
};

/** Separates the contents of an event from the version of its writer. */
constexpr char versionSeparator = '@';

/** Header in which clients name the daemon that they call, for the checks in the replica. */
constexpr std::string_view daemonHeader = "X-Soak-Daemon";

/** Body that a correct plain response has. */
std::string expectedBody(const std::string& requestId);
/** The replica that sent the response, as its seal states. */
ReplicaId sealedBy(const HttpHeaders&);
/** The request that began the stream of this request: the id without the number of the try. */
std::string streamOf(const std::string& requestId);
/** Contents of an event without the version, and number of events. They are the same for all tries at a stream. */
std::string expectedEventData(const std::string& requestId, uint64_t number);
uint64_t expectedEventCount(const std::string& requestId);

/** Test double of a replica with the platform's published protocol, behind a faulty link. */
class ReplicaStandin {
public:
    ReplicaStandin(asio::io_context&, TimerService&, Log&, PlatformStore&, Ledger&, NoticeChecks&, ReplicaPlacement, LinkPointer, uint32_t seed);

    /** Opens the listener and registers the replica. */
    void start();

    /** A leaving replica may get requests for this time, the drain_ms of the platform, and serves somewhat longer. */
    static constexpr Duration drainTime = std::chrono::milliseconds(2000);

    /** Announces its departure, keeps serving for a while, and stops. `isStableSince` returns whether a
        daemon must have read the entry. */
    void drain(std::function<bool(const std::string& daemon, TimePoint since)> isStableSince);
    /** Stops immediately and without an announcement; its entry expires later. */
    void crash();
    /** Delays all its responses for a time and then goes on; nothing is wrong with it. No effect soon after another silence,
        or when the replica is leaving or down. */
    void beSilent(Duration, bool startsInsideBytes);
    /** Announces its departure in all its responses; its entry in the store stays as it is. */
    void announceDeparture() { m_behavior.announcesDeparture = true; }
    /** States in all its responses how many requests per second it takes from all daemons together; 0 ends that. */
    void limitRequests(double perSecond) { m_behavior.requestsPerSecond = perSecond; }
    bool hasLimit() const { return m_behavior.requestsPerSecond > 0; }
    /** Refuses all requests for a time, each for a random time during which it wants no other request from that daemon. */
    void shed(Duration);
    /** Refuses all requests for a time without such a statement. */
    void refuse(Duration);
    /** Removes its entry, as if it expired while the store is down; the next heartbeat writes it again. */
    void expireEntry() { m_store.erase(key()); }
    /** Changes from the decode to the prefill stage without an order, after its running requests. */
    void leaveDecodeStage();
    /** Writes its entry again, as after a restore of the store. */
    void renewEntry();
    std::string key() const;
    /** Changed at each start. */
    const ReplicaId& id() const { return m_id; }
    /** Starts again with a new id. */
    void restart();
    /** Changes the version of its software at its next start. */
    void changeVersion(std::string version) { m_nextVersion = std::move(version); }
    const std::string& version() const { return m_placement.version; }
    /** Whether it is a decode engine that is listed in the store and not leaving. */
    bool servesDecodes() const;

    bool isEngine() const { return m_placement.stage != EngineStage::None; }
    bool isDown() const { return m_isDown; }
    bool isLeavingOrDown() const { return m_isDown || m_behavior.announcesDeparture || m_drainingSince.has_value(); }

    ReplicaFaults faults;
    Duration clockError {}; /**< error of the start time in its entry */

private:
    asio::awaitable<void> handle(HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> handleControl(const HttpRequest&, HttpResponseWriter&);
    HttpResponse handleOrder(const nlohmann::json&);
    asio::awaitable<void> changeStage(EngineStage);
    asio::awaitable<void> run(const HttpRequest&, HttpResponseWriter&);
    asio::awaitable<void> runStream(const HttpRequest&, HttpResponseWriter&, const std::string& id);
    asio::awaitable<void> refuseForTime(HttpResponseWriter&, const std::string& daemon, const std::string& id);
    HttpHeaders sealedHeaders(const std::string& id);
    asio::awaitable<void> runPlain(HttpResponseWriter&, const std::string& id);
    void checkHandle(const HttpRequest&, const std::string& id);
    void checkDrain(const HttpRequest&, const std::string& id);
    void stop();
    void writeEntry();
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }

    asio::io_context& m_context;
    TimerService& m_timers;
    PlatformStore& m_store;
    Ledger& m_ledger;
    NoticeChecks& m_notices;
    ReplicaPlacement m_placement;
    LinkPointer m_link;
    std::mt19937 m_random;
    ReplicaId m_id;
    int m_starts = 0; /**< incremented at each start and stop; requests of an earlier start then end */
    int64_t m_startedAt = 0;
    int64_t m_heartbeat = 0;
    uint64_t m_acceptedOrders = 0;
    uint64_t m_highestFencingNumber = 0;
    std::string m_holder; /**< role holder that sent the highest fencing number */
    uint64_t m_handles = 0;
    std::string m_nextVersion; /**< from its next start on */
    uint32_t m_running = 0;
    bool m_isChangingStage = false;
    bool m_isDown = false;
    std::optional<TimePoint> m_drainingSince;
    ResponseBehavior m_behavior;
    TimePoint m_shedsUntil; /**< refuses all requests until then and states for how long */
    TimePoint m_refusesUntil;
    std::function<bool(const std::string&, TimePoint)> m_isStableSince;
    HttpServer m_server;
    TimerSubscription m_heartbeatTimer;
    TimerSubscription m_stopTimer;
    TimerSubscription m_expiryTimer;
};

} // namespace chestnut::soak
