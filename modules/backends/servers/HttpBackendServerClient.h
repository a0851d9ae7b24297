#pragma once

#include "backends/servers/BackendServerClient.h"
#include "http/client/HttpClient.h"

namespace chestnut {

/** Calls backend servers over HTTP. Calls other than GET and HEAD always use a fresh connection, so that ConnectFailed
    is certain to mean that no byte was sent. */
class HttpBackendServerClient final : public BackendServerClient {
public:
    explicit HttpBackendServerClient(HttpClient&);

    asio::awaitable<Result<HttpResponse>> call(Endpoint, HttpRequest, Duration timeout) override;
    asio::awaitable<Result<BackendServerLoad>> load(Endpoint) override;

private:
    HttpClient& m_client;
};

} // namespace chestnut
