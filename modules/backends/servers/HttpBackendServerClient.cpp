#include "backends/servers/HttpBackendServerClient.h"

#include "base/text/JsonNesting.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace chestnut {

namespace {

    /** A call that received another call's response waits this long for its own to arrive on another connection. */
    constexpr Duration misroutedResponseTimeout = std::chrono::seconds(2);
    constexpr Duration loadTimeout = std::chrono::seconds(2);

    Result<BackendServerLoad> parseLoad(const std::string& text)
    {
        if (isNestedTooDeep(text))
            return makeError(ErrorKind::ProtocolError, "the document is nested too deeply");
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

/** Calls that wait for a response, by request id. */
struct HttpBackendServerClient::PendingCalls {
    struct Call {
        explicit Call(const asio::any_io_executor& executor)
            : responseReady(executor, asio::steady_timer::time_point::max())
        {
        }

        std::optional<HttpResponse> response; /**< the response that arrived on another call's connection */
        asio::steady_timer responseReady; /**< cancelled when the response is set */
    };

    std::multimap<std::string, std::shared_ptr<Call>> byId; /**< each attempt of a request has an id of its own */

    bool deliver(const std::string& id, HttpResponse response)
    {
        auto [first, last] = byId.equal_range(id);
        auto call = std::find_if(first, last, [](const auto& entry) { return !entry.second->response; });
        if (call == last)
            return false;
        call->second->response = std::move(response);
        call->second->responseReady.cancel();
        return true;
    }
};

HttpBackendServerClient::HttpBackendServerClient(HttpClient& client)
    : m_client(client)
    , m_pending(std::make_shared<PendingCalls>())
{
}

asio::awaitable<Result<HttpResponse>> HttpBackendServerClient::call(Endpoint endpoint, HttpRequest request, Duration timeout)
{
    HttpTimeouts timeouts;
    timeouts.connect = std::min(timeouts.connect, timeout);
    timeouts.read = timeout;
    timeouts.body = timeout;
    std::string id(request.headers.value("X-Request-Id"));
    auto pending = m_pending;
    auto call = std::make_shared<PendingCalls::Call>(co_await asio::this_coro::executor);
    auto entry = pending->byId.emplace(id, call);
    // A response need not have an id, so a copy of an earlier one on the same connection could not be told from it.
    auto response = co_await m_client.exchangeOnNewConnection(endpoint, std::move(request), timeouts);
    std::string responseId(response ? response->headers.value("X-Request-Id") : "");
    if (!responseId.empty() && responseId != id) {
        auto wasExpected = pending->deliver(responseId, *response);
        boost::system::error_code ignored;
        call->responseReady.expires_after(std::min(timeout, misroutedResponseTimeout));
        if (wasExpected && !call->response)
            co_await call->responseReady.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    pending->byId.erase(entry);
    if (call->response)
        co_return std::move(*call->response);
    if (!response)
        co_return response.error();
    if (!responseId.empty() && responseId != id)
        co_return makeError(ErrorKind::ProtocolError, "the backend server sent the response to request " + responseId + " instead of " + id);
    co_return response;
}

asio::awaitable<Result<BackendServerLoad>> HttpBackendServerClient::load(Endpoint endpoint)
{
    HttpTimeouts timeouts;
    timeouts.read = loadTimeout;
    timeouts.body = loadTimeout;
    HttpRequest request;
    request.target = "/load";
    auto response = co_await m_client.exchange(endpoint, std::move(request), timeouts);
    if (!response)
        co_return response.error();
    if (response->status != 200)
        co_return makeError(ErrorKind::BackendFailed, "the backend server responded to a load request with status " + std::to_string(response->status));
    co_return parseLoad(response->body);
}

} // namespace chestnut
