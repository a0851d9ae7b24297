#pragma once

#include "base/errors/Result.h"
#include "kernel/registry/Service.h"

#include <cstdint>
#include <string>

namespace chestnut {

/** The rate-limited store from which engines load model weights. The daemon only reads their sizes. */
class WeightStore : public Service {
public:
    static constexpr std::string_view serviceName = "weightstore";
    std::string_view name() const final { return serviceName; }

    /** Returns the size in bytes. Fails with NotFound, or with Overloaded and a retry delay when the rate limit is reached. */
    virtual asio::awaitable<Result<uint64_t>> objectSize(std::string object) = 0;
};

} // namespace chestnut
