#include "soak/SoakClients.h"

#include "platform/Names.h"

#include <absl/strings/numbers.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut::soak {

namespace names = platform::names;

namespace {

    /** Bounds stated by the platform; the manifest and the settings of the soak use them. */
    constexpr Duration configurationTime = std::chrono::milliseconds(2000);
    constexpr Duration rollbackTolerance = std::chrono::milliseconds(250);
    constexpr Duration lateTolerance = std::chrono::milliseconds(500);
    constexpr uint64_t minimumLateResponses = 8;
    constexpr uint64_t lateDivisor = 4; /**< at most a quarter of the timed-out requests may be late */
    /** How long a client waits beyond its limit, to measure how late a response is. */
    constexpr Duration extraWaitTime = std::chrono::milliseconds(1500);
    constexpr size_t maximumResponseBody = 1 << 20;
    constexpr int objectCount = 200;
    /** How often a client sends a request with the same id, at most. */
    constexpr int maximumSendings = 4;
    /** How often a client takes up a stream at most, and how long it waits for the whole stream. */
    constexpr int maximumResumptions = 8;
    constexpr Duration streamPatience = SoakFleet::streamTimeout * 2;
    /** A client with less time left gives up. */
    constexpr Duration minimumTimeLeft = std::chrono::milliseconds(200);
    constexpr size_t neededEngines = 2; /**< for a resumption to count; see ResumptionChecks */
    constexpr std::string_view resumedRequestHeader = "Resumes";

    std::string prefixOf(CallKind kind)
    {
        switch (kind) {
        case CallKind::Idempotent:
            return "/plain/";
        case CallKind::NonIdempotent:
            return "/book/";
        case CallKind::Resumable:
            return "/gen/";
        case CallKind::Stream:
            return "/once/";
        }
        return "/plain/";
    }

    bool isStream(CallKind kind)
    {
        return kind == CallKind::Resumable || kind == CallKind::Stream;
    }

    bool promisesNotExecuted(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    /** Appends what arrives of the body, also when it breaks off. Returns whether it is complete. */
    asio::awaitable<bool> readBody(HttpBodyStream& stream, std::string& received)
    {
        if (!checkAnnouncedLength(stream, maximumResponseBody))
            co_return false;
        while (received.size() <= maximumResponseBody) {
            auto bytes = co_await stream.read();
            if (!bytes || !*bytes)
                co_return static_cast<bool>(bytes);
            received += **bytes;
        }
        co_return false;
    }

} // namespace

struct SoakClients::Call {
    CallKind kind = CallKind::Idempotent;
    std::string id;
    std::string target;
    std::string promptTokens;
    SoakDaemon* daemon = nullptr;
    TimePoint sentAt;
    Duration limit {};
    int resumptions = 0;
    std::string received; /**< bytes of the present response */
    uint64_t nextEvent = 1; /**< of its stream, over all tries */
    std::string version; /**< that the events of its stream name */
    bool isOver = false; /**< the stream is complete, or wrong */
};

SoakClients::SoakClients(SoakFleet& fleet, uint32_t seed, bool repeatsIds, bool resumesStreams)
    : m_fleet(fleet)
    , m_random(seed)
    , m_pool(fleet.context, fleet.timers, {})
    , m_repeatsIds(repeatsIds)
    , m_resumesStreams(resumesStreams)
{
}

void SoakClients::start(int clients)
{
    for (int i = 0; i < clients; ++i)
        asio::co_spawn(m_fleet.context, callRepeatedly(), asio::detached);
}

asio::awaitable<void> SoakClients::callRepeatedly()
{
    ++m_running;
    while (!m_isStopped) {
        co_await m_fleet.timers.sleep(std::chrono::milliseconds(pick(10, 120)));
        if (pick(0, 9) == 0)
            co_await checkNewRoute();
        else
            co_await callOnce();
    }
    --m_running;
}

SoakClients::Call SoakClients::makeCall(CallKind kind)
{
    Call call;
    call.kind = kind;
    call.id = "q" + std::to_string(++m_calls);
    // Half of the calls use the same popular object.
    call.target = prefixOf(kind) + std::to_string(std::max(0, pick(-objectCount, objectCount)));
    // Half of the prompts are long enough for a prefill engine.
    call.promptTokens = pick(0, 1) == 0 ? "100" : "2000";
    call.daemon = &m_fleet.randomDaemon();
    call.sentAt = m_fleet.timers.now();
    call.limit = isStream(kind) ? SoakFleet::streamTimeout : SoakFleet::plainTimeout;
    m_fleet.ledger.recordSent(RequestId(call.id), kind);
    return call;
}

HttpRequest SoakClients::requestOf(const Call& call) const
{
    HttpRequest request { call.kind == CallKind::Idempotent ? "GET" : "POST", call.target, {}, {} };
    request.headers.set("Host", SoakFleet::host);
    request.headers.set(names::requestId, call.id);
    request.headers.set(daemonHeader, call.daemon->name);
    request.headers.set(names::timeLeft, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(call.limit).count()));
    if (isStream(call.kind)) {
        request.headers.set(names::model, "m");
        request.headers.set(names::tokenCount, call.promptTokens + ",50");
        request.headers.set(names::promptParts, "a1:50,b" + streamOf(call.id).substr(1) + ":50");
        request.body = "prompt";
    }
    if (call.resumptions > 0) {
        request.headers.set(names::lastEventId, std::to_string(call.nextEvent - 1));
        request.headers.set(resumedRequestHeader, streamOf(call.id));
    }
    return request;
}

asio::awaitable<std::optional<HttpResponse>> SoakClients::exchange(Call& call)
{
    call.received.clear();
    ExchangeOptions options;
    options.needsFreshConnection = call.resumptions > 0;
    options.timeout = call.limit + extraWaitTime;
    options.bodyReadTimeout = call.limit + extraWaitTime;
    auto stream = co_await m_pool.open(call.daemon->clientLink->endpoint(), requestOf(call), std::move(options));
    if (!stream)
        co_return std::nullopt;
    m_fleet.notices.recordPassedOn(call.daemon->name, RequestId(call.id), sealedBy((*stream)->headers()));
    if (!co_await readBody(**stream, call.received))
        co_return std::nullopt;
    co_return HttpResponse { (*stream)->status(), (*stream)->headers(), call.received };
}

asio::awaitable<void> SoakClients::callOnce()
{
    auto call = makeCall(m_resumesStreams && pick(0, 1) == 0 ? CallKind::Resumable : static_cast<CallKind>(pick(0, 3)));
    for (int sendings = 1;; ++sendings) {
        auto response = co_await attempt(call);
        if (m_resumesStreams && call.kind == CallKind::Resumable && call.nextEvent > 1 && !call.isOver) {
            co_await resume(std::move(call), std::move(response));
            co_return;
        }
        auto mayRepeat = m_repeatsIds && response && promisesNotExecuted(response->status);
        if (!mayRepeat || sendings == maximumSendings || pick(0, 3) == 0)
            co_return;
        call.sentAt = m_fleet.timers.now();
        m_fleet.ledger.recordSent(RequestId(call.id), call.kind);
    }
}

asio::awaitable<std::optional<HttpResponse>> SoakClients::attempt(Call& call)
{
    auto eventBefore = call.nextEvent;
    auto hasEngines = [this, &call] { return m_fleet.decodeEngines(call.version) >= neededEngines; };
    auto hadEngines = call.resumptions > 0 && hasEngines();
    auto response = co_await exchange(call);
    checkResponse(call, response);
    auto hasGoneOn = call.nextEvent > eventBefore || call.isOver;
    if (!m_resumesStreams || call.kind != CallKind::Resumable || (!response && !hasGoneOn))
        co_return response;
    if (call.resumptions == 0 && hasGoneOn)
        call.daemon->hasBegunStreams = true;
    // A daemon without a configuration begins no new streams either.
    if (!call.daemon->hasBegunStreams)
        co_return response;
    if (call.resumptions == 0)
        m_fleet.resumptions.recordNew(hasGoneOn);
    else
        m_fleet.resumptions.recordResumed(call.id, hasGoneOn, hadEngines && hasEngines());
    co_return response;
}

asio::awaitable<void> SoakClients::resume(Call call, std::optional<HttpResponse> response)
{
    auto endsAt = call.sentAt + streamPatience;
    while (call.resumptions < maximumResumptions && !call.isOver) {
        co_await m_fleet.timers.sleep(pauseBeforeRetry(response, endsAt - m_fleet.timers.now()));
        auto timeLeft = endsAt - m_fleet.timers.now();
        if (timeLeft < minimumTimeLeft)
            co_return;
        prepareResumption(call, timeLeft);
        response = co_await attempt(call);
    }
}

void SoakClients::prepareResumption(Call& call, Duration timeLeft)
{
    ++call.resumptions;
    call.id = streamOf(call.id) + "." + std::to_string(call.resumptions);
    call.daemon = &m_fleet.randomDaemon();
    call.sentAt = m_fleet.timers.now();
    call.limit = std::min(timeLeft, SoakFleet::streamTimeout);
    m_fleet.ledger.recordSent(RequestId(call.id), call.kind);
}

Duration SoakClients::pauseBeforeRetry(const std::optional<HttpResponse>& response, Duration timeLeft)
{
    constexpr int longestPauseShare = 3; /**< of the time left; clients wait no longer for a Retry-After */
    double seconds = 0;
    if (!response || !absl::SimpleAtod(std::string(response->headers.value("Retry-After")), &seconds))
        return std::chrono::milliseconds(pick(200, 800));
    return std::min(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), timeLeft / longestPauseShare);
}

void SoakClients::checkResponse(Call& call, const std::optional<HttpResponse>& response)
{
    auto& ledger = m_fleet.ledger;
    auto elapsed = m_fleet.timers.now() - call.sentAt;
    if (elapsed > call.limit && call.daemon->disturbances.isUndisturbedSince(call.sentAt - SoakFleet::stabilizationTime)) {
        ++m_reachedTimeout;
        m_lateResponses += elapsed > call.limit + lateTolerance ? 1 : 0;
    }
    if (response && response->status == 200) {
        checkSuccess(call, *response);
        return;
    }
    if (!response && m_resumesStreams && isStream(call.kind))
        checkEvents(call, call.received);
    if (response && promisesNotExecuted(response->status)) {
        ledger.recordRefused(RequestId(call.id), response->status);
        return;
    }
    ledger.recordFailed();
    auto isUndisturbed = m_fleet.unplannedDisturbances.isUndisturbedSince(call.sentAt - SoakFleet::stabilizationTime);
    if (!isUndisturbed || elapsed >= call.limit)
        return;
    if (response)
        ledger.reportViolation("FAILED", call.id + " received " + std::to_string(response->status) + " from " + call.daemon->name + " without a fault: " + response->body.substr(0, 200));
    else if (ledger.wasExecuted(RequestId(call.id)))
        ledger.reportViolation("LOST", call.id + " was executed and its connection to " + call.daemon->name + " ended without a response");
}

void SoakClients::checkSuccess(Call& call, const HttpResponse& response)
{
    m_fleet.ledger.recordServed();
    call.isOver = true;
    if (response.headers.value(names::requestId) != call.id || response.headers.value(names::seal).empty())
        m_fleet.ledger.reportViolation("MIXED", call.id + " received a response without its id or seal");
    if (isStream(call.kind))
        checkStream(call, response.body);
    else if (response.body != expectedBody(call.id))
        m_fleet.ledger.reportViolation("MIXED", call.id + " received a wrong body of " + std::to_string(response.body.size()) + " bytes");
}

void SoakClients::checkStream(Call& call, const std::string& body)
{
    auto count = expectedEventCount(call.id);
    if (checkEvents(call, body) && call.nextEvent != count + 1)
        m_fleet.ledger.reportViolation("ORDER", call.id + " ended as complete after event " + std::to_string(call.nextEvent - 1) + " of " + std::to_string(count));
}

bool SoakClients::checkEvents(Call& call, const std::string& body)
{
    SseParser parser;
    parser.append(body);
    while (auto event = parser.next()) {
        auto separator = m_resumesStreams ? event->data.find(versionSeparator) : std::string::npos;
        if (event->id != std::to_string(call.nextEvent) || event->data.substr(0, separator) != expectedEventData(call.id, call.nextEvent)) {
            call.isOver = true;
            m_fleet.ledger.reportViolation("ORDER", call.id + " received event " + event->id + " (" + event->data + ") instead of event " + std::to_string(call.nextEvent));
            return false;
        }
        if (separator != std::string::npos && !checkVersion(call, event->data.substr(separator + 1)))
            return false;
        ++call.nextEvent;
    }
    return true;
}

bool SoakClients::checkVersion(Call& call, const std::string& version)
{
    if (call.nextEvent == 1)
        call.version = version;
    if (call.version == version)
        return true;
    call.isOver = true;
    m_fleet.ledger.reportViolation("ORDER", call.id + " received event " + std::to_string(call.nextEvent) + " of version " + version + " from " + call.daemon->name + " after events of version " + call.version);
    return false;
}

asio::awaitable<void> SoakClients::checkNewRoute()
{
    auto version = m_fleet.manifestVersion();
    auto call = makeCall(CallKind::Idempotent);
    auto requestsRemovedRoute = version > 1 && pick(0, 1) == 0;
    call.target = SoakFleet::addedPrefix(requestsRemovedRoute ? version - 1 : version) + "x";
    auto isDue = call.sentAt > m_fleet.manifestWrittenAt() + configurationTime;
    auto response = co_await exchange(call);
    if (!response)
        co_return;
    if (version == m_fleet.manifestVersion())
        checkRegression(call, version, requestsRemovedRoute, response->status);
    auto isStable = m_fleet.isStableSince(*call.daemon, call.sentAt);
    auto isWrong = response->status == (requestsRemovedRoute ? 200 : 404);
    if (isDue && isStable && isWrong && version == m_fleet.manifestVersion())
        m_fleet.ledger.reportViolation("CONFIG", call.daemon->name + " responded with " + std::to_string(response->status) + " to " + call.target + " though version " + std::to_string(version) + " is in force");
}

void SoakClients::checkRegression(const Call& call, uint64_t version, bool requestsRemovedRoute, int status)
{
    auto& daemon = *call.daemon;
    if (call.sentAt < daemon.startedAt)
        return;
    auto hasServedVersion = daemon.servedVersion == version;
    auto isWrong = status == (requestsRemovedRoute ? 200 : 404);
    if (hasServedVersion && isWrong && call.sentAt > daemon.servedVersionAt + rollbackTolerance)
        m_fleet.ledger.reportViolation("CONFIG", daemon.name + " responded with " + std::to_string(status) + " to " + call.target + " after it had served version " + std::to_string(version));
    if (!hasServedVersion && !requestsRemovedRoute && status == 200) {
        daemon.servedVersion = version;
        daemon.servedVersionAt = m_fleet.timers.now();
    }
}

void SoakClients::checkLateShare() const
{
    if (m_lateResponses >= minimumLateResponses && m_lateResponses * lateDivisor > m_reachedTimeout)
        m_fleet.ledger.reportViolation("TIME", std::to_string(m_lateResponses) + " of " + std::to_string(m_reachedTimeout) + " requests that reached their limit had no response half a second later");
}

} // namespace chestnut::soak
