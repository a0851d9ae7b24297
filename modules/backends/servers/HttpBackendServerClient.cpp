#include "backends/servers/HttpBackendServerClient.h"

#include <nlohmann/json.hpp>

namespace chestnut {

namespace {

    constexpr Duration loadTimeout = std::chrono::seconds(2);

    Result<BackendServerLoad> parseLoad(const std::string& text)
    {
        try {
            auto document = nlohmann::json::parse(text);
            BackendServerLoad load;
            load.running = document.at("running").get<uint32_t>();
            load.slots = document.at("slots").get<uint32_t>();
            load.age = std::chrono::milliseconds(document.at("age_ms").get<int64_t>());
            return load;
        } catch (const nlohmann::json::exception& exception) {
            return makeError(ErrorKind::ProtocolError, exception.what());
        }
    }

} // namespace

HttpBackendServerClient::HttpBackendServerClient(HttpClient& client)
    : m_client(client)
{
}

asio::awaitable<Result<HttpResponse>> HttpBackendServerClient::call(Endpoint endpoint, HttpRequest request, Duration timeout)
{
    HttpTimeouts timeouts;
    timeouts.connect = std::min(timeouts.connect, timeout);
    timeouts.read = timeout;
    std::string id(request.headers.value("X-Request-Id"));
    auto response = co_await m_client.exchange(endpoint, std::move(request), timeouts);
    if (!response)
        co_return response.error();
    if (auto answered = response->headers.value("X-Request-Id"); !answered.empty() && answered != id)
        co_return makeError(ErrorKind::ProtocolError, "the backend server answered request " + std::string(answered) + " instead of " + id);
    co_return response;
}

asio::awaitable<Result<BackendServerLoad>> HttpBackendServerClient::load(Endpoint endpoint)
{
    HttpTimeouts timeouts;
    timeouts.read = loadTimeout;
    HttpRequest request;
    request.target = "/load";
    auto response = co_await m_client.exchange(endpoint, std::move(request), timeouts);
    if (!response)
        co_return response.error();
    if (response->status != 200)
        co_return makeError(ErrorKind::BackendFailed, "load: status " + std::to_string(response->status));
    co_return parseLoad(response->body);
}

} // namespace chestnut
