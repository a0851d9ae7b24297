#pragma once

#include "review/standins/ReviewFleet.h"

#include <functional>
#include <map>

namespace chestnut::review {

/** What a client sends in one attempt. */
struct ClientCall {
    std::string path = "/book/1";
    std::string body;
    ReviewDaemon* daemon = nullptr;
    bool isStream = false;
};

/** What became of one attempt. */
struct ClientOutcome {
    std::string request;
    std::optional<int> status; /**< none: the channel ended without a complete response */
};

/** Clients of the deployment, with kept connections. */
class Clients {
public:
    explicit Clients(ReviewFleet&);

    /** Sends bookings that may run once at most, at this rate, to all daemons that are not stopping. */
    void start(uint32_t requestsPerSecond);
    /** Sends generations on the resumable route in the same way. */
    void startStreams(uint32_t requestsPerSecond);
    void stop() { m_isStopped = true; }

    asio::awaitable<ClientOutcome> call(ClientCall);

    /** Called when an attempt has ended. */
    std::function<void(const ReviewDaemon&, const ClientOutcome&)> onOutcome;

    /** When the client sent the request. */
    TimePoint sentAt(const std::string& request) const { return m_sentAt.at(request); }
    uint32_t sent() const { return m_sent; }
    /** Attempts that ended without a success and without a promise that the request has not run. */
    uint32_t failed() const { return m_failed; }

private:
    asio::awaitable<void> sendSteadily(uint32_t requestsPerSecond, bool isStream);
    asio::awaitable<void> callAnyDaemon(bool isStream);
    ReviewDaemon* randomDaemon();

    ReviewFleet& m_fleet;
    ConnectionPool m_pool;
    std::map<std::string, TimePoint> m_sentAt;
    uint32_t m_sent = 0;
    uint32_t m_failed = 0;
    bool m_isStopped = false;
};

} // namespace chestnut::review
