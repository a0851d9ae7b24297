#pragma once

#include "base/digest/Digest.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace chestnut {

/** Losses after which a request digest is quarantined. */
constexpr uint32_t lossesToQuarantine = 2;
constexpr Duration quarantineTime = std::chrono::minutes(10);

/** Losses of replicas counted against one request digest. */
struct LossHistory {
    std::set<ReplicaId> lostReplicas; /**< distinct replicas lost while the request ran there */
    TimePoint lastLoss;
    bool ranAlone = false; /**< it was the only request at a replica that was lost */

    auto operator<=>(const LossHistory&) const = default;
};

struct QuarantineTable {
    std::map<Digest, LossHistory> lossHistories;
    size_t maximumEntries = 4096;
};

/** Counts the loss of a replica against all requests that ran there. */
void recordLoss(QuarantineTable&, const ReplicaId&, std::span<const Digest> running, TimePoint now);

/** Clears a request that completed: it did not crash its backend. */
void recordCompletion(QuarantineTable&, const Digest&);

/** Merges a peer's history of the same request. */
void mergeLossHistory(QuarantineTable&, const Digest&, const LossHistory&, TimePoint now);

bool isQuarantined(const QuarantineTable&, const Digest&, TimePoint now);

/** Whether the request must run without others beside it, so that a second loss identifies the request that causes the
    losses. */
bool mustRunIsolated(const QuarantineTable&, const Digest&, TimePoint now);

void expireLossHistories(QuarantineTable&, TimePoint now);

} // namespace chestnut
