#include "soak/SoakClients.h"

#include "platform/Names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut::soak {

namespace names = platform::names;

namespace {

    /** The platform's bounds, which the manifest and the settings of the soak use. */
    constexpr Duration applyTime = std::chrono::milliseconds(2000);
    constexpr Duration lateBy = std::chrono::milliseconds(500);
    constexpr uint64_t fewestLate = 8;
    constexpr uint64_t lateDivisor = 4; /**< over a quarter breaks the promise */
    /** A client waits this much longer than its limit, to see how late an answer is. */
    constexpr Duration patience = std::chrono::milliseconds(1500);
    constexpr size_t maximumAnswer = 1 << 20;
    constexpr int objects = 200;

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

    bool isPromise(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

} // namespace

struct SoakClients::Call {
    CallKind kind = CallKind::Idempotent;
    std::string id;
    std::string target;
    SoakDaemon* daemon = nullptr;
    TimePoint sentAt;
    Duration limit {};
};

SoakClients::SoakClients(SoakFleet& fleet, uint32_t seed)
    : m_fleet(fleet)
    , m_random(seed)
    , m_pool(fleet.context, fleet.timers, {})
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
    // Half of the calls are for one popular object.
    call.target = prefixOf(kind) + std::to_string(std::max(0, pick(-objects, objects)));
    call.daemon = &m_fleet.anyDaemon();
    call.sentAt = m_fleet.timers.now();
    call.limit = isStream(kind) ? SoakFleet::streamTimeout : SoakFleet::plainTimeout;
    m_fleet.ledger.noteSent(RequestId(call.id), kind);
    return call;
}

asio::awaitable<std::optional<HttpResponse>> SoakClients::exchange(const Call& call)
{
    HttpRequest request { call.kind == CallKind::Idempotent ? "GET" : "POST", call.target, {}, {} };
    request.headers.set("Host", SoakFleet::host);
    request.headers.set(names::requestId, call.id);
    request.headers.set(daemonHeader, call.daemon->name);
    request.headers.set(names::timeLeft, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(call.limit).count()));
    if (isStream(call.kind)) {
        // Odd calls have a prompt that a prefill engine reads.
        auto tokens = pick(0, 1) == 0 ? "100" : "2000";
        request.headers.set(names::model, "m");
        request.headers.set(names::tokenCount, std::string(tokens) + ",50");
        request.headers.set(names::promptParts, "a1:50,b" + std::to_string(m_calls) + ":50");
        request.body = "prompt";
    }
    ExchangeOptions options;
    options.timeout = call.limit + patience;
    options.bodyReadTimeout = call.limit + patience;
    auto stream = co_await m_pool.open(call.daemon->frontLink->endpoint(), std::move(request), std::move(options));
    if (!stream)
        co_return std::nullopt;
    auto body = co_await readWholeBody(**stream, maximumAnswer);
    if (!body)
        co_return std::nullopt;
    co_return HttpResponse { (*stream)->status(), (*stream)->headers(), std::move(*body) };
}

asio::awaitable<void> SoakClients::callOnce()
{
    auto call = makeCall(static_cast<CallKind>(pick(0, 3)));
    judge(call, co_await exchange(call));
}

void SoakClients::judge(const Call& call, const std::optional<HttpResponse>& response)
{
    auto& ledger = m_fleet.ledger;
    auto taken = m_fleet.timers.now() - call.sentAt;
    if (taken > call.limit && call.daemon->calmness.isCalmSince(call.sentAt - SoakFleet::stableTime)) {
        ++m_unansweredAtTimeout;
        m_answeredLate += taken > call.limit + lateBy ? 1 : 0;
    }
    if (response && response->status == 200) {
        judgeSuccess(call, *response);
        return;
    }
    if (response && isPromise(response->status)) {
        ledger.noteRefused(RequestId(call.id), response->status);
        return;
    }
    ledger.noteFailed();
    auto isCalm = m_fleet.unplanned.isCalmSince(call.sentAt - SoakFleet::stableTime);
    if (!isCalm || taken >= call.limit)
        return;
    if (response)
        ledger.violate("FAILED", call.id + " got " + std::to_string(response->status) + " from " + call.daemon->name + " without a fault: " + response->body.substr(0, 200));
    else if (ledger.hasRun(RequestId(call.id)))
        ledger.violate("LOST", call.id + " ran and its connection to " + call.daemon->name + " ended without an answer");
}

void SoakClients::judgeSuccess(const Call& call, const HttpResponse& response)
{
    m_fleet.ledger.noteServed();
    if (response.headers.value(names::requestId) != call.id || response.headers.value(names::seal).empty())
        m_fleet.ledger.violate("MIXED", call.id + " got an answer without its id or seal");
    if (isStream(call.kind))
        judgeStream(call, response.body);
    else if (response.body != bodyFor(call.id))
        m_fleet.ledger.violate("MIXED", call.id + " got another body of " + std::to_string(response.body.size()) + " bytes");
}

void SoakClients::judgeStream(const Call& call, const std::string& body)
{
    SseParser parser;
    parser.append(body);
    uint64_t next = 1;
    while (auto event = parser.next()) {
        if (event->id != std::to_string(next) || event->data != eventFor(call.id, next)) {
            m_fleet.ledger.violate("ORDER", call.id + " got event " + event->id + " (" + event->data + ") in place of " + std::to_string(next));
            return;
        }
        ++next;
    }
    if (next != eventsFor(call.id) + 1)
        m_fleet.ledger.violate("ORDER", call.id + " ended as complete after event " + std::to_string(next - 1) + " of " + std::to_string(eventsFor(call.id)));
}

asio::awaitable<void> SoakClients::checkNewRoute()
{
    auto version = m_fleet.manifestVersion();
    auto call = makeCall(CallKind::Idempotent);
    auto asksRemoved = version > 1 && pick(0, 1) == 0;
    call.target = SoakFleet::addedPrefix(asksRemoved ? version - 1 : version) + "x";
    auto isDue = call.sentAt > m_fleet.manifestWrittenAt() + applyTime;
    auto response = co_await exchange(call);
    if (!response)
        co_return;
    auto isInTouch = m_fleet.isInTouch(*call.daemon, call.sentAt);
    auto isWrong = response->status == (asksRemoved ? 200 : 404);
    if (isDue && isInTouch && isWrong && version == m_fleet.manifestVersion())
        m_fleet.ledger.violate("CONFIG", call.daemon->name + " answered " + std::to_string(response->status) + " to " + call.target + " though version " + std::to_string(version) + " is in force");
}

void SoakClients::checkShares() const
{
    if (m_answeredLate >= fewestLate && m_answeredLate * lateDivisor > m_unansweredAtTimeout)
        m_fleet.ledger.violate("TIME", std::to_string(m_answeredLate) + " of " + std::to_string(m_unansweredAtTimeout) + " requests had no answer half a second after their limit");
}

} // namespace chestnut::soak
