#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "http/server/HttpServer.h"

#include <optional>
#include <string>

namespace chestnut {

/** The error for a request that has crashed the replicas that ran it. */
Error crashingRequestError();

/** The error for a request with a prompt part that has crashed engines. */
Error crashingPartError();

/** The refusal of a request for which the engines have no capacity before its deadline. */
Error saturatedError(std::string detail);

/** The refusal of a request that the rate limits of the replicas do not let through before its deadline. */
Error rateLimitedError(Duration expectedWait);

/** Sends an error response, with a Retry-After header if the client may retry. */
asio::awaitable<void> sendErrorResponse(HttpResponseWriter&, const RequestId&, const Error&);

/** The kind of error that such a response contains; nothing for responses of replicas. */
std::optional<ErrorKind> errorKindOf(const HttpResponse&);

} // namespace chestnut
