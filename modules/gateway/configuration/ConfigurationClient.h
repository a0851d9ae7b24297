#pragma once

#include "base/errors/Result.h"
#include "kernel/registry/Service.h"
#include "kernel/settings/SettingsReader.h"

#include <optional>
#include <string>

namespace chestnut {

/** Fetches the stored configuration from other daemons. */
class ConfigurationClient : public Service {
public:
    static constexpr std::string_view serviceName = "configurationclient";
    std::string_view name() const final { return serviceName; }

    /** Returns the bytes that the store holds, if the daemon at the endpoint has a higher version than `above`, else nothing. Bounded
        in time and bytes. Errors: ConnectFailed, BackendFailed, DeadlineExceeded, ProtocolError; Overloaded when the daemon is
        sending to others. */
    virtual asio::awaitable<Result<std::optional<std::string>>> fetch(Endpoint, uint64_t above) = 0;
};

} // namespace chestnut
