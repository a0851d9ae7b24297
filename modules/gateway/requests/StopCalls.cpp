#include "gateway/requests/StopCalls.h"

namespace chestnut {

asio::awaitable<Result<RunStopResult>> stopRun(ReplicaClient& client, std::shared_ptr<StopCalls> calls, EngineRun run, std::string successor, Duration timeout)
{
    ++calls->notDenied;
    auto result = co_await client.stopRun(std::move(run), std::move(successor), timeout);
    // Any other answer, an error included, may come from an engine that has ended the run.
    if (result && *result == RunStopResult::NotRunning)
        --calls->notDenied;
    co_return result;
}

} // namespace chestnut
