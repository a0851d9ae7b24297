#pragma once

#include "gateway/requests/StreamMove.h"

#include <functional>

namespace chestnut {

/** What prevents another attempt in place of a silent one. */
enum class RetryObstacle : uint8_t {
    None,
    NotConnected, /**< the connection to the replica is being established, which has a limit of its own */
    NoAttemptLeft, /**< the route allows no other attempt */
    SuspectedPart, /**< a part of the prompt is suspected, so that the request is not run again */
    NoFreeReplica,
    BudgetExhausted,
    RefusedElsewhere, /**< the other engine has refused the stream; another one may accept it */
    StopRefused, /**< the engine has refused to end the run, which would go on beside another one */
};

std::string_view nameOf(RetryObstacle);

/** Watches one attempt for a replica that sends nothing. A sound replica may be silent for a while and then go on, and the work of
    an interrupted attempt is lost. So the attempt is interrupted only when the route allows another one, another replica is free
    and the retry has been taken from the budget; otherwise it goes on for as long as the client waits.

    A generation is also examined first: the engine is asked whether it still runs the request. A stream that has begun is opened at
    another engine while the silent attempt is still read, and a run of an engine that answers is ended before it is replaced. An
    engine without an answer in `controlCallTimeout` counts as dead. */
class SilenceWatch {
public:
    struct Callbacks {
        std::function<bool(const ReplicaId&)> canContinueElsewhere; /**< whether another replica than this one is free for the work */
        std::function<bool()> hasBegun; /**< whether the client has received a part of the response */
        std::function<void(TimePoint since)> onInterrupt;
        /** The engine that would take the work of this one. Absent: the replica is no engine and is not examined. */
        std::function<std::optional<ReplicaEntry>(const ReplicaId&)> findSuccessor;
        /** Opens the stream, which has begun, at another engine. */
        std::function<std::shared_ptr<StreamMove>(const ReplicaEntry&)> openAt;
        /** Asks an engine to end the run of the present attempt. The coroutine may outlive this object. */
        std::function<asio::awaitable<Result<RunStopResult>>(EngineRun, std::string successor, Duration timeout)> stopRun;
    };

    /** Time for an answer of an engine about a run, which takes it milliseconds. */
    static constexpr Duration controlCallTimeout = std::chrono::milliseconds(300);

    SilenceWatch(RelayContext&, Callbacks);
    ~SilenceWatch();
    SilenceWatch(const SilenceWatch&) = delete;
    SilenceWatch& operator=(const SilenceWatch&) = delete;

    /** Waits for the limit from now on, in place of an earlier wait. Without a limit the attempt is never interrupted. */
    void start(const ReplicaEntry&, std::optional<Duration> limit);
    /** Ends the wait and a move of the stream, unless the silent run is being ended already. */
    void stop();

    /** The move that replaces the attempt, which has ended; null without one. */
    std::shared_ptr<StreamMove> takeMove();

private:
    struct Wait {
        EngineRun run;
        std::string successor; /**< address of the engine that continues the run */
        Duration limit {};
        TimePoint since;
        bool isExtended = false; /**< because the streams of all engines are silent */
        bool isUnreachable = false; /**< the engine has not answered whether it runs the request */
        RetryObstacle logged = RetryObstacle::None;
    };
    /** Exists during an examination. The coroutine holds a weak pointer, which expires when the wait or this object has ended. */
    struct Examination { };
    using ExaminationPointer = std::weak_ptr<Examination>;

    void startTimer(const Wait&, Duration);
    void onTimer(Wait);
    asio::awaitable<void> examine(Wait, ExaminationPointer);
    asio::awaitable<void> moveStream(Wait, ExaminationPointer, ReplicaEntry successor, bool isAnswering);
    asio::awaitable<void> endRunAndInterrupt(Wait, ExaminationPointer, bool isAnswering);
    void waitOn(Wait, RetryObstacle);
    void interrupt(const Wait&);
    /** Ends an abandoned run that may go on; nobody waits for the result. */
    void stopInBackground(const Wait&) const;
    void cancelMove();
    RetryObstacle findObstacle(const ReplicaId&) const;
    void log(const Wait&, std::string_view action, RetryObstacle) const;

    RelayContext& m_relay;
    Callbacks m_callbacks;
    TimerSubscription m_timer;
    std::shared_ptr<Examination> m_examination;
    std::shared_ptr<StreamMove> m_move;
    bool m_isEndingRun = false; /**< the move replaces the attempt unless the engine refuses to end the run */
    std::optional<TimePoint> m_stopRefusedAt; /**< by the engine of the present attempt */
};

} // namespace chestnut
