#pragma once

#include "gateway/members/DaemonDirectory.h"

namespace chestnut {

/** Up to this many daemons, each sends its work to all others. Larger fleets collect the work by zone, because the number
    of messages in a full mesh grows with the square of the fleet. */
constexpr size_t maximumMeshSize = 12;
/** Daemons in each zone that collect the work of the zone; the second one provides redundancy. */
constexpr size_t collectorsPerZone = 2;

/** The recipients of load messages from one daemon. */
struct LoadTopology {
    bool isMesh = true;
    bool isCollector = false; /**< sums up the work of its zone and sends the members the work of all zones */
    bool sendsZoneSum = false; /**< the first collector of a zone sends its sum to the collectors of the other zones */
    std::vector<Endpoint> ownWorkTargets; /**< receive the work of this daemon */
    std::vector<Endpoint> zoneSumTargets; /**< receive the sum of this zone */
    std::vector<Endpoint> totalTargets; /**< receive the work of all zones */

    bool operator==(const LoadTopology&) const = default;
};

/** Computes the topology from the state of the other daemons. A daemon that receives no messages from its zone sends to all
    daemons of the zone, until the first of them have become its collectors. */
LoadTopology loadTopologyFor(const DaemonRecord& self, const std::vector<DaemonView>& others);

} // namespace chestnut
