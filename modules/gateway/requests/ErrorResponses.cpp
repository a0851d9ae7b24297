#include "gateway/requests/ErrorResponses.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace chestnut {

namespace {

    /** Retry-After of a refusal whose error specifies no time. */
    constexpr std::chrono::milliseconds defaultRetryAfter { 400 };
    /** Retry-After of a refusal for lack of capacity: the queues change within this time. */
    constexpr std::chrono::milliseconds saturatedRetryAfter { 500 };

    std::string secondsText(std::chrono::milliseconds time)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
        return text.data();
    }

} // namespace

Error crashingRequestError()
{
    return makeError(ErrorKind::NoBackend, "the request has crashed the replicas that ran it");
}

Error crashingPartError()
{
    return makeError(ErrorKind::NoBackend, "a part of the prompt has crashed the replicas that ran it");
}

Error saturatedError(std::string detail)
{
    auto error = makeError(ErrorKind::Overloaded, std::move(detail));
    error.retryAfter = saturatedRetryAfter;
    return error;
}

Error rateLimitedError(Duration expectedWait)
{
    auto error = makeError(ErrorKind::Overloaded, "the replicas take no further request now: all name a rate limit");
    error.retryAfter = std::max(std::chrono::ceil<std::chrono::milliseconds>(expectedWait), defaultRetryAfter);
    return error;
}

asio::awaitable<void> sendErrorResponse(HttpResponseWriter& writer, const RequestId& request, const Error& error)
{
    const auto& description = describe(error.kind);
    nlohmann::json body { { "error", { { "kind", description.name }, { "outcome", nameOf(description.outcome) }, { "message", error.detail }, { "request_id", request.value() } } } };
    HttpResponse response { description.status, { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
    if (description.sendsRetryAfter)
        response.headers.set("Retry-After", secondsText(error.retryAfter.count() > 0 ? error.retryAfter : defaultRetryAfter));
    // A write error is ignored: the client has disconnected.
    (void)co_await writer.send(std::move(response));
}

std::optional<ErrorKind> errorKindOf(const HttpResponse& response)
{
    // Most responses are those of replicas, and long; only refusals are parsed.
    if (response.status != 503 && response.status != 429)
        return std::nullopt;
    auto document = nlohmann::json::parse(response.body, nullptr, false);
    auto error = document.is_object() ? document.value("error", nlohmann::json()) : nlohmann::json();
    auto kind = error.is_object() ? error.value("kind", nlohmann::json()) : nlohmann::json();
    return kind.is_string() ? errorKindFromName(kind.get_ref<const std::string&>()) : std::nullopt;
}

} // namespace chestnut
