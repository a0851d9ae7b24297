#pragma once

#include "base/ids/StrongId.h"

#include <compare>
#include <cstdint>
#include <string>

namespace chestnut {

enum class MemberState : uint8_t {
    Joining, /**< has no configuration yet */
    Ready,
    Leaving, /**< finishes its work; accepts no new callers */
    Suspected,
    Dropped,
};

/** What a daemon announces about itself in heartbeats. */
struct MemberRecord {
    DaemonId id;
    Incarnation incarnation = 0;
    uint64_t counter = 0; /**< incremented with each heartbeat of the incarnation */
    MemberState state = MemberState::Joining;
    AvailabilityZone zone;
    Region region;
    std::string callerAddress; /**< IP address and port for callers */
    std::string peerAddress; /**< IP address and port for daemons */
    Revision revision = 0; /**< configuration in force at this daemon */
    uint32_t loadPermille = 0; /**< used share of its capacity, 0 to 1000; above when overloaded */

    auto operator<=>(const MemberRecord&) const = default;
};

} // namespace chestnut
