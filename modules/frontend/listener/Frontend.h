#pragma once

#include "frontend/completions/CompletionHandler.h"
#include "frontend/dispatch/Dispatcher.h"
#include "frontend/replicas/ReplicaPoller.h"
#include "frontend/services/ServiceCall.h"
#include "http/server/HttpServer.h"

namespace chestnut {

/** Handles the requests of the callers' listener (section 2.1 of the design). */
class Frontend final : public Service {
public:
    static constexpr std::string_view serviceName = "frontend";
    std::string_view name() const override { return serviceName; }

    Frontend(FrontendServices, FrontendSettings, ReplicaStatusSource);
    ~Frontend() override;

    void start() override;

    /** Announces that this daemon leaves and serves new requests until cached discovery responses have expired. Then it
        refuses new requests with Leaving and returns when all requests in progress have finished. */
    asio::awaitable<void> stop() override;

    /** The handler for HttpServer. */
    asio::awaitable<void> handle(HttpRequest, HttpResponseWriter&);

    /** The response to an error that HttpServer detected before it called the handler. */
    static HttpResponse makeErrorResponse(const Error&);

    /** Caller requests in progress. */
    size_t inProgress() const;
    /** Estimated demand of all daemons for an engine group, and the service rates of its engines. */
    GroupDemand demandOf(const EngineGroupId&) const;
    const ReplicaTable& replicas() const { return *m_state->replicas; }
    size_t waiting() const { return m_dispatcher->waiting(); }

private:
    struct InProgressCounter;
    class InProgressGuard;
    class AccountInFlightGuard;

    HttpResponse handleDiscovery(const HttpRequest&, const RequestId&) const;
    asio::awaitable<void> handleWork(HttpRequest, RequestId, HttpResponseWriter&);
    asio::awaitable<void> callService(CallerRequest, HttpRequest, HttpResponseWriter&);
    std::optional<Error> refusalIfNotServing() const;
    bool isWithinAccountLimit(const AccountId&) const;

    FrontendStatePointer m_state;
    std::shared_ptr<Dispatcher> m_dispatcher;
    std::shared_ptr<StreamStore> m_streamStore;
    CompletionHandler m_completions;
    ReplicaPoller m_poller;
    bool m_isLeaving = false; /**< still serves, but is no longer listed by discovery */
    bool m_isStopping = false; /**< refuses new work */
    std::shared_ptr<InProgressCounter> m_progress;
    TimerSubscription m_expiryTimer;
};

} // namespace chestnut
