#include "review/standins/Clients.h"

#include "platform/Names.h"
#include "review/standins/PlainReplica.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut::review {

namespace names = platform::names;

namespace {

    constexpr size_t maximumResponseBytes = 1 << 20;

    bool promisesNotRun(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

} // namespace

Clients::Clients(ReviewFleet& fleet)
    : m_fleet(fleet)
    , m_pool(fleet.context, fleet.timers, {})
{
}

void Clients::start(uint32_t requestsPerSecond)
{
    asio::co_spawn(m_fleet.context, sendSteadily(requestsPerSecond, false), asio::detached);
}

void Clients::startStreams(uint32_t requestsPerSecond)
{
    asio::co_spawn(m_fleet.context, sendSteadily(requestsPerSecond, true), asio::detached);
}

asio::awaitable<void> Clients::sendSteadily(uint32_t requestsPerSecond, bool isStream)
{
    auto pause = std::chrono::microseconds(std::chrono::seconds(1)) / requestsPerSecond;
    while (!m_isStopped) {
        asio::co_spawn(m_fleet.context, callAnyDaemon(isStream), asio::detached);
        co_await m_fleet.timers.sleep(pause);
    }
}

ReviewDaemon* Clients::randomDaemon()
{
    std::vector<ReviewDaemon*> offered;
    for (auto& daemon : m_fleet.daemons) {
        if (m_fleet.isInTouch(*daemon))
            offered.push_back(daemon.get());
    }
    return offered.empty() ? nullptr : offered[m_fleet.random(0, static_cast<uint32_t>(offered.size()) - 1)];
}

asio::awaitable<void> Clients::callAnyDaemon(bool isStream)
{
    auto* daemon = randomDaemon();
    if (!daemon)
        co_return;
    auto number = std::to_string(m_sent);
    co_await call({ (isStream ? "/live/" : "/book/") + number, "body " + number, daemon, isStream });
}

asio::awaitable<ClientOutcome> Clients::call(ClientCall call)
{
    ClientOutcome outcome { "q" + std::to_string(++m_sent), {} };
    m_sentAt[outcome.request] = m_fleet.timers.now();
    HttpRequest request { "POST", std::move(call.path), {}, std::move(call.body) };
    request.headers.set("Host", ReviewFleet::host);
    request.headers.set(names::requestId, outcome.request);
    request.headers.set(daemonHeader, call.daemon->name);
    auto timeout = call.isStream ? ReviewFleet::streamTimeout : ReviewFleet::clientTimeout;
    request.headers.set(names::timeLeft, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()));
    if (call.isStream) {
        request.headers.set(names::model, "m");
        request.headers.set(names::tokenCount, "140,90");
        request.headers.set(names::promptParts, "a1:50," + std::to_string(m_sent) + ":90");
    }
    m_fleet.record.write("request " + outcome.request + " is sent to " + call.daemon->name);
    ExchangeOptions options;
    options.timeout = timeout;
    options.bodyReadTimeout = timeout;
    auto stream = co_await m_pool.open(call.daemon->clientEndpoint, std::move(request), std::move(options));
    if (stream) {
        auto body = co_await readWholeBody(**stream, maximumResponseBytes);
        if (body)
            outcome.status = (*stream)->status();
    }
    auto isNotSent = !stream && stream.error().kind == ErrorKind::ConnectFailed;
    auto isSuccess = outcome.status && *outcome.status / 100 == 2;
    if (!isNotSent && !isSuccess && !(outcome.status && promisesNotRun(*outcome.status)))
        ++m_failed;
    m_fleet.record.write("request " + outcome.request + (outcome.status ? " gets " + std::to_string(*outcome.status) : " gets no response") + " from " + call.daemon->name);
    if (onOutcome)
        onOutcome(*call.daemon, outcome);
    co_return outcome;
}

} // namespace chestnut::review
