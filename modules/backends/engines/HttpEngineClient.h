#pragma once

#include "backends/engines/EngineClient.h"
#include "http/client/HttpClient.h"

namespace chestnut {

/** Calls engines over HTTP. A response or chunk with another request's id fails with ProtocolError, and so does a token
    whose index does not follow the previous one. */
class HttpEngineClient final : public EngineClient {
public:
    explicit HttpEngineClient(HttpClient&);

    asio::awaitable<Result<std::unique_ptr<CompletionStream>>> complete(Endpoint, CompletionCall) override;
    asio::awaitable<Result<std::unique_ptr<CompletionStream>>> resume(Endpoint, RequestId, uint64_t afterToken) override;
    asio::awaitable<Result<void>> cancel(Endpoint, RequestId) override;
    asio::awaitable<Result<EngineLoad>> load(Endpoint) override;
    asio::awaitable<Result<std::vector<CacheEvent>>> cacheEvents(Endpoint, uint64_t afterSequence) override;
    asio::awaitable<Result<void>> order(Endpoint, EngineOrder, Duration timeout) override;
    asio::awaitable<Result<EngineState>> state(Endpoint) override;

private:
    HttpClient& m_client;
};

} // namespace chestnut
