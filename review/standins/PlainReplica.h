#pragma once

#include "review/standins/ReviewFleet.h"

#include <functional>

namespace chestnut::review {

/** Header in which the clients of the review name the daemon that they call. The platform forwards such headers unchanged. */
constexpr std::string_view daemonHeader = "X-Review-Daemon";

/** Stand-in of a replica of the plain service, behind a link that can reset its connections. */
class PlainReplica {
public:
    /** A request that the replica receives, other than one for another replica. */
    struct Arrival {
        std::string request;
        std::string daemon;
        std::string body;
    };

    PlainReplica(ReviewFleet&, std::string zone);

    /** Starts as a new process: with a new id and an entry in the store. */
    void start();
    /** Removes the entry without a notice; the replica goes on to serve. */
    void removeEntry();
    /** Ends the process: its connections are reset and its address refuses new ones. Its entry expires after three heartbeats. */
    void end();
    bool isRunning() const { return m_isRunning; }
    const std::string& id() const { return m_id; }

    std::function<void(const Arrival&)> onArrival;
    /** Whether the replica crashes when it begins to run a request. Null: never. */
    std::function<bool(const Arrival&)> crashesOn;
    /** Called after a crash. */
    std::function<void()> onCrash;

private:
    asio::awaitable<void> handle(HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> run(const Arrival&, HttpResponseWriter&);
    void writeEntry();

    ReviewFleet& m_fleet;
    std::string m_zone;
    std::string m_id;
    uint16_t m_serverPort;
    soak::LinkPointer m_link;
    HttpServer m_server;
    TimerSubscription m_expiryTimer;
    int64_t m_startedAt = 0; /**< Unix milliseconds */
    int m_starts = 0;
    uint32_t m_accepted = 0; /**< running and queued requests */
    uint32_t m_running = 0;
    bool m_isRunning = false;
};

} // namespace chestnut::review
