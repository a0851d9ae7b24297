#pragma once

#include "base/errors/Result.h"
#include "base/time/TimePoint.h"
#include "http/message/HttpMessage.h"
#include "kernel/registry/Service.h"
#include "kernel/settings/SettingsReader.h"

namespace chestnut {

/** A load report of a backend server. `age` is the time since its measurement. */
struct BackendServerLoad {
    uint32_t running = 0;
    uint32_t slots = 0;
    Duration age {};

    auto operator<=>(const BackendServerLoad&) const = default;
};

/** Calls backend servers by their address. The error ConnectFailed guarantees that no byte was sent. */
class BackendServerClient : public Service {
public:
    static constexpr std::string_view serviceName = "backendservers";
    std::string_view name() const final { return serviceName; }

    /** Fails with ProtocolError when the response carries another request's id. */
    virtual asio::awaitable<Result<HttpResponse>> call(Endpoint, HttpRequest, Duration timeout) = 0;
    virtual asio::awaitable<Result<BackendServerLoad>> load(Endpoint) = 0;
};

} // namespace chestnut
