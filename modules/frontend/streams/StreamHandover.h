#pragma once

#include "frontend/dispatch/FrontendState.h"
#include "frontend/streams/StreamStore.h"

namespace chestnut {

/** The part of a stream that another daemon needs to continue it. */
struct StreamHandover {
    std::string target;
    std::string body;
    AccountId account;
    PriorityClass priorityClass = PriorityClass::Live;
    Duration remaining {}; /**< until the request's deadline */
    Digest content;
    uint64_t firstIndex = 1;
    std::vector<std::string> tokens;
    std::string finishReason;
};

/** Lets peers take streams of this daemon over (message `takeStream`): its session is stopped, which cancels the engine's
    work, and the stream's request and tokens are handed out. The stream is kept as before in case the reply is lost. */
void offerStreams(const FrontendStatePointer&, const std::shared_ptr<StreamStore>&);

/** Takes a stream over from the daemon that has it, following one move. Nothing when that daemon does not answer or does
    not hold the stream. */
asio::awaitable<std::optional<StreamHandover>> takeStream(FrontendStatePointer, DaemonId holder, std::string streamId);

} // namespace chestnut
