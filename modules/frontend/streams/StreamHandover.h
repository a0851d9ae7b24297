#pragma once

#include "frontend/dispatch/FrontendState.h"
#include "frontend/streams/StreamStore.h"

namespace chestnut {

/** What another daemon needs to continue a stream. */
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

/** Registers the handler of the message `takeStream`, with which peers fetch streams of this daemon. It stops the stream's
    session, which cancels the request at the engine, and replies with the request and its tokens. The record stays in the
    store in case the reply is lost. */
void serveStreamHandovers(const FrontendStatePointer&, const std::shared_ptr<StreamStore>&);

/** Fetches a stream from the daemon that has it, following one redirect to the daemon that fetched it before. Nothing
    when that daemon does not reply or does not have the stream. */
asio::awaitable<std::optional<StreamHandover>> requestStreamHandover(FrontendStatePointer, DaemonId holder, std::string streamId);

} // namespace chestnut
