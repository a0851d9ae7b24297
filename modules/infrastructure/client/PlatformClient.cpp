#include "infrastructure/client/PlatformClient.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

namespace chestnut {

namespace {

    // Two failures in a row, because after a single lost response a read must still be possible, which determines whether the
    // write took effect.
    constexpr unsigned failuresUntilOutage = 2;
    constexpr unsigned maximumBackoffExponent = 10;
    constexpr int tooManyRequests = 429;
    constexpr int firstServerError = 500;
    constexpr auto probeTarget = "/v1/status/leader";

} // namespace

struct PlatformClient::SharedRead {
    explicit SharedRead(const asio::any_io_executor& executor)
        : completion(executor, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer completion; // never expires; cancelled when the response has arrived
    std::optional<Result<HttpResponse>> response;
};

PlatformSettings readPlatformSettings(SettingsReader& reader)
{
    using namespace std::chrono_literals;
    PlatformSettings settings;
    settings.endpoint = reader.endpoint("platform", "endpoint", settings.endpoint);
    settings.readsPerSecond = reader.number("platform", "reads_per_second", settings.readsPerSecond, 0.1, 2000);
    settings.writesPerSecond = reader.number("platform", "writes_per_second", settings.writesPerSecond, 0.1, 500);
    settings.burst = reader.number("platform", "burst", settings.burst, 1, 2000);
    settings.longestBudgetDelay = reader.duration("platform", "longest_budget_delay", settings.longestBudgetDelay, 0s, 1min);
    settings.callTimeout = reader.duration("platform", "call_timeout", settings.callTimeout, 10ms, 1min);
    settings.firstBackoff = reader.duration("platform", "first_backoff", settings.firstBackoff, 1ms, 1min);
    settings.longestBackoff = reader.duration("platform", "longest_backoff", settings.longestBackoff, 1ms, 10min);
    return settings;
}

namespace {

    asio::awaitable<Result<HttpResponse>> exchangeWithTimeout(HttpClient& client, Endpoint endpoint, HttpRequest request, Duration readTimeout)
    {
        HttpTimeouts timeouts;
        timeouts.read = readTimeout;
        constexpr size_t maximumListBody = 64 << 20; // bytes; a complete shard log with the overhead of Base64
        co_return co_await client.exchange(std::move(endpoint), std::move(request), timeouts, maximumListBody);
    }

} // namespace

PlatformTransport makeHttpTransport(HttpClient& client, Endpoint endpoint)
{
    return [&client, endpoint = std::move(endpoint)](HttpRequest request, Duration readTimeout) {
        return exchangeWithTimeout(client, endpoint, std::move(request), readTimeout);
    };
}

PlatformClient::PlatformClient(asio::any_io_executor executor, TimerService& timers, Log& log, Metrics& metrics,
    PlatformTransport transport, PlatformSettings settings, uint64_t seed)
    : m_executor(std::move(executor))
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_transport(std::move(transport))
    , m_settings(std::move(settings))
    , m_rng(seed)
    , m_reads(m_settings.readsPerSecond, m_settings.burst, timers.now())
    , m_writes(m_settings.writesPerSecond, m_settings.burst, timers.now())
{
}

asio::awaitable<Result<HttpResponse>> PlatformClient::call(PlatformCall call)
{
    auto self = shared_from_this();
    if (!call.isWrite)
        co_return co_await callShared(std::move(call));
    auto response = co_await callOnce(std::move(call));
    ++m_writesEnded;
    co_return response;
}

asio::awaitable<Result<HttpResponse>> PlatformClient::callShared(PlatformCall call)
{
    auto key = std::pair(m_writesEnded, call.request.method + call.request.target);
    if (auto found = m_sharedReads.find(key); found != m_sharedReads.end()) {
        auto shared = found->second;
        boost::system::error_code ignored;
        co_await shared->completion.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return shared->response ? *shared->response : Result<HttpResponse>(unavailable("the shared read was cancelled"));
    }
    auto shared = std::make_shared<SharedRead>(m_executor);
    m_sharedReads.emplace(key, shared);
    // Runs also when this coroutine is cancelled, so that the other readers do not wait indefinitely.
    auto finishRead = [this, &key](SharedRead* read) {
        m_sharedReads.erase(key);
        read->completion.cancel();
    };
    std::unique_ptr<SharedRead, decltype(finishRead)> guard(shared.get(), finishRead);
    shared->response = co_await callOnce(std::move(call));
    co_return *shared->response;
}

asio::awaitable<Result<HttpResponse>> PlatformClient::callOnce(PlatformCall call)
{
    if (m_isInOutage)
        co_return unavailable("the platform is in an outage");
    if (auto budget = co_await awaitRateLimit(call.isWrite); !budget)
        co_return budget.error();
    if (m_isInOutage)
        co_return unavailable("the platform is in an outage");
    m_metrics.count("chestnut_platform_calls_total", { { "kind", call.kind } });
    auto request = call.request;
    auto response = co_await m_transport(std::move(request), m_settings.callTimeout + call.extraTimeout);
    co_return classifyResponse(call, std::move(response));
}

asio::awaitable<Result<void>> PlatformClient::awaitRateLimit(bool isWrite)
{
    auto delay = (isWrite ? m_writes : m_reads).reserve(m_timers.now(), m_settings.longestBudgetDelay);
    bool isExhausted = !delay || *delay > Duration::zero();
    if (isExhausted && !m_isBudgetExhausted)
        m_log.write(EventId::PlatformBudgetExhausted, { { "calls", isWrite ? "writes" : "reads" } });
    m_isBudgetExhausted = isExhausted;
    if (!delay) {
        m_metrics.count("chestnut_platform_refusals_total", { { "reason", "budget" } });
        co_return unavailable("the call rate limit is reached");
    }
    if (*delay > Duration::zero())
        co_await m_timers.sleep(*delay);
    co_return Result<void>();
}

Result<HttpResponse> PlatformClient::classifyResponse(const PlatformCall& call, Result<HttpResponse> response)
{
    if (response && response->status == tooManyRequests)
        return unavailable("the platform refused the call: status 429");
    if (response && response->status < firstServerError) {
        recordSuccess();
        return response;
    }
    auto detail = response ? "status " + std::to_string(response->status) + ": " + response->body : response.error().detail;
    bool wasSent = response || response.error().kind != ErrorKind::ConnectFailed;
    m_metrics.count("chestnut_platform_failures_total", { { "kind", call.kind } });
    recordFailure(detail);
    // The server may have committed the write before it returned the error.
    if (call.isWrite && wasSent)
        return makeError(ErrorKind::PlatformAnswerLost, detail);
    return unavailable(detail);
}

void PlatformClient::recordSuccess()
{
    m_consecutiveFailures = 0;
    if (!m_isInOutage)
        return;
    m_isInOutage = false;
    m_reads.discardTokens(m_timers.now());
    m_writes.discardTokens(m_timers.now());
    m_log.write(EventId::PlatformRestored, {});
}

void PlatformClient::recordFailure(const std::string& detail)
{
    ++m_consecutiveFailures;
    if (m_isInOutage || m_consecutiveFailures < failuresUntilOutage)
        return;
    m_isInOutage = true;
    m_log.write(EventId::PlatformLost, { { "detail", detail } });
    // The probe of the previous outage may still wait for its next attempt if another call ended that outage.
    if (m_isProbing)
        return;
    m_isProbing = true;
    asio::co_spawn(m_executor, probeUntilRestored(shared_from_this()), asio::detached);
}

asio::awaitable<void> PlatformClient::probeUntilRestored(std::shared_ptr<PlatformClient> self)
{
    while (self->m_isInOutage) {
        co_await self->m_timers.sleep(self->nextBackoff());
        self->m_metrics.count("chestnut_platform_calls_total", { { "kind", "probe" } });
        PlatformCall probe { "probe", { "GET", probeTarget, {}, "" }, false, {} };
        auto request = probe.request;
        auto response = co_await self->m_transport(std::move(request), self->m_settings.callTimeout);
        self->classifyResponse(probe, std::move(response));
    }
    self->m_isProbing = false;
}

Duration PlatformClient::nextBackoff()
{
    auto exponent = std::min(m_consecutiveFailures, maximumBackoffExponent);
    auto maximumDelay = std::min(toSeconds(m_settings.longestBackoff), toSeconds(m_settings.firstBackoff) * std::exp2(exponent));
    // The jitter keeps at least half of the delay, so that there is always a delay between two probes.
    return fromSeconds(maximumDelay * std::uniform_real_distribution<>(0.5, 1.0)(m_rng));
}

Error PlatformClient::unavailable(std::string detail) const
{
    auto retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.longestBackoff);
    return Error { ErrorKind::PlatformUnavailable, std::move(detail), retryAfter };
}

} // namespace chestnut
