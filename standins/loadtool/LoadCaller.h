#pragma once

#include "EntryPointCache.h"
#include "LoadSummary.h"
#include "Workload.h"

#include "kernel/timers/AsioTimerService.h"

namespace chestnut {

struct CallerSettings {
    std::string model = "m1";
    std::string keyKind = "shared"; /**< shared, daemon or mixed */
    uint32_t maximumAttempts = 5; /**< maximum number of connections for one request */
};

/** Runs single requests as a robust client does: tries the next address after a broken connection, resumes streams, and
    retries refused calls that were not executed, with the same idempotency key. */
class LoadCaller {
public:
    LoadCaller(HttpClient&, AsioTimerService&, EntryPointCache&, CallerSettings, uint64_t nonce);

    asio::awaitable<LoadResult> run(PlannedRequest);

private:
    /** Progress of one request over several connections. */
    struct Progress {
        LoadResult result;
        TimePoint startedAt;
        TimePoint lastTokenAt {};
        std::string requestId;
        std::string key;
        std::string lastEventId;
        std::string text;
        uint64_t tokens = 0;
        bool isFinished = false;
        bool mayHaveRun = false; /**< an earlier attempt ended without a response */
        Duration retryAfter {};
    };

    asio::awaitable<void> attempt(const PlannedRequest&, Progress&, Endpoint);
    asio::awaitable<void> stream(const PlannedRequest&, Progress&, Endpoint);
    asio::awaitable<void> readEvents(const PlannedRequest&, Progress&, HttpBodyStream&);
    asio::awaitable<void> exchange(const PlannedRequest&, Progress&, Endpoint);
    HttpRequest requestFor(const PlannedRequest&, const Progress&) const;
    HttpTimeouts timeoutsFor(const PlannedRequest&, const Progress&) const;
    void handleToken(const PlannedRequest&, Progress&, const std::string& eventId, const std::string& data);
    void handleEnd(const PlannedRequest&, Progress&);
    void handleError(Progress&, const std::string& body, std::string_view retryAfter);
    void handleResponse(const PlannedRequest&, Progress&, const HttpResponse&);
    void handleDisconnect(Progress&, const Error&);
    static void markWrong(Progress&, std::string detail);
    std::string makeIdempotencyKey(const std::string& prefix);

    HttpClient& m_client;
    AsioTimerService& m_timers;
    EntryPointCache& m_entryPoints;
    CallerSettings m_settings;
    uint64_t m_nonce;
    uint64_t m_lastRequest = 0;
};

} // namespace chestnut
