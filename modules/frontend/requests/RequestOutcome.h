#pragma once

#include "frontend/dispatch/FrontendState.h"
#include "frontend/requests/CallerRequest.h"
#include "http/server/HttpServer.h"

#include <optional>

namespace chestnut {

/** How a caller's request was completed. */
struct CompletedRequest {
    ReplicaId replica; /**< of the last attempt */
    uint32_t attempts = 0;
    uint64_t tokens = 0;
    std::optional<Duration> firstToken; /**< time until the first token */

    bool operator==(const CompletedRequest&) const = default;
};

/** Sends the error to the caller, logs and counts it. */
asio::awaitable<void> refuse(const FrontendState&, const CallerRequest&, Error, HttpResponseWriter&);

void logRefused(const FrontendState&, const CallerRequest&, const Error&);
void logCompleted(const FrontendState&, const CallerRequest&, const CompletedRequest&);

} // namespace chestnut
