#include "NodeList.h"

namespace chestnut::standin {

using nlohmann::json;

namespace {

    constexpr size_t maximumVersions = 1000;

} // namespace

void NodeList::set(std::vector<Vm> vms, TimePoint now)
{
    m_versions.push_back({ now, std::move(vms) });
    if (m_versions.size() > maximumVersions)
        m_versions.pop_front();
}

std::vector<Vm> NodeList::at(TimePoint now, Duration lag) const
{
    std::vector<Vm> vms;
    for (const auto& version : m_versions) {
        if (version.since + lag <= now)
            vms = version.vms;
    }
    return vms;
}

std::vector<Vm> parseNodes(const json& rows)
{
    std::vector<Vm> vms;
    for (const auto& row : rows) {
        auto state = row.value("state", std::string("live")) == "leaving" ? VmState::Leaving : VmState::Live;
        vms.push_back({ row.at("id").get<std::string>(), row.at("address").get<std::string>(), AvailabilityZone(row.value("zone", std::string())), state });
    }
    return vms;
}

json catalogOf(const std::vector<Vm>& vms)
{
    auto rows = json::array();
    for (const auto& vm : vms) {
        json meta { { "state", vm.state == VmState::Leaving ? "leaving" : "live" }, { "zone", vm.zone.value() } };
        rows.push_back({ { "ID", vm.id }, { "Node", vm.id }, { "Address", vm.address }, { "Meta", meta } });
    }
    return rows;
}

} // namespace chestnut::standin
