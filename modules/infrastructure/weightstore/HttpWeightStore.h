#pragma once

#include "http/client/HttpClient.h"
#include "infrastructure/weightstore/WeightStore.h"

namespace chestnut {

/** Reads sizes from the Content-Length of HEAD requests. They do not count against the rate limit of PlatformClient. */
class HttpWeightStore final : public WeightStore {
public:
    HttpWeightStore(HttpClient&, Endpoint);

    /** Also fails with PlatformUnavailable when the store does not respond. */
    asio::awaitable<Result<uint64_t>> objectSize(std::string object) override;

private:
    HttpClient& m_client;
    Endpoint m_endpoint;
};

} // namespace chestnut
