#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <map>
#include <optional>

namespace chestnut {

/** A replica that asks for more gets a request after this time, so that a faulty value cannot stop a service for good. */
constexpr Duration longestBackoff = std::chrono::seconds(60);

/** Replicas that have refused a request of this daemon and want no further one for some time. */
struct ReplicaBackoffs {
    std::map<ReplicaId, TimePoint> ends;
};

/** Applies the time for which a replica wants no requests. It does not shorten an earlier one, since each refusal holds for
    the whole time that it names. Returns whether the end has moved. */
bool applyBackoff(ReplicaBackoffs&, const ReplicaId&, Duration, TimePoint now);

/** The end of a backoff in progress. */
std::optional<TimePoint> backoffEnd(const ReplicaBackoffs&, const ReplicaId&, TimePoint now);

/** Erases the backoffs that have ended. */
void expireBackoffs(ReplicaBackoffs&, TimePoint now);

} // namespace chestnut
