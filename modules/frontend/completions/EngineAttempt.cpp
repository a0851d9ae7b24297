#include "frontend/completions/EngineAttempt.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    /** Reading from the engine pauses while this many tokens wait for a slow caller. */
    constexpr size_t maximumQueuedTokens = 64;
    constexpr uint32_t maximumRejoins = 3;
    constexpr Duration queueSpaceTimeout = std::chrono::seconds(60);

    using StreamResult = Result<std::unique_ptr<CompletionStream>>;

    asio::awaitable<void> cancelAtEngine(FrontendStatePointer state, Endpoint endpoint, RequestId id)
    {
        co_await state->services.engines.cancel(endpoint, id);
    }

    void spawnCancel(const FrontendStatePointer& state, const EngineAttempt& attempt)
    {
        asio::co_spawn(state->services.context, cancelAtEngine(state, attempt.endpoint, attempt.id), asio::detached);
    }

    /** After a response that belongs to another request, the engine may still generate this one and can resume it. */
    bool mayRejoin(const EngineAttempt& attempt, const Error& error)
    {
        return error.kind == ErrorKind::ProtocolError && attempt.rejoins < maximumRejoins && !attempt.isAbandoned;
    }

    void fail(EngineAttempt& attempt, Error error)
    {
        attempt.error = std::move(error);
        attempt.wakeup->notify();
    }

    /** Reads until the last token or until the attempt is abandoned; otherwise returns the error that ended the stream. */
    asio::awaitable<std::optional<Error>> readTokens(FrontendStatePointer state, EngineAttemptPointer attempt, CompletionStream& stream)
    {
        while (!attempt->isAbandoned) {
            auto token = co_await stream.next();
            if (attempt->isAbandoned)
                break;
            if (!token)
                co_return token.error();
            attempt->isDone = !token->has_value();
            if (*token) {
                attempt->lastIndex = (*token)->index;
                attempt->tokens.push_back(std::move(**token));
            }
            attempt->wakeup->notify();
            if (attempt->isDone)
                break;
            while (attempt->tokens.size() >= maximumQueuedTokens && !attempt->isAbandoned)
                co_await attempt->queueSpace->waitFor(state->services.timers, queueSpaceTimeout);
        }
        co_return std::nullopt;
    }

    asio::awaitable<std::optional<Error>> readStream(FrontendStatePointer state, EngineAttemptPointer attempt, StreamResult stream)
    {
        if (attempt->isAbandoned) {
            // The earlier cancel may have reached the engine before the request itself, so it is sent again.
            if (stream)
                spawnCancel(state, *attempt);
            co_return std::nullopt;
        }
        if (!stream)
            co_return stream.error();
        co_return co_await readTokens(state, attempt, **stream);
    }

    /** Reads the stream and resumes it at the same engine after a response that belonged to another request. */
    asio::awaitable<void> readWithRejoin(FrontendStatePointer state, EngineAttemptPointer attempt, StreamResult stream)
    {
        auto error = co_await readStream(state, attempt, std::move(stream));
        while (error && mayRejoin(*attempt, *error)) {
            ++attempt->rejoins;
            state->services.metrics.count("chestnut_rejoins_total");
            state->services.log.write(EventId::AnswerCrossed, { { "replica", attempt->engine }, { "engine_request", attempt->id }, { "detail", error->detail } });
            auto again = co_await state->services.engines.resume(attempt->endpoint, attempt->id, attempt->lastIndex);
            error = co_await readStream(state, attempt, std::move(again));
            // The engine has refused the resumption only; it may go on with the run.
            if (error && describe(error->kind).outcome == Outcome::NotRun)
                error = makeError(ErrorKind::ProtocolError, error->detail);
        }
        if (error && !attempt->isAbandoned)
            fail(*attempt, std::move(*error));
    }

    asio::awaitable<void> runCompletion(FrontendStatePointer state, EngineAttemptPointer attempt, CompletionCall call)
    {
        auto stream = co_await state->services.engines.complete(attempt->endpoint, std::move(call));
        co_await readWithRejoin(state, attempt, std::move(stream));
    }

    asio::awaitable<void> runResumption(FrontendStatePointer state, EngineAttemptPointer attempt, uint64_t afterToken)
    {
        auto stream = co_await state->services.engines.resume(attempt->endpoint, attempt->id, afterToken);
        co_await readWithRejoin(state, attempt, std::move(stream));
    }

} // namespace

EngineAttemptPointer makeAttempt(FrontendState& state, ReplicaReservation reservation, std::shared_ptr<AutoResetEvent> wakeup)
{
    auto attempt = std::make_shared<EngineAttempt>();
    attempt->id = state.nextAttemptId();
    attempt->engine = reservation.replica;
    attempt->endpoint = reservation.endpoint;
    attempt->inFlight = std::move(reservation.inFlight);
    attempt->startedAt = state.now();
    attempt->wakeup = std::move(wakeup);
    attempt->queueSpace = std::make_shared<AutoResetEvent>(state.services.context);
    return attempt;
}

void startCompletion(FrontendStatePointer state, EngineAttemptPointer attempt, CompletionCall call)
{
    auto& context = state->services.context;
    asio::co_spawn(context, runCompletion(std::move(state), std::move(attempt), std::move(call)), asio::detached);
}

void startResumption(FrontendStatePointer state, EngineAttemptPointer attempt, uint64_t afterToken)
{
    auto& context = state->services.context;
    attempt->lastIndex = afterToken;
    asio::co_spawn(context, runResumption(std::move(state), std::move(attempt), afterToken), asio::detached);
}

TokenEvent takeToken(EngineAttempt& attempt)
{
    auto token = std::move(attempt.tokens.front());
    attempt.tokens.pop_front();
    attempt.queueSpace->notify();
    return token;
}

void abandon(FrontendStatePointer state, EngineAttempt& attempt)
{
    if (attempt.isAbandoned)
        return;
    attempt.isAbandoned = true;
    attempt.inFlight.reset();
    attempt.queueSpace->notify();
    bool hasEnded = attempt.error && attempt.error->kind != ErrorKind::ProtocolError;
    if (!hasEnded && !attempt.isDone)
        spawnCancel(state, attempt);
}

} // namespace chestnut
