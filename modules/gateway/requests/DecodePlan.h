#pragma once

#include "decisions/placement/DecodePlacement.h"
#include "gateway/requests/RelayContext.h"

namespace chestnut {

/** The state of a request for which a decode is placed. */
struct DecodeState {
    Duration startsIn {}; /**< until the prefill that begins now has ended; zero without one */
    bool isWaiting = false; /**< it is the first of the waiting requests of this daemon */
    uint32_t calls = 0; /**< made so far */
    std::optional<SoftwareVersion> cacheVersion; /**< of the KV cache that the decode reads; absent without one */
};

/** A decision on a decode and what it was based on. */
struct DecodePlan {
    std::vector<ReplicaEntry> engines;
    std::vector<PlacementView> views; /**< of the engines */
    DecodeNeed need;
    DecodeDecision decision;

    /** The error if the request is refused. */
    Error refusal() const;
};

/** Decides on the decode of a request from what the daemon knows now. */
DecodePlan planDecode(const RelayContext&, const DecodeState&);

/** Describes the engines, their requests in flight and the number of ejected ones. */
std::string describeLoad(const std::vector<PlacementView>&);

} // namespace chestnut
