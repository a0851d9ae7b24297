#pragma once

#include "http/http.h"
#include "kernel/timers/TimerService.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>

namespace chestnut::soak {

/** Faults that the store simulates. */
struct StoreFaults {
    bool isDown = false; /**< responds with 503 and executes nothing */
    bool isUnresponsive = false; /**< accepts requests and does not respond */
    Duration latency {};
    double lostResponseShare = 0; /**< share of writes that get no response but take effect, immediately or a second later */
    double leaseSpeed = 1; /**< speed of the clock that expires leases; 1 is real time */
    bool pausesLeases = true; /**< leases do not expire while the store is down */
};

/** In-memory implementation of the platform's metadata store with its published protocol. It keeps copies of its state, from
    which it can be restored. */
class PlatformStore {
public:
    PlatformStore(asio::io_context&, TimerService&, Log&, uint16_t port, uint32_t seed);

    void start() { m_server.start(); }
    Endpoint endpoint() const { return m_server.endpoint(); }

    StoreFaults faults;

    /** Direct write for the operator and the replicas, which do not use the HTTP interface. */
    void put(const std::string& key, const std::string& value) { write(key, value, 0); }
    void erase(const std::string& key);
    /** Drops the event history, so that watches from earlier revisions are refused. */
    void compact() { m_state.oldestRevision = m_state.revision; }

    /** Replaces the state by the newest copy of at least this age, or the oldest one. Revisions and ids of leases are assigned again. */
    void restore(Duration age);
    uint64_t revision() const { return m_state.revision; }
    std::vector<std::string> keysBelow(const std::string& prefix) const;

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t createdAt = 0;
        uint64_t lease = 0;
    };
    struct Lease {
        Duration timeToLive {};
        Duration remaining {};
    };
    struct Event {
        uint64_t revision = 0;
        std::string key;
        nlohmann::json content;
    };
    struct State {
        std::map<std::string, Item> items;
        std::map<uint64_t, Lease> leases;
        std::deque<Event> history;
        uint64_t revision = 100;
        uint64_t oldestRevision = 0; /**< watches from an earlier revision are refused */
        uint64_t lastLease = 0;
    };
    struct Copy {
        TimePoint takenAt;
        State state;
    };

    asio::awaitable<void> handle(HttpRequest, HttpResponseWriter&);
    asio::awaitable<Result<void>> respond(HttpResponseWriter&, HttpResponse) const;
    asio::awaitable<HttpResponse> execute(const HttpRequest&);
    asio::awaitable<HttpResponse> watch(const HttpRequest&);
    HttpResponse range(const HttpRequest&) const;
    HttpResponse transact(const nlohmann::json&);
    HttpResponse grantLease(const nlohmann::json&);
    HttpResponse renewLease(const std::string& id);
    HttpResponse endLease(const std::string& id);
    std::vector<nlohmann::json> eventsAfter(uint64_t revision, const std::string& prefix) const;
    nlohmann::json itemJson(const std::string& key, const Item&) const;

    void write(const std::string& key, const std::string& value, uint64_t lease);
    void removeLease(uint64_t lease);
    void advanceLeases();
    void takeCopy();
    bool chance(double share);

    TimerService& m_timers;
    State m_state;
    std::deque<Copy> m_copies;
    uint64_t m_epoch = 1; /**< number of restores and one */
    uint64_t m_random;
    TimePoint m_leasesAdvancedAt;
    HttpServer m_server;
    TimerSubscription m_leaseTimer;
    TimerSubscription m_copyTimer;
};

} // namespace chestnut::soak
