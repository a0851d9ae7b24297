#pragma once

#include "gateway/requests/RelayContext.h"

#include <map>

namespace chestnut {

std::string_view nameOf(RunStopResult);

/** The calls that ask engines to end their runs of one request. An engine that ends a run closes its stream, so these calls may explain the
    end of a stream. */
class RunStops {
public:
    explicit RunStops(RelayContext&);

    /** Notes that a run begins at the engine. Calls that were answered before concern an earlier run. */
    void beginRun(const ReplicaId&);

    /** Asks an engine to end a run of the request. The coroutine may outlive this object. */
    asio::awaitable<Result<RunStopResult>> stop(EngineRun, std::string successor, Duration timeout);

    /** Whether a call explains that the engine closes the stream of its present run. */
    bool explainEnd(const ReplicaId&) const;

private:
    /** The calls to one engine. */
    struct Calls {
        uint32_t unanswered = 0; /**< on the way or lost; they name only the request, so they may end a later run at the engine too */
        bool mayHaveEndedRun = false; /**< the engine has answered, whatever it said */
    };

    using CallsPointer = std::shared_ptr<Calls>;

    CallsPointer callsTo(const ReplicaId&);
    static asio::awaitable<Result<RunStopResult>> send(RelayServices&, CallsPointer, EngineRun, std::string successor, Duration timeout);

    RelayContext& m_relay;
    std::map<ReplicaId, CallsPointer> m_calls;
};

} // namespace chestnut
