#include "infrastructure/vmlist/ConsulVmList.h"

#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;

    Vm parseVm(const json& row)
    {
        auto meta = row.value("Meta", json::object());
        if (!meta.is_object())
            meta = json::object();
        Vm vm;
        vm.id = row.at("Node").get<std::string>();
        vm.address = row.at("Address").get<std::string>();
        vm.zone = AvailabilityZone(meta.value("zone", std::string()));
        vm.state = meta.value("state", std::string("live")) == "leaving" ? VmState::Leaving : VmState::Live;
        return vm;
    }

} // namespace

ConsulVmList::ConsulVmList(std::shared_ptr<PlatformClient> client)
    : m_client(std::move(client))
{
}

asio::awaitable<Result<std::vector<Vm>>> ConsulVmList::fetch()
{
    PlatformCall call { "vm_list", { "GET", "/v1/catalog/nodes", {}, "" }, false, {} };
    auto response = co_await m_client->call(std::move(call));
    if (!response)
        co_return response.error();
    if (response->status != statusOk)
        co_return makeError(ErrorKind::PlatformUnavailable, "VM list: status " + std::to_string(response->status));
    try {
        std::vector<Vm> vms;
        auto rows = json::parse(response->body);
        for (const auto& row : rows)
            vms.push_back(parseVm(row));
        co_return vms;
    } catch (const json::exception& exception) {
        co_return makeError(ErrorKind::PlatformUnavailable, std::string("malformed VM list: ") + exception.what());
    }
}

} // namespace chestnut
