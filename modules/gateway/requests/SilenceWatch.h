#pragma once

#include "gateway/requests/RelayContext.h"

#include <functional>

namespace chestnut {

/** Watches one attempt for a replica that sends nothing. A sound replica may be silent for a while and then go on, and the work of
    an interrupted attempt is lost. So the attempt is interrupted only when the request is certain to be sent to another replica,
    with its retry already taken from the budget; otherwise it goes on for as long as the client waits. */
class SilenceWatch {
public:
    struct Callbacks {
        std::function<bool(const ReplicaId&)> canContinueElsewhere; /**< whether another replica than this one can do the work in time */
        std::function<bool()> hasBegun; /**< whether the client has received a part of the response */
        std::function<void(TimePoint since)> onInterrupt;
    };

    SilenceWatch(RelayContext&, Callbacks);

    /** Waits for the limit from now on, in place of an earlier wait. Without a limit the attempt is never interrupted. */
    void start(const ReplicaId&, std::optional<Duration> limit);
    void stop() { m_timer.cancel(); }

private:
    struct Wait {
        ReplicaId replica;
        Duration limit {};
        TimePoint since;
    };

    void startTimer(const Wait&, bool isExtended);
    void onLimit(const Wait&, bool isExtended);
    /** What prevents another attempt; empty: nothing. */
    std::string_view obstacle(const ReplicaId&);
    void log(const Wait&, std::string_view action, std::string_view reason) const;

    RelayContext& m_relay;
    Callbacks m_callbacks;
    TimerSubscription m_timer;
};

} // namespace chestnut
