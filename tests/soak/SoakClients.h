#pragma once

#include "http/http.h"
#include "soak/SoakFleet.h"

namespace chestnut::soak {

/** Clients that call random daemons on persistent connections and check the responses. */
class SoakClients {
public:
    /** With `repeatsIds` clients send most refused requests again at once, with the same id to the same daemon. With `resumesStreams`
        they resume a stream that was broken off, at other daemons and with new ids, and check the versions in its events. */
    SoakClients(SoakFleet&, uint32_t seed, bool repeatsIds, bool resumesStreams);

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
    HttpRequest requestOf(const Call&) const;
    asio::awaitable<std::optional<HttpResponse>> exchange(Call&);
    /** Sends the call, checks the response and counts whether the stream has begun or gone on. */
    asio::awaitable<std::optional<HttpResponse>> attempt(Call&);
    /** Takes up a stream that was broken off, a few times within the client's time. */
    asio::awaitable<void> resume(Call, std::optional<HttpResponse>);
    void prepareResumption(Call&, Duration timeLeft);
    Duration pauseBeforeRetry(const std::optional<HttpResponse>&, Duration timeLeft);
    void checkResponse(Call&, const std::optional<HttpResponse>&);
    void checkSuccess(Call&, const HttpResponse&);
    void checkStream(Call&, const std::string& body);
    /** Checks the complete events of the body, and that they follow those of earlier tries. Returns false after a violation. */
    bool checkEvents(Call&, const std::string& body);
    bool checkVersion(Call&, const std::string& version);
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
    bool m_resumesStreams;
    bool m_isStopped = false;
};

} // namespace chestnut::soak
