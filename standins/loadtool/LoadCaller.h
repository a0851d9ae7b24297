#pragma once

#include "EntryPointCache.h"
#include "LoadSummary.h"
#include "Workload.h"

#include "kernel/timers/AsioTimerService.h"

namespace chestnut {

struct CallerSettings {
    std::string model = "m1";
    std::string keyKind = "shared"; /**< shared, daemon or mixed */
    uint32_t maximumAttempts = 5; /**< connections for one request */
};

/** Runs single requests as a careful client does: next address after a broken connection, resumption of streams, and
    repeats of refused calls that did not run, with the same idempotency key. */
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
        bool isOver = false;
        bool mayHaveRun = false; /**< an earlier attempt ended without an answer */
        Duration retryAfter {};
    };

    asio::awaitable<void> attempt(const PlannedRequest&, Progress&, Endpoint);
    asio::awaitable<void> stream(const PlannedRequest&, Progress&, Endpoint);
    asio::awaitable<void> readEvents(const PlannedRequest&, Progress&, HttpBodyStream&);
    asio::awaitable<void> exchange(const PlannedRequest&, Progress&, Endpoint);
    HttpRequest requestFor(const PlannedRequest&, const Progress&) const;
    HttpTimeouts timeoutsFor(const PlannedRequest&, const Progress&) const;
    void takeToken(const PlannedRequest&, Progress&, const std::string& eventId, const std::string& data);
    void takeEnd(const PlannedRequest&, Progress&);
    void takeError(Progress&, const std::string& body, std::string_view retryAfter);
    void takeResponse(const PlannedRequest&, Progress&, const HttpResponse&);
    void takeBreak(Progress&, const Error&);
    static void setWrong(Progress&, std::string detail);
    std::string newKey(const std::string& prefix);

    HttpClient& m_client;
    AsioTimerService& m_timers;
    EntryPointCache& m_entryPoints;
    CallerSettings m_settings;
    uint64_t m_nonce;
    uint64_t m_lastRequest = 0;
};

} // namespace chestnut
