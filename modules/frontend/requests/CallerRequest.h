#pragma once

#include "base/digest/Digest.h"
#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/estimates/WorkEstimate.h"
#include "http/message/HttpMessage.h"

#include <string>

namespace chestnut {

/** The attributes of a request from the headers of section 2.1 of the design. */
struct CallerRequest {
    RequestId id;
    AccountId account;
    PriorityClass priorityClass = PriorityClass::Live;
    TimePoint arrival;
    TimePoint deadline;
    std::string idempotencyKey; /**< empty when absent */
    Digest content; /**< digest of method, target and body; identifies retries of a request that crashes backends */
};

/** The caller's request id, or `fallback` when it is absent or invalid. */
RequestId requestIdOf(const HttpHeaders&, const RequestId& fallback);

/** Checks the headers. Errors: BadRequest, DeadlinePassed, BadKey. */
Result<CallerRequest> parseCallerRequest(const HttpRequest&, RequestId, TimePoint now);

/** The JSON error response of section 2.1 of the design, with X-Request-Id and, for kinds that allow a retry, Retry-After. */
HttpResponse errorResponse(const Error&, const RequestId&);

/** The JSON body of errorResponse(). */
std::string errorBody(const Error&, const RequestId&);

} // namespace chestnut
