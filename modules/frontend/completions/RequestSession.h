#pragma once

#include "frontend/completions/EngineAttempt.h"
#include "frontend/replicas/LossCheck.h"
#include "frontend/streams/CompletionSink.h"
#include "frontend/streams/StreamStore.h"

namespace chestnut {

/** Runs one completion for one caller connection: attempts, hedging, failover, preemption and delivery of the tokens. */
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
    RequestSession(FrontendStatePointer, std::shared_ptr<Dispatcher>, std::shared_ptr<StreamStore>, std::shared_ptr<StreamRecord>);

    /** Sends the tokens after the given one and returns when the sink has the complete response. Tokens that are already
        in the record are replayed from it. The error is for the caller; its outcome is "not run" only if no attempt ran. */
    asio::awaitable<Result<void>> run(CompletionSink&, uint64_t afterToken);

    /** Like run(), but resumes the stream that the given engine still buffers. Without the request's body no failover is
        possible. Fails with StreamLost when the engine no longer has the stream. */
    asio::awaitable<Result<void>> resumeAtEngine(CompletionSink&, ReplicaReservation, RequestId engineRequest, uint64_t afterToken);

    /** Call when the caller disconnected or resumed the stream over another connection. */
    void onCallerDisconnected();

    const ReplicaId& lastEngine() const { return m_lastEngine; }
    uint32_t attempts() const { return m_attemptCount; }
    std::optional<Duration> firstTokenDelay() const { return m_firstTokenDelay; }

private:
    /** A retry that is certain before the attempt that it replaces is abandoned. */
    struct ReservedRetry {
        std::optional<ReplicaReservation> target; /**< empty: the request waits in the queue */
        Duration delay {};
    };

    enum class End : uint8_t {
        Done,
        Preempted,
        Failed,
    };

    DispatchRequest dispatchRequest();
    /** The engine of a reserved retry, or the next one that the dispatcher selects. */
    asio::awaitable<Result<ReplicaReservation>> acquireEngine();
    asio::awaitable<Result<void>> replay(CompletionSink&);
    void startAttempt(ReplicaReservation);
    void startHedge();
    /** Runs the started attempt, and a hedged one, until one is complete or all have failed or were preempted. */
    asio::awaitable<End> runAttempts(CompletionSink&);
    asio::awaitable<bool> deliverTokens(CompletionSink&);
    asio::awaitable<Result<void>> deliver(CompletionSink&, TokenEvent);
    void chooseWinner();
    void dropFailedAttempts();
    /** True when the caller disconnected, the deadline passed or the request was preempted. Sets m_error, but not for a
        preemption. */
    bool checkInterruption();
    /** Whether the attempt has produced no token for so long that it is abandoned. */
    bool isStalled(const EngineAttempt&) const;
    /** Whether the request goes on when this stalled attempt is abandoned: at a hedged attempt, or at another engine with a
        retry that is taken from the budget now. */
    bool canReplace(const EngineAttempt& stalled);
    /** Whether an engine other than this one accepts new work, and the request may wait for it. */
    bool mayWaitForOtherEngine(const ReplicaId&) const;
    std::optional<Duration> tryTakeRetry(ErrorKind, uint32_t backendsLost);
    Duration timeUntilNextCheck() const;
    void recordAttemptFailure(EngineAttempt&, const Error&);
    /** Broadcasts the loss of an engine and waits for the retry delay. False when the request must not be retried. */
    asio::awaitable<bool> prepareRetry();
    asio::awaitable<Result<void>> finish(CompletionSink&);
    Error finalError(Error) const;
    void abandonAll();

    FrontendStatePointer m_state;
    std::shared_ptr<Dispatcher> m_dispatcher;
    std::shared_ptr<StreamStore> m_streamStore;
    std::shared_ptr<StreamRecord> m_record;
    std::shared_ptr<AutoResetEvent> m_wakeup;
    std::vector<EngineAttemptPointer> m_attempts;
    EngineAttemptPointer m_winner;
    LossChecks m_lossChecks;
    std::optional<TimePoint> m_hedgeAt;
    std::optional<Error> m_error; /**< of the last attempt */
    std::optional<ReservedRetry> m_reservedRetry;
    std::vector<ReplicaId> m_excluded;
    TimePoint m_startedAt;
    TimePoint m_lastProgress;
    uint64_t m_lastSentIndex = 0; /**< index of the last token given to the sink */
    uint32_t m_attemptCount = 0;
    uint32_t m_backendsLost = 0;
    bool m_mayHaveRun = false; /**< an engine may have received the request */
    bool m_isCallerDisconnected = false;
    bool m_isPreempted = false;
    bool m_isContinuation = false;
    ReplicaId m_lastEngine;
    std::optional<Duration> m_firstTokenDelay;
};

} // namespace chestnut
