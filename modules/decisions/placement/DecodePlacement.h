#pragma once

#include "decisions/placement/PromptPlacement.h"

namespace chestnut {

/** What the placement of one decode needs to know beyond the engines. */
struct DecodeNeed {
    Duration occupancy {}; /**< mean time that a request occupies a slot; zero while unknown */
    Duration timeLeft {};
    Duration startsIn {}; /**< when the decode begins at the earliest, after the prefill */
    bool hasMoreUrgent = false; /**< more urgent requests to the service are possible */
    uint32_t keptFree = 0; /**< slots of the service that are left to more urgent requests */
    double waitingAhead = 0; /**< requests of the fleet that wait for a slot or are prefilled, and are not less urgent */
    uint64_t choice = 0; /**< decides between engines that are equally good; differs between requests */
    AvailabilityZone ownZone;
};

enum class DecodeAction : uint8_t {
    Call,
    Wait, /**< in the daemon, until an engine has room */
    Refuse, /**< no slot is expected to be free in time */
};

struct DecodeDecision {
    DecodeAction action = DecodeAction::Refuse;
    size_t index = 0; /**< in the views, of the engine to be called */
    Duration expectedWait {}; /**< after the prefill */

    bool operator==(const DecodeDecision&) const = default;
};

/** Whether a decode is called now, waits or is refused. For decode engines that are nearly full and many daemons whose counts of
    each other's requests are old: a call that a full engine refuses costs a retry, and the prompt may have been read in vain, so an engine is called
    only while it has room below the load at which it refuses. Among engines that are equally good, one request more or less, daemons choose
    differently. A less urgent request takes only slots that are free beyond those kept for more urgent ones, whereas the most
    urgent requests are also sent to the queues of the engines, which admit them first. A request is refused when the requests that
    are served before it exceed the engines' capacity for the time left, or a multiple of their slots. */
DecodeDecision placeDecode(std::span<const PlacementView>, const DecodeNeed&);

/** The engine for a request that can wait no longer: the least occupied one that does not refuse. */
std::optional<size_t> lastResortEngine(std::span<const PlacementView>, const AvailabilityZone& ownZone);

} // namespace chestnut
