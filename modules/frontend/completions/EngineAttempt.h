#pragma once

#include "frontend/dispatch/Dispatcher.h"

#include <deque>

namespace chestnut {

/** One attempt to run a completion at one engine. A detached coroutine reads the tokens into a bounded queue, so that the
    session can abandon an unresponsive engine at any time; tokens that arrive after that are discarded. */
struct EngineAttempt {
    RequestId id;
    ReplicaId engine;
    Endpoint endpoint;
    InFlightRequestHandle inFlight;
    TimePoint startedAt;
    std::deque<TokenEvent> tokens;
    std::optional<Error> error;
    bool isDone = false; /**< the last token was read from the engine */
    bool isAbandoned = false;
    uint64_t lastIndex = 0; /**< of the newest token read */
    uint32_t rejoins = 0; /**< after responses that belonged to another request */
    std::shared_ptr<AutoResetEvent> wakeup; /**< wakes the session */
    std::shared_ptr<AutoResetEvent> queueSpace; /**< wakes the reader when the queue has space */
};

using EngineAttemptPointer = std::shared_ptr<EngineAttempt>;

EngineAttemptPointer makeAttempt(FrontendState&, ReplicaReservation, std::shared_ptr<AutoResetEvent> wakeup);

/** Sends the call and reads tokens until the end, a failure, or until the attempt is abandoned. */
void startCompletion(FrontendStatePointer, EngineAttemptPointer, CompletionCall);

/** Resumes a stream that the engine still buffers, after the given token. */
void startResumption(FrontendStatePointer, EngineAttemptPointer, uint64_t afterToken);

/** Removes and returns the oldest token of the queue. */
TokenEvent takeToken(EngineAttempt&);

/** Abandons the attempt and cancels the request at the engine. */
void abandon(FrontendStatePointer, EngineAttempt&);

} // namespace chestnut
