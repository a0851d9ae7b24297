#pragma once

#include "gateway/requests/ReplicaClient.h"

namespace chestnut {

/** The calls that ask an engine to end the run of one attempt. */
struct StopCalls {
    uint32_t notDenied = 0; /**< calls to which the engine has not answered that it knows no such run */

    /** Whether the engine may have ended the run because of a call, also while the answer is on the way or after it was lost. */
    bool mayHaveEndedRun() const { return notDenied > 0; }

    bool operator==(const StopCalls&) const = default;
};

/** Asks an engine to end a run and records the call. */
asio::awaitable<Result<RunStopResult>> stopRun(ReplicaClient&, std::shared_ptr<StopCalls>, EngineRun, std::string successor, Duration timeout);

} // namespace chestnut
