#pragma once

#include "http/http.h"
#include "kernel/timers/TimerService.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>

namespace chestnut::soak {

/** How the store misbehaves. */
struct StoreFaults {
    bool isDown = false; /**< answers 503, nothing is done */
    bool isSilent = false; /**< takes calls and does not answer them */
    Duration latency {};
    double lostAnswerShare = 0; /**< of writes; they take effect, at once or a second later */
    double leaseSpeed = 1; /**< of the clock by which leases end */
    bool pausesLeases = true; /**< while it is down; otherwise they run on */
};

/** The platform's metadata store in memory, by its published protocol. */
class PlatformStore {
public:
    PlatformStore(asio::io_context&, TimerService&, Log&, uint16_t port, uint32_t seed);

    void start() { m_server.start(); }
    Endpoint endpoint() const { return m_server.endpoint(); }

    StoreFaults faults;

    /** Writes as the operator or as a replica, which reach the store in another way. */
    void put(const std::string& key, const std::string& value) { write(key, value, 0); }
    void erase(const std::string& key);
    /** Drops the history. */
    void compact() { m_oldest = m_revision; }

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t createdAt = 0;
        uint64_t lease = 0;
    };
    struct Lease {
        Duration timeToLive {};
        Duration left {};
    };
    struct Event {
        uint64_t revision = 0;
        std::string key;
        nlohmann::json content;
    };

    asio::awaitable<void> answer(HttpRequest, HttpResponseWriter&);
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
    void runLeases();
    bool chance(double share);

    TimerService& m_timers;
    std::map<std::string, Item> m_items;
    std::map<uint64_t, Lease> m_leases;
    std::deque<Event> m_history;
    uint64_t m_revision = 100;
    uint64_t m_oldest = 0; /**< watches from an earlier revision are refused */
    uint64_t m_lastLease = 0;
    uint64_t m_random;
    TimePoint m_leasesRunAt;
    HttpServer m_server;
    TimerSubscription m_leaseTimer;
};

} // namespace chestnut::soak
