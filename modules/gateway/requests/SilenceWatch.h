#pragma once

#include "gateway/requests/RelayContext.h"

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
};

std::string_view nameOf(RetryObstacle);

/** Watches one attempt for a replica that sends nothing. A sound replica may be silent for a while and then go on, and the work of
    an interrupted attempt is lost. So the attempt is interrupted only when the route allows another one, another replica is free
    and the retry has been taken from the budget; otherwise it goes on for as long as the client waits. */
class SilenceWatch {
public:
    struct Callbacks {
        std::function<bool(const ReplicaId&)> canContinueElsewhere; /**< whether another replica than this one is free for the work */
        std::function<bool()> hasBegun; /**< whether the client has received a part of the response */
        std::function<void(TimePoint since)> onInterrupt;
    };

    SilenceWatch(RelayContext&, Callbacks);
    SilenceWatch(const SilenceWatch&) = delete;
    SilenceWatch& operator=(const SilenceWatch&) = delete;

    /** Waits for the limit from now on, in place of an earlier wait. Without a limit the attempt is never interrupted. */
    void start(const ReplicaId&, std::optional<Duration> limit);
    void stop() { m_timer.cancel(); }

private:
    struct Wait {
        ReplicaId replica;
        Duration limit {};
        TimePoint since;
        bool isExtended = false; /**< because the streams of all engines are silent */
        RetryObstacle logged = RetryObstacle::None;
    };

    void startTimer(const Wait&, Duration);
    void onTimer(Wait);
    RetryObstacle findObstacle(const ReplicaId&) const;
    void log(const Wait&, std::string_view action, RetryObstacle) const;

    RelayContext& m_relay;
    Callbacks m_callbacks;
    TimerSubscription m_timer;
};

} // namespace chestnut
