#pragma once

#include "frontend/completions/EngineAttempt.h"
#include "frontend/replicas/LossCheck.h"
#include "frontend/streams/CompletionSink.h"
#include "frontend/streams/StreamStore.h"

namespace chestnut {

/** One connection's work on one completion: attempts, hedges, failover, preemption and the tokens' way to the caller. */
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
    RequestSession(FrontendStatePointer, std::shared_ptr<Dispatcher>, std::shared_ptr<StreamStore>, std::shared_ptr<StreamRecord>);

    /** Sends the tokens after the given one and returns when the sink has the whole answer. A token that the stream
        already has is sent from memory. The error is the one to report to the caller; "not run" only if that is true. */
    asio::awaitable<Result<void>> run(CompletionSink&, uint64_t afterToken);

    /** Like run(), but joins the stream that the given engine holds. Without the request's body there is no failover;
        StreamLost when the engine does not hold the stream. */
    asio::awaitable<Result<void>> join(CompletionSink&, Dispatched, RequestId engineRequest, uint64_t afterToken);

    /** The caller went away, or resumed the stream over another connection. */
    void callerGone();

    const ReplicaId& lastEngine() const { return m_lastEngine; }
    uint32_t attempts() const { return m_attemptCount; }
    std::optional<Duration> firstTokenDelay() const { return m_firstTokenDelay; }

private:
    enum class End : uint8_t {
        Done,
        Preempted,
        Failed,
    };

    DispatchRequest dispatchRequest();
    asio::awaitable<Result<void>> replay(CompletionSink&);
    void startAttempt(Dispatched);
    void startHedge();
    asio::awaitable<End> stream(CompletionSink&);
    asio::awaitable<bool> deliverTokens(CompletionSink&);
    asio::awaitable<Result<void>> deliver(CompletionSink&, TokenEvent);
    void chooseWinner();
    void dropFailedAttempts();
    bool hasOutsideEnd();
    bool isSilent(const EngineAttempt&) const;
    Duration nextCheck() const;
    void recordAttemptFailure(EngineAttempt&, const Error&);
    asio::awaitable<bool> mayRetry();
    asio::awaitable<Result<void>> finish(CompletionSink&);
    Error finalError(Error) const;
    void abandonAll();

    FrontendStatePointer m_state;
    std::shared_ptr<Dispatcher> m_dispatcher;
    std::shared_ptr<StreamStore> m_held;
    std::shared_ptr<StreamRecord> m_record;
    std::shared_ptr<AutoResetEvent> m_news;
    std::vector<EngineAttemptPointer> m_attempts;
    EngineAttemptPointer m_winner;
    LossChecks m_losses;
    std::optional<TimePoint> m_hedgeAt;
    std::optional<Error> m_error; /**< of the last attempt */
    std::vector<ReplicaId> m_excluded;
    TimePoint m_startedAt;
    TimePoint m_lastProgress;
    uint64_t m_sent = 0; /**< index of the last token given to the sink */
    uint32_t m_attemptCount = 0;
    uint32_t m_backendsLost = 0;
    bool m_mayHaveRun = false; /**< an engine may have seen the request */
    bool m_isCallerGone = false;
    bool m_isPreempted = false;
    bool m_isContinuation = false;
    ReplicaId m_lastEngine;
    std::optional<Duration> m_firstTokenDelay;
};

} // namespace chestnut
