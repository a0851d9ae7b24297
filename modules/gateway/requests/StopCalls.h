#pragma once

#include "gateway/requests/ReplicaClient.h"

namespace chestnut {

/** The calls that ask one engine to end its run of one request. */
struct StopCalls {
    uint32_t unanswered = 0; /**< on the way or lost; they may still reach the engine, also during a later run of the request there */
    bool mayHaveEndedRun = false; /**< the engine has answered, but not that it knows no such run */

    /** Whether a call explains that the engine closes the stream of the present run. */
    bool explainEnd() const { return unanswered > 0 || mayHaveEndedRun; }

    bool operator==(const StopCalls&) const = default;
};

/** Asks an engine to end a run and records the call. */
asio::awaitable<Result<RunStopResult>> stopRun(ReplicaClient&, std::shared_ptr<StopCalls>, EngineRun, std::string successor, Duration timeout);

} // namespace chestnut
