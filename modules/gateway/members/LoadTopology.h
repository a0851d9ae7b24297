#pragma once

#include "gateway/members/DaemonDirectory.h"

namespace chestnut {

/** Up to this many daemons, each tells all others of its work. Beyond it the work is collected by zone: the messages of a
    full mesh grow with the square of the fleet. */
constexpr size_t largestMesh = 12;
/** Daemons of each zone that collect the work of the zone; the second covers the loss of the first. */
constexpr size_t collectorsPerZone = 2;

/** Who tells whom of the work in flight, as one daemon sees it. */
struct LoadTopology {
    bool isMesh = true;
    bool isCollector = false; /**< sums up the work of its zone and tells the members the work of all zones */
    bool tellsOtherZones = false; /**< the first collector of a zone sends its sum to those of the other zones */
    std::vector<Endpoint> ownWorkTargets; /**< get the work of this daemon */
    std::vector<Endpoint> zoneSumTargets; /**< get the sum of this zone */
    std::vector<Endpoint> totalTargets; /**< get the work of all zones */

    bool operator==(const LoadTopology&) const = default;
};

/** The topology from what a daemon knows of the others. A daemon that hears no collector of its zone tells all daemons of
    the zone, until the first of them have noticed that they are the collectors. */
LoadTopology loadTopologyFor(const DaemonRecord& self, const std::vector<DaemonView>& others);

} // namespace chestnut
