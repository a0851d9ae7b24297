#pragma once

#include "frontend/completions/RequestSession.h"
#include "frontend/dispatch/Dispatcher.h"
#include "frontend/replicas/ReplicaPoller.h"
#include "frontend/services/ServiceCall.h"
#include "frontend/streams/StreamId.h"
#include "frontend/streams/StreamStore.h"
#include "http/server/HttpServer.h"

namespace chestnut {

/** Handles the requests of the callers' listener (section 2.1 of the design).

    A caller can resume a stream with its last event's id, at any daemon:
    - The caller's connection broke and the daemon that accepted the stream is up: that daemon keeps the request and the
      tokens for a minute after the connection ended. It sends the missed tokens and continues the stream on any engine.
      Another daemon first fetches the request and the tokens from it (see StreamHandover) and does the same.
    - The daemon crashed: the engine continues the request and buffers its tokens. Every daemon can resume the stream
      there. If that engine crashes too, the request's body is lost and the stream fails with StreamLost.
    - The engine crashed: the daemon that accepted the stream continues it on another engine; the caller does nothing. */
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
    asio::awaitable<void> complete(CallerRequest, HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> resume(CallerRequest, HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> callService(CallerRequest, HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> runSession(std::shared_ptr<StreamRecord>, CompletionSink&, HttpResponseWriter&, uint64_t afterToken);
    asio::awaitable<std::shared_ptr<StreamRecord>> fetchStream(CallerRequest, DaemonId holder, std::string streamId);
    asio::awaitable<void> resumeAtEngine(CallerRequest, StreamId, uint64_t afterToken, HttpResponseWriter&);
    Result<std::shared_ptr<StreamRecord>> makeRecord(CallerRequest, std::string target, std::string body, bool& isStreamed) const;
    void countArrival(const StreamRecord&);
    std::optional<Error> refusalIfNotServing() const;
    bool isWithinAccountLimit(const AccountId&) const;
    void logRefused(const CallerRequest&, const Error&);
    void logCompleted(const CallerRequest&, const ReplicaId&, uint32_t attempts, uint64_t tokens, std::optional<Duration> firstToken);
    asio::awaitable<void> refuse(const CallerRequest&, Error, HttpResponseWriter&);

    FrontendStatePointer m_state;
    std::shared_ptr<Dispatcher> m_dispatcher;
    std::shared_ptr<StreamStore> m_streamStore;
    ReplicaPoller m_poller;
    bool m_isLeaving = false; /**< still serves, but is no longer listed by discovery */
    bool m_isStopping = false; /**< refuses new work */
    std::shared_ptr<InProgressCounter> m_progress;
    TimerSubscription m_expiryTimer;
};

} // namespace chestnut
