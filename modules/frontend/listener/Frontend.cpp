#include "frontend/listener/Frontend.h"

#include "frontend/discovery/DiscoveryResponse.h"
#include "frontend/replicas/HeartbeatExchange.h"
#include "frontend/requests/RequestOutcome.h"
#include "frontend/streams/StreamHandover.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr std::string_view streamsPrefix = "/v1/streams/";
    constexpr std::string_view servicesPrefix = "/services/";
    constexpr Duration expiryPeriod = std::chrono::seconds(5);
    constexpr Duration idleCheckPeriod = std::chrono::seconds(1);

    bool isCompletionPath(std::string_view path)
    {
        return path == "/v1/completions" || path == "/v1/chat/completions";
    }

} // namespace

struct Frontend::InProgressCounter {
    explicit InProgressCounter(asio::io_context& context)
        : idle(context)
    {
    }

    size_t requests = 0;
    AutoResetEvent idle;
};

/** Counts a request as in progress while its handler runs. */
class Frontend::InProgressGuard {
public:
    explicit InProgressGuard(std::shared_ptr<InProgressCounter> progress)
        : m_progress(std::move(progress))
    {
        ++m_progress->requests;
    }
    InProgressGuard(const InProgressGuard&) = delete;
    InProgressGuard& operator=(const InProgressGuard&) = delete;
    ~InProgressGuard()
    {
        if (--m_progress->requests == 0)
            m_progress->idle.notify();
    }

private:
    std::shared_ptr<InProgressCounter> m_progress;
};

/** Counts a request against its account's limit. */
class Frontend::AccountInFlightGuard {
public:
    AccountInFlightGuard(FrontendStatePointer state, AccountId account)
        : m_state(std::move(state))
        , m_account(std::move(account))
    {
        ++m_state->inFlightByAccount[m_account];
    }
    AccountInFlightGuard(const AccountInFlightGuard&) = delete;
    AccountInFlightGuard& operator=(const AccountInFlightGuard&) = delete;
    ~AccountInFlightGuard()
    {
        auto count = m_state->inFlightByAccount.find(m_account);
        if (--count->second == 0)
            m_state->inFlightByAccount.erase(count);
    }

private:
    FrontendStatePointer m_state;
    AccountId m_account;
};

Frontend::Frontend(FrontendServices services, FrontendSettings settings, ReplicaStatusSource statusSource)
    : m_state(std::make_shared<FrontendState>(services, std::move(settings), std::move(statusSource)))
    , m_dispatcher(std::make_shared<Dispatcher>(m_state))
    , m_streamStore(std::make_shared<StreamStore>())
    , m_completions(m_state, m_dispatcher, m_streamStore)
    , m_poller(m_state)
    , m_progress(std::make_shared<InProgressCounter>(services.context))
{
}

Frontend::~Frontend()
{
    // Suspended sessions end their requests later, when the dispatcher must not serve its queues any more.
    m_state->replicas->onRequestEnd({});
}

size_t Frontend::inProgress() const
{
    return m_progress->requests;
}

void Frontend::start()
{
    auto& services = m_state->services;
    std::weak_ptr<FrontendState> weak = m_state;
    if (auto configuration = services.configuration.current())
        m_state->replicas->apply(*configuration);
    services.configuration.onChange([weak](const std::shared_ptr<const Configuration>& configuration) {
        if (auto state = weak.lock())
            state->replicas->apply(*configuration);
    });
    registerHeartbeatExtensions(m_state);
    serveStreamHandovers(m_state, m_streamStore);
    m_dispatcher->start();
    m_poller.start();
    m_expiryTimer = services.timers.every(expiryPeriod, [streamStore = m_streamStore, weak] {
        if (auto state = weak.lock())
            streamStore->expire(state->now());
    });
}

asio::awaitable<void> Frontend::stop()
{
    auto& services = m_state->services;
    services.log.write(EventId::FrontendStopping, { { "in_progress", m_progress->requests } });
    m_isLeaving = true;
    services.peers.announceState(MemberState::Leaving);
    co_await services.timers.sleep(m_state->settings.leaveDelay);
    m_isStopping = true;
    while (m_progress->requests > 0)
        co_await m_progress->idle.waitFor(services.timers, idleCheckPeriod);
    services.log.write(EventId::FrontendStopped, {});
}

HttpResponse Frontend::makeErrorResponse(const Error& error)
{
    return errorResponse(error, RequestId("none"));
}

HttpResponse Frontend::handleDiscovery(const HttpRequest& request, const RequestId& id) const
{
    if (request.method != "GET")
        return errorResponse(makeError(ErrorKind::BadRequest, "discovery only supports GET"), id);
    auto& services = m_state->services;
    // Callers use the prefix for as long as the response is valid, and a leaving daemon may stop before that. Without a
    // prefix they use shared keys.
    auto keyPrefix = m_isLeaving ? std::string() : services.claims.keyPrefix();
    return discoveryResponse(request, id, services.peers, keyPrefix, m_state->settings.locality.zone);
}

asio::awaitable<void> Frontend::handle(HttpRequest request, HttpResponseWriter& writer)
{
    InProgressGuard progress(m_progress);
    auto id = requestIdOf(request.headers, m_state->nextAttemptId());
    if (request.path() == "/v1/entrypoints") {
        co_await writer.send(handleDiscovery(request, id));
        co_return;
    }
    co_await handleWork(std::move(request), std::move(id), writer);
}

asio::awaitable<void> Frontend::handleWork(HttpRequest request, RequestId id, HttpResponseWriter& writer)
{
    auto parsed = parseCallerRequest(request, id, m_state->now());
    CallerRequest caller;
    caller.id = id;
    if (parsed)
        caller = *parsed;
    auto refusal = refusalIfNotServing();
    if (!refusal && !parsed)
        refusal = parsed.error();
    if (!refusal && !isWithinAccountLimit(caller.account))
        refusal = makeError(ErrorKind::AccountLimit, "the account has reached its limit of requests in flight");
    if (refusal) {
        co_await refuse(*m_state, caller, *refusal, writer);
        co_return;
    }
    AccountInFlightGuard accountGuard(m_state, caller.account);
    m_state->retryBudget = withRequest(m_state->retryBudget);
    std::string path(request.path());
    if (isCompletionPath(path) && request.method == "POST")
        co_await m_completions.complete(std::move(caller), std::move(request), writer);
    else if (path.starts_with(streamsPrefix) && request.method == "GET")
        co_await m_completions.resume(std::move(caller), path.substr(streamsPrefix.size()), request.queryValue("after"), writer);
    else if (path.starts_with(servicesPrefix))
        co_await callService(std::move(caller), std::move(request), writer);
    else
        co_await refuse(*m_state, caller, makeError(ErrorKind::NotFound, "no such path or method"), writer);
}

std::optional<Error> Frontend::refusalIfNotServing() const
{
    if (m_isStopping)
        return makeError(ErrorKind::Leaving, "this daemon is shutting down");
    if (!m_state->services.configuration.current())
        return makeError(ErrorKind::NotReady, "this daemon has no configuration yet");
    return std::nullopt;
}

bool Frontend::isWithinAccountLimit(const AccountId& account) const
{
    const auto configuration = m_state->services.configuration.current();
    auto spec = configuration->accounts.find(account.value());
    if (spec == configuration->accounts.end() || spec->second.maximumInFlight == 0)
        return true;
    auto count = m_state->inFlightByAccount.find(account);
    return count == m_state->inFlightByAccount.end() || count->second < spec->second.maximumInFlight;
}

GroupDemand Frontend::demandOf(const EngineGroupId& group) const
{
    auto configuration = m_state->services.configuration.current();
    if (!configuration)
        return {};
    auto engine = std::ranges::find_if(configuration->engines, [&group](const auto& entry) { return groupOf(entry.second) == group; });
    if (engine == configuration->engines.end())
        return {};
    auto demand = m_state->demand.groupDemand(group, *configuration, m_state->services.peers.members(), m_state->now());
    return { demand, mixedRoleRates(m_state->replicas->views(groupOf(engine->second.model)), engine->second.zone) };
}

asio::awaitable<void> Frontend::callService(CallerRequest caller, HttpRequest request, HttpResponseWriter& writer)
{
    auto parsed = parseServiceRequest(caller, request);
    if (!parsed) {
        co_await refuse(*m_state, caller, parsed.error(), writer);
        co_return;
    }
    if (!m_state->replicas->hasGroup(groupOf(parsed->service))) {
        co_await refuse(*m_state, caller, makeError(ErrorKind::UnknownService, "there is no service " + parsed->service.value()), writer);
        co_return;
    }
    auto call = std::make_shared<ServiceCall>(m_state, m_dispatcher, std::move(*parsed));
    std::weak_ptr<ServiceCall> weak = call;
    writer.onCallerDisconnect([weak] {
        if (auto running = weak.lock())
            running->onCallerDisconnected();
    });
    auto response = co_await call->run();
    if (!response) {
        co_await refuse(*m_state, caller, response.error(), writer);
        co_return;
    }
    logCompleted(*m_state, caller, { .replica = call->lastReplica(), .attempts = call->attempts() });
    HttpHeaders headers { { "X-Request-Id", caller.id.value() } };
    if (auto type = response->headers.value("Content-Type"); !type.empty())
        headers.set("Content-Type", type);
    co_await writer.send({ response->status, std::move(headers), std::move(response->body) });
}

} // namespace chestnut
