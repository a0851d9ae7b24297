#include "gateway/configuration/HttpConfigurationClient.h"

#include "gateway/configuration/ConfigurationApi.h"

namespace chestnut {

namespace {

    /** Until the response header. A daemon with a tenth of a core answers within tens of milliseconds. */
    constexpr Duration headerTimeout = std::chrono::milliseconds(800);
    /** Of the body: 4 MB take 3.2 s on a link of 10 Mbit/s. Two attempts end within 9 s after a change. */
    constexpr Duration bodyTimeout = std::chrono::milliseconds(3500);
    /** Twice the size that a list of the store may have. */
    constexpr size_t maximumConfigurationBytes = 16 << 20;

} // namespace

HttpConfigurationClient::HttpConfigurationClient(ConnectionPool& pool)
    : m_pool(pool)
{
}

asio::awaitable<Result<std::optional<std::string>>> HttpConfigurationClient::fetch(Endpoint endpoint, uint64_t above)
{
    ExchangeOptions options;
    options.timeout = headerTimeout;
    options.bodyTimeout = bodyTimeout;
    HttpRequest request { "GET", std::string(configurationPath) + "?above=" + std::to_string(above), { { "Host", formatEndpoint(endpoint) } }, "" };
    auto stream = co_await m_pool.open(endpoint, std::move(request), std::move(options));
    if (!stream)
        co_return stream.error();
    auto status = (*stream)->status();
    auto body = co_await readWholeBody(**stream, maximumConfigurationBytes);
    if (!body)
        co_return body.error();
    if (status == 204)
        co_return std::optional<std::string>();
    if (status == 503)
        co_return makeError(ErrorKind::Overloaded, "the daemon is sending its configuration to others");
    if (status != 200)
        co_return makeError(ErrorKind::ProtocolError, "status " + std::to_string(status));
    co_return std::optional<std::string>(std::move(*body));
}

} // namespace chestnut
