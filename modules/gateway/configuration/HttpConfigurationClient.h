#pragma once

#include "gateway/configuration/ConfigurationClient.h"
#include "http/client/ConnectionPool.h"

namespace chestnut {

/** Fetches configurations over HTTP from the daemons' port; see ConfigurationApi. */
class HttpConfigurationClient final : public ConfigurationClient {
public:
    explicit HttpConfigurationClient(ConnectionPool&);

    asio::awaitable<Result<std::optional<std::string>>> fetch(Endpoint, uint64_t above) override;

private:
    ConnectionPool& m_pool;
};

} // namespace chestnut
