#pragma once

#include "gateway/requests/RunStops.h"

#include <functional>

namespace chestnut {

/** Ends the runs of a stream at engines that are about to leave, so that the stream can be continued elsewhere in time. */
class EngineDeparture {
public:
    /** `canContinueElsewhere`: whether another engine than this one is free for the rest of the work. */
    EngineDeparture(RelayContext&, RunStops&, std::function<bool(const ReplicaId&)> canContinueElsewhere);

    /** Notes that a run begins at an engine. */
    void beginRun() { m_isStopFutile = false; }

    /** Whether the stream is to be continued elsewhere now, because its engine leaves before the stream is expected to end. */
    bool mustLeave(const ReplicaEntry& engine, TimePoint sentAt, const std::string& lastEventId);

    /** Ends the run at an engine that leaves. Returns false if it may go on, has ended by itself, or the request is over. */
    asio::awaitable<bool> endRun(const ReplicaEntry& engine);

    /** Whether the time has passed at which the engine had announced to leave. */
    bool hasPassed(const ReplicaId& engine) const;

private:
    RelayContext& m_relay;
    RunStops& m_stops;
    std::function<bool(const ReplicaId&)> m_canContinueElsewhere;
    bool m_isStopFutile = false; /**< the engine has refused to end the run, or does not know it */
};

} // namespace chestnut
