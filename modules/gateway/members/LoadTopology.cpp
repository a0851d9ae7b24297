#include "gateway/members/LoadTopology.h"

#include <algorithm>
#include <map>

namespace chestnut {

namespace {

    /** Orders daemons as candidates for collectors: those with the fastest links first, as a collector sends the sum to all
        members of its zone, and by id so that all daemons elect the same ones. */
    bool isBetterCollector(const DaemonRecord& left, const DaemonRecord& right)
    {
        if (left.linkMegabits != right.linkMegabits)
            return left.linkMegabits > right.linkMegabits;
        return left.id < right.id;
    }

    /** The live daemons of each zone, the collectors first. */
    using Zones = std::map<AvailabilityZone, std::vector<DaemonRecord>>;

    Zones liveDaemonsByZone(const DaemonRecord& self, const std::vector<DaemonView>& others)
    {
        Zones zones;
        zones[self.zone].push_back(self);
        for (const auto& view : others) {
            if (isEntryPoint(view))
                zones[view.record.zone].push_back(view.record);
        }
        for (auto& [zone, daemons] : zones)
            std::ranges::sort(daemons, isBetterCollector);
        return zones;
    }

    size_t rankOf(const std::vector<DaemonRecord>& daemons, const DaemonId& id)
    {
        return static_cast<size_t>(std::ranges::find(daemons, id, &DaemonRecord::id) - daemons.begin());
    }

    std::vector<Endpoint> endpointsOf(const std::vector<DaemonRecord>& daemons, size_t most, const DaemonId& except)
    {
        std::vector<Endpoint> endpoints;
        for (size_t i = 0; i < std::min(most, daemons.size()); ++i) {
            if (daemons[i].id != except)
                endpoints.push_back(daemons[i].peerEndpoint);
        }
        return endpoints;
    }

    LoadTopology meshOf(const std::vector<DaemonView>& others)
    {
        LoadTopology topology;
        for (const auto& view : others)
            topology.ownWorkTargets.push_back(view.record.peerEndpoint);
        return topology;
    }

    std::vector<Endpoint> collectorsOfOtherZones(const Zones& zones, const AvailabilityZone& ownZone)
    {
        std::vector<Endpoint> endpoints;
        for (const auto& [zone, daemons] : zones) {
            if (zone != ownZone)
                std::ranges::copy(endpointsOf(daemons, collectorsPerZone, DaemonId()), std::back_inserter(endpoints));
        }
        return endpoints;
    }

    std::vector<Endpoint> allOfZone(const DaemonRecord& self, const std::vector<DaemonView>& others)
    {
        std::vector<Endpoint> endpoints;
        for (const auto& view : others) {
            if (view.record.zone == self.zone)
                endpoints.push_back(view.record.peerEndpoint);
        }
        return endpoints;
    }

} // namespace

LoadTopology loadTopologyFor(const DaemonRecord& self, const std::vector<DaemonView>& others)
{
    if (others.size() < maximumMeshSize)
        return meshOf(others);
    auto zones = liveDaemonsByZone(self, others);
    const auto& ownZone = zones[self.zone];
    LoadTopology topology;
    topology.isMesh = false;
    auto rank = rankOf(ownZone, self.id);
    topology.isCollector = rank < collectorsPerZone;
    topology.sendsZoneSum = rank == 0;
    // A daemon that finds no other live one in its zone has lost its collectors or has just started.
    topology.ownWorkTargets = ownZone.size() == 1 ? allOfZone(self, others) : endpointsOf(ownZone, collectorsPerZone, self.id);
    if (topology.isCollector)
        topology.totalTargets = endpointsOf(ownZone, ownZone.size(), self.id);
    if (topology.sendsZoneSum)
        topology.zoneSumTargets = collectorsOfOtherZones(zones, self.zone);
    return topology;
}

} // namespace chestnut
