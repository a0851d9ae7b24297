#pragma once

#include "frontend/dispatch/Dispatcher.h"

#include <deque>

namespace chestnut {

/** One attempt of a completion at one engine. A detached coroutine reads its tokens into a short queue, so that the
    session can give up on a silent engine at any time; whatever arrives later is dropped here. */
struct EngineAttempt {
    RequestId id;
    ReplicaId engine;
    Endpoint endpoint;
    InFlightRequestHandle flight;
    TimePoint startedAt;
    std::deque<TokenEvent> tokens;
    std::optional<Error> error;
    bool isDone = false; /**< the last token is in the queue or was taken */
    bool isAbandoned = false;
    uint64_t lastIndex = 0; /**< of the newest token read */
    uint32_t rejoins = 0; /**< after crossed answers */
    std::shared_ptr<AutoResetEvent> news; /**< of the session */
    std::shared_ptr<AutoResetEvent> space; /**< wakes the reader when the queue has room */
};

using EngineAttemptPointer = std::shared_ptr<EngineAttempt>;

EngineAttemptPointer makeAttempt(FrontendState&, Dispatched, std::shared_ptr<AutoResetEvent> news);

/** Sends the call and reads tokens until the end, a failure, or until the attempt is abandoned. */
void startCompletion(FrontendStatePointer, EngineAttemptPointer, CompletionCall);

/** Joins the stream that the engine holds. */
void startResumption(FrontendStatePointer, EngineAttemptPointer, uint64_t afterToken);

/** Takes the oldest token of the queue. */
TokenEvent takeToken(EngineAttempt&);

/** Drops the attempt and ends the engine's work on it. */
void abandon(FrontendStatePointer, EngineAttempt&);

} // namespace chestnut
