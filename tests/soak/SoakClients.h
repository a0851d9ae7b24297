#pragma once

#include "http/http.h"
#include "soak/SoakFleet.h"

namespace chestnut::soak {

/** Clients that call random daemons on persistent connections and check the responses. */
class SoakClients {
public:
    /** With `repeatsIds` clients send most refused requests again at once, with the same id to the same daemon. */
    SoakClients(SoakFleet&, uint32_t seed, bool repeatsIds);

    /** Starts the given number of clients. */
    void start(int clients);
    void stop() { m_isStopped = true; }
    bool hasEnded() const { return m_running == 0; }

    /** Checks the share of late responses, a bound over all attempts, and reports a violation. */
    void checkLateShare() const;

private:
    struct Call;

    asio::awaitable<void> callRepeatedly();
    asio::awaitable<void> callOnce();
    asio::awaitable<void> checkNewRoute();
    void checkRegression(const Call&, uint64_t version, bool requestsRemovedRoute, int status);
    asio::awaitable<std::optional<HttpResponse>> exchange(const Call&);
    void checkResponse(const Call&, const std::optional<HttpResponse>&);
    void checkSuccess(const Call&, const HttpResponse&);
    void checkStream(const Call&, const std::string& body);
    Call makeCall(CallKind);
    int pick(int lowest, int highest) { return std::uniform_int_distribution<int>(lowest, highest)(m_random); }

    SoakFleet& m_fleet;
    std::mt19937 m_random;
    ConnectionPool m_pool;
    uint64_t m_calls = 0;
    uint64_t m_reachedTimeout = 0;
    uint64_t m_lateResponses = 0;
    int m_running = 0;
    bool m_repeatsIds;
    bool m_isStopped = false;
};

} // namespace chestnut::soak
