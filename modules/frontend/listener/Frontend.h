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
    - The caller's connection broke and the daemon that accepted the stream lives: that daemon has the request and the
      tokens for a minute after the connection ended. It sends the tokens that the caller missed and continues on any
      engine. Another daemon takes the request and the tokens over from it (message takeStream) and does the same.
    - The daemon died: the engine goes on without it and holds the stream. Every daemon can join the stream there. If
      that engine dies as well, the request's body is lost and the stream fails with StreamLost.
    - The engine died: the daemon that accepted the stream continues it on another engine without the caller's help. */
class Frontend final : public Service {
public:
    static constexpr std::string_view serviceName = "frontend";
    std::string_view name() const override { return serviceName; }

    Frontend(FrontendServices, FrontendSettings, ReplicaGates);
    ~Frontend() override;

    void start() override;

    /** Announces that this daemon leaves, serves new requests until cached discovery answers have run out, then refuses
        new ones with Leaving and returns when all work in progress is finished. */
    asio::awaitable<void> stop() override;

    /** The handler for HttpServer. */
    asio::awaitable<void> handle(HttpRequest, HttpResponseWriter&);

    /** The answer to a fault that HttpServer found before the handler ran. */
    static HttpResponse makeErrorResponse(const Error&);

    /** Caller requests in progress. */
    size_t inProgress() const;
    /** Demand for an engine group, estimated for all daemons, and the rates at which its engines serve. */
    GroupDemand demandOf(const EngineGroupId&) const;
    const ReplicaTable& replicas() const { return *m_state->replicas; }
    size_t waiting() const { return m_dispatcher->waiting(); }

private:
    struct ProgressCount;
    class Progress;
    class AccountSlot;

    HttpResponse answerDiscovery(const HttpRequest&, const RequestId&) const;
    asio::awaitable<void> handleWork(HttpRequest, RequestId, HttpResponseWriter&);
    asio::awaitable<void> complete(CallerRequest, HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> resume(CallerRequest, HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> callService(CallerRequest, HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> runSession(std::shared_ptr<StreamRecord>, CompletionSink&, HttpResponseWriter&, uint64_t afterToken);
    asio::awaitable<std::shared_ptr<StreamRecord>> takeOver(CallerRequest, DaemonId holder, std::string streamId);
    asio::awaitable<void> joinStream(CallerRequest, StreamId, uint64_t afterToken, HttpResponseWriter&);
    Result<std::shared_ptr<StreamRecord>> recordFor(CallerRequest, std::string target, std::string body, bool& isStreamed) const;
    void countArrival(const StreamRecord&);
    std::optional<Error> refusalBeforeWork() const;
    bool takesAccount(const AccountId&) const;
    void logRefused(const CallerRequest&, const Error&);
    void logCompleted(const CallerRequest&, const ReplicaId&, uint32_t attempts, uint64_t tokens, std::optional<Duration> firstToken);
    asio::awaitable<void> refuse(const CallerRequest&, Error, HttpResponseWriter&);

    FrontendStatePointer m_state;
    std::shared_ptr<Dispatcher> m_dispatcher;
    std::shared_ptr<StreamStore> m_held;
    ReplicaPoller m_poller;
    bool m_isLeaving = false; /**< still serves, but no longer named by discovery */
    bool m_isStopping = false; /**< refuses new work */
    std::shared_ptr<ProgressCount> m_progress;
    TimerSubscription m_expiry;
};

} // namespace chestnut
