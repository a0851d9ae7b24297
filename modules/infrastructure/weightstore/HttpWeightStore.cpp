#include "infrastructure/weightstore/HttpWeightStore.h"

#include "base/text/PercentEncoding.h"

#include <charconv>

namespace chestnut {

namespace {

    constexpr std::chrono::seconds defaultRetryAfter(1);
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusTooManyRequests = 429;

    std::optional<uint64_t> parseNumber(std::string_view text)
    {
        uint64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    Error rateLimited(const HttpResponse& response)
    {
        auto seconds = parseNumber(response.headers.value("Retry-After"));
        auto delay = seconds ? std::chrono::seconds(*seconds) : defaultRetryAfter;
        return Error { ErrorKind::Overloaded, "the weight store's rate limit is reached", delay };
    }

} // namespace

HttpWeightStore::HttpWeightStore(HttpClient& client, Endpoint endpoint)
    : m_client(client)
    , m_endpoint(std::move(endpoint))
{
}

asio::awaitable<Result<uint64_t>> HttpWeightStore::objectSize(std::string object)
{
    HttpRequest request { "HEAD", "/" + percentEncodePath(object), {}, "" };
    auto response = co_await m_client.exchange(m_endpoint, std::move(request), {});
    if (!response)
        co_return makeError(ErrorKind::PlatformUnavailable, "weight store: " + response.error().detail);
    if (response->status == statusNotFound)
        co_return makeError(ErrorKind::NotFound, "no such object in the weight store: " + object);
    if (response->status == statusTooManyRequests)
        co_return rateLimited(*response);
    auto size = parseNumber(response->headers.value("Content-Length"));
    if (response->status != statusOk || !size)
        co_return makeError(ErrorKind::PlatformUnavailable, "weight store: status " + std::to_string(response->status));
    co_return *size;
}

} // namespace chestnut
