#pragma once

#include "infrastructure/client/PlatformClient.h"
#include "infrastructure/vmlist/VmList.h"

namespace chestnut {

/** The VM list from Consul's node catalogue, in which the metadata `state` and `zone` describe each VM. */
class ConsulVmList final : public VmList {
public:
    explicit ConsulVmList(std::shared_ptr<PlatformClient>);

    /** Errors: PlatformUnavailable. */
    asio::awaitable<Result<std::vector<Vm>>> fetch() override;

private:
    std::shared_ptr<PlatformClient> m_client;
};

} // namespace chestnut
