#pragma once

#include "backends/servers/BackendServerClient.h"
#include "http/client/HttpClient.h"

namespace chestnut {

/** Calls backend servers over HTTP. When the answers of two calls of this client are swapped, each goes to the call whose
    id it carries; an answer with an id that no pending call has is a ProtocolError. Calls other than GET and HEAD always use a fresh connection, so that ConnectFailed
    is certain to mean that no byte was sent. */
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
