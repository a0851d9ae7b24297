#include "gateway/requests/StopCalls.h"

namespace chestnut {

namespace {

    /** Whether the engine has not answered and may have received the call. */
    bool isUnanswered(const Result<RunStopResult>& result)
    {
        return !result && result.error().kind != ErrorKind::ConnectFailed;
    }

} // namespace

asio::awaitable<Result<RunStopResult>> stopRun(ReplicaClient& client, std::shared_ptr<StopCalls> calls, EngineRun run, std::string successor, Duration timeout)
{
    ++calls->unanswered;
    auto result = co_await client.stopRun(std::move(run), std::move(successor), timeout);
    if (!isUnanswered(result))
        --calls->unanswered;
    // A refusal does not show that the run goes on.
    if (result && *result != RunStopResult::NotRunning)
        calls->mayHaveEndedRun = true;
    co_return result;
}

} // namespace chestnut
