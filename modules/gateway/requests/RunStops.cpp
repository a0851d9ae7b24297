#include "gateway/requests/RunStops.h"

namespace chestnut {

namespace {

    /** Whether the engine has not answered and may have received the call. */
    bool isUnanswered(const Result<RunStopResult>& result)
    {
        return !result && describe(result.error().kind).outcome != Outcome::NotRun;
    }

} // namespace

RunStops::RunStops(RelayContext& relay)
    : m_relay(relay)
{
}

void RunStops::beginRun(const ReplicaId& engine)
{
    callsTo(engine)->mayHaveEndedRun = false;
}

asio::awaitable<Result<RunStopResult>> RunStops::stop(EngineRun run, std::string successor, Duration timeout)
{
    auto calls = callsTo(run.replica);
    return send(m_relay.services.replicaClient, std::move(calls), std::move(run), std::move(successor), timeout);
}

bool RunStops::explainEnd(const ReplicaId& engine) const
{
    auto found = m_calls.find(engine);
    return found != m_calls.end() && (found->second->unanswered > 0 || found->second->mayHaveEndedRun);
}

RunStops::CallsPointer RunStops::callsTo(const ReplicaId& engine)
{
    auto& calls = m_calls[engine];
    if (!calls)
        calls = std::make_shared<Calls>();
    return calls;
}

asio::awaitable<Result<RunStopResult>> RunStops::send(ReplicaClient& client, CallsPointer calls, EngineRun run, std::string successor, Duration timeout)
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
