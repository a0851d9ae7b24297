#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "kernel/registry/Service.h"

#include <vector>

namespace chestnut {

enum class VmState : uint8_t {
    Live,
    Leaving,
};

/** One VM in the platform's VM list, which is updated with a delay. */
struct Vm {
    std::string id;
    std::string address; /**< IP address */
    AvailabilityZone zone;
    VmState state = VmState::Live;

    auto operator<=>(const Vm&) const = default;
};

class VmList : public Service {
public:
    static constexpr std::string_view serviceName = "vmlist";
    std::string_view name() const final { return serviceName; }

    virtual asio::awaitable<Result<std::vector<Vm>>> fetch() = 0;
};

} // namespace chestnut
