#pragma once

#include "base/errors/Result.h"
#include "base/time/TimePoint.h"
#include "http/message/HttpMessage.h"
#include "kernel/registry/Service.h"
#include "kernel/settings/SettingsReader.h"

namespace chestnut {

/** A load report of a backend server; it is old by `age` when it arrives. */
struct BackendServerLoad {
    uint32_t running = 0;
    uint32_t slots = 0;
    Duration age {};

    auto operator<=>(const BackendServerLoad&) const = default;
};

/** Calls to one backend server address. ConnectFailed means that no byte was sent. */
class BackendServerClient : public Service {
public:
    static constexpr std::string_view serviceName = "backendservers";
    std::string_view name() const final { return serviceName; }

    /** Fails with ProtocolError when the response carries another request's id. */
    virtual asio::awaitable<Result<HttpResponse>> call(Endpoint, HttpRequest, Duration timeout) = 0;
    virtual asio::awaitable<Result<BackendServerLoad>> load(Endpoint) = 0;
};

} // namespace chestnut
