#pragma once

#include "http/client/HttpClient.h"
#include "infrastructure/client/TokenBucket.h"
#include "kernel/logging/Log.h"
#include "kernel/metrics/Metrics.h"
#include "kernel/timers/TimerService.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace chestnut {

/** Settings of this daemon's calls to the platform, which is Consul's HTTP API. */
struct PlatformSettings {
    Endpoint endpoint { "127.0.0.1", 8500 };
    double readsPerSecond = 20;
    double writesPerSecond = 40;
    double burst = 20; /**< reads, and as many writes, that may start without a delay */
    Duration longestBudgetDelay = std::chrono::seconds(2); /**< calls that the rate limit would delay longer fail */
    Duration callTimeout = std::chrono::seconds(2);
    Duration firstBackoff = std::chrono::milliseconds(200);
    Duration longestBackoff = std::chrono::seconds(5);
};

/** Reads the section `platform`. Faults are added to the reader. */
PlatformSettings readPlatformSettings(SettingsReader&);

/** Sends one request to the platform. Tests replace it with a fake. */
using PlatformTransport = std::function<asio::awaitable<Result<HttpResponse>>(HttpRequest, Duration readTimeout)>;

/** Returns a transport that sends requests to one endpoint over HTTP. The client must outlive it. */
PlatformTransport makeHttpTransport(HttpClient&, Endpoint);

struct PlatformCall {
    std::string kind; /**< label of the counter `chestnut_platform_calls_total` */
    HttpRequest request;
    bool isWrite = false;
    Duration extraTimeout { 0 }; /**< added to callTimeout, for the wait of a blocking query */
};

/** Makes all calls to the platform: limits their rate, merges identical concurrent reads, and fails calls immediately during
    an outage, in which only probes are sent, with exponential backoff and jitter. */
class PlatformClient : public std::enable_shared_from_this<PlatformClient> {
public:
    PlatformClient(asio::any_io_executor, TimerService&, Log&, Metrics&, PlatformTransport, PlatformSettings, uint64_t seed);

    /** Errors: PlatformUnavailable when the call cannot have taken effect, PlatformAnswerLost when a write may have.
        Responses with a status below 500, other than 429, are returned unchanged. */
    asio::awaitable<Result<HttpResponse>> call(PlatformCall);

    bool isInOutage() const { return m_isInOutage; }

private:
    struct SharedRead;

    asio::awaitable<Result<HttpResponse>> callOnce(PlatformCall);
    asio::awaitable<Result<HttpResponse>> callShared(PlatformCall);
    asio::awaitable<Result<void>> awaitRateLimit(bool isWrite);
    Result<HttpResponse> classifyResponse(const PlatformCall&, Result<HttpResponse>);
    void recordSuccess();
    void recordFailure(const std::string& detail);
    Error unavailable(std::string detail) const;
    Duration nextBackoff();

    static asio::awaitable<void> probeUntilRestored(std::shared_ptr<PlatformClient>);

    asio::any_io_executor m_executor;
    TimerService& m_timers;
    Log& m_log;
    Metrics& m_metrics;
    PlatformTransport m_transport;
    PlatformSettings m_settings;
    std::mt19937_64 m_rng;
    TokenBucket m_reads;
    TokenBucket m_writes;
    bool m_isInOutage = false;
    bool m_isProbing = false;
    bool m_isBudgetExhausted = false;
    unsigned m_consecutiveFailures = 0;
    /** Part of the key of shared reads: a read that starts after a write has ended must return the written value, so it
        is not merged with an earlier read. */
    uint64_t m_writesEnded = 0;
    std::map<std::pair<uint64_t, std::string>, std::shared_ptr<SharedRead>> m_sharedReads;
};

} // namespace chestnut
