#include "gateway/requests/RunStops.h"

namespace chestnut {

namespace {

    /** Whether the engine has not answered and may have received the call. */
    bool isUnanswered(const Result<RunStopResult>& result)
    {
        return !result && describe(result.error().kind).outcome != Outcome::NotRun;
    }

    void logAnswer(RelayServices& services, const EngineRun& run, const Result<RunStopResult>& result, TimePoint sentAt)
    {
        auto answer = result ? nameOf(*result) : describe(result.error().kind).name;
        auto time = services.timers.now() - sentAt;
        services.log.write(EventId::RunStopAnswered, { { "request", run.request }, { "replica", run.replica }, { "answer", answer }, { "ms", time.count() / 1000 } });
    }

} // namespace

std::string_view nameOf(RunStopResult result)
{
    switch (result) {
    case RunStopResult::Stopped:
        return "stopped";
    case RunStopResult::NotRunning:
        return "not_running";
    case RunStopResult::WrongReplica:
        return "wrong_replica";
    case RunStopResult::Refused:
        return "refused";
    }
    return "refused";
}

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
    return send(m_relay.services, std::move(calls), std::move(run), std::move(successor), timeout);
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

asio::awaitable<Result<RunStopResult>> RunStops::send(RelayServices& services, CallsPointer calls, EngineRun run, std::string successor, Duration timeout)
{
    ++calls->unanswered;
    auto sentAt = services.timers.now();
    auto result = co_await services.replicaClient.stopRun(run, std::move(successor), timeout);
    logAnswer(services, run, result, sentAt);
    if (!isUnanswered(result))
        --calls->unanswered;
    // A refusal does not show that the run goes on, and an engine that has ended the run may deny that it existed.
    if (result)
        calls->mayHaveEndedRun = true;
    co_return result;
}

} // namespace chestnut
