#pragma once

#include "backends/servers/BackendServerClient.h"
#include "http/client/HttpClient.h"

namespace chestnut {

/** Calls backend servers over HTTP. A response that arrives on another call's connection is delivered to the call whose id
    it carries; a response whose id belongs to no pending call fails with ProtocolError. Calls other than GET and HEAD always
    use a new connection: on a reused one, ConnectFailed would not prove that no byte was sent. */
class HttpBackendServerClient final : public BackendServerClient {
public:
    explicit HttpBackendServerClient(HttpClient&);

    asio::awaitable<Result<HttpResponse>> call(Endpoint, HttpRequest, Duration timeout) override;
    asio::awaitable<Result<BackendServerLoad>> load(Endpoint) override;

private:
    struct PendingCalls;

    HttpClient& m_client;
    std::shared_ptr<PendingCalls> m_pending;
};

} // namespace chestnut
