#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <cstdint>
#include <map>
#include <optional>

namespace chestnut {

/** Longer times are read as this one, so that a faulty value cannot stop a service for good. */
constexpr Duration longestBackoff = std::chrono::hours(1);

/** The time in which one process start wants no requests of this daemon. */
struct ReplicaBackoff {
    int64_t startedAt = 0; /**< Unix milliseconds; later starts have not asked for anything */
    TimePoint end;

    auto operator<=>(const ReplicaBackoff&) const = default;
};

/** Replicas that have refused a request of this daemon and want no further one for some time. */
struct ReplicaBackoffs {
    std::map<ReplicaId, ReplicaBackoff> backoffs;
};

/** Applies the time for which a replica wants no requests. It does not shorten an earlier one, since each refusal holds for
    the whole time that it names. Returns whether the end has moved. */
bool applyBackoff(ReplicaBackoffs&, const ReplicaId&, int64_t startedAt, Duration, TimePoint now);

/** The end of a backoff in progress. */
std::optional<TimePoint> backoffEnd(const ReplicaBackoffs&, const ReplicaId&, int64_t startedAt, TimePoint now);

/** Erases the backoffs that have ended. */
void expireBackoffs(ReplicaBackoffs&, TimePoint now);

} // namespace chestnut
