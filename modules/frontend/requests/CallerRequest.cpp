#include "frontend/requests/CallerRequest.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace chestnut {

namespace {

    constexpr Duration defaultLiveTimeout = std::chrono::milliseconds(30000);
    constexpr Duration defaultBatchTimeout = std::chrono::milliseconds(600000);
    constexpr Duration maximumTimeout = std::chrono::hours(24);
    constexpr size_t maximumIdLength = 64;
    constexpr size_t maximumKeyLength = 128;
    constexpr std::chrono::seconds defaultRetryAfter { 1 };

    bool isIdCharacter(char c)
    {
        return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    }

    bool isAcceptableId(std::string_view text)
    {
        return !text.empty() && text.size() <= maximumIdLength && std::ranges::all_of(text, isIdCharacter);
    }

    Result<PriorityClass> parseClass(std::string_view text)
    {
        if (text.empty() || text == "live")
            return PriorityClass::Live;
        if (text == "batch")
            return PriorityClass::Batch;
        return makeError(ErrorKind::BadRequest, "X-Priority-Class must be live or batch");
    }

    Result<Duration> parseTimeout(std::string_view text, PriorityClass priorityClass)
    {
        if (text.empty())
            return priorityClass == PriorityClass::Live ? defaultLiveTimeout : defaultBatchTimeout;
        int64_t milliseconds = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (error != std::errc() || end != text.data() + text.size())
            return makeError(ErrorKind::BadRequest, "X-Request-Timeout must be a number of milliseconds");
        if (milliseconds <= 0)
            return makeError(ErrorKind::DeadlinePassed, "X-Request-Timeout is not positive");
        return std::min<Duration>(std::chrono::milliseconds(std::min<int64_t>(milliseconds, std::chrono::milliseconds(std::chrono::hours(24)).count())), maximumTimeout);
    }

} // namespace

RequestId requestIdOf(const HttpHeaders& headers, const RequestId& fallback)
{
    auto given = headers.value("X-Request-Id");
    return isAcceptableId(given) ? RequestId(std::string(given)) : fallback;
}

Result<CallerRequest> parseCallerRequest(const HttpRequest& request, RequestId id, TimePoint now)
{
    CallerRequest parsed;
    parsed.id = std::move(id);
    auto account = request.headers.value("X-Account");
    if (!account.empty() && !isAcceptableId(account))
        return makeError(ErrorKind::BadRequest, "X-Account is malformed");
    parsed.account = AccountId(account.empty() ? "default" : std::string(account));
    auto priorityClass = parseClass(request.headers.value("X-Priority-Class"));
    if (!priorityClass)
        return priorityClass.error();
    parsed.priorityClass = *priorityClass;
    auto timeout = parseTimeout(request.headers.value("X-Request-Timeout"), parsed.priorityClass);
    if (!timeout)
        return timeout.error();
    parsed.arrival = now;
    parsed.deadline = now + *timeout;
    parsed.idempotencyKey = request.headers.value("Idempotency-Key");
    if (parsed.idempotencyKey.size() > maximumKeyLength)
        return makeError(ErrorKind::BadKey, "the idempotency key is too long");
    parsed.content = digestOf(request.method + "\n" + request.target + "\n" + request.body);
    return parsed;
}

std::string errorBody(const Error& error, const RequestId& id)
{
    const auto& description = describe(error.kind);
    nlohmann::json body { { "error", {
                                         { "kind", description.name },
                                         { "outcome", nameOf(description.outcome) },
                                         { "message", error.detail.empty() ? std::string(description.meaning) : error.detail },
                                         { "request_id", id.value() },
                                     } } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse errorResponse(const Error& error, const RequestId& id)
{
    const auto& description = describe(error.kind);
    HttpHeaders headers { { "Content-Type", "application/json" }, { "X-Request-Id", id.value() } };
    if (description.sendsRetryAfter) {
        auto delay = std::max(defaultRetryAfter, std::chrono::ceil<std::chrono::seconds>(error.retryAfter));
        headers.set("Retry-After", std::to_string(delay.count()));
    }
    return { description.status, std::move(headers), errorBody(error, id) };
}

} // namespace chestnut
