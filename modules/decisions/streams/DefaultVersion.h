#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <cstdint>
#include <map>
#include <optional>

namespace chestnut {

/** Software versions of the engines of one service, and the number of engines that have each. */
using VersionCounts = std::map<SoftwareVersion, uint32_t>;

/** The version of all streams of a service that have no record. All daemons agree on it; each change has a higher generation. */
struct DefaultVersion {
    SoftwareVersion version;
    uint64_t generation = 0;

    bool operator==(const DefaultVersion&) const = default;
};

/** When engines of each version of a service were last listed. */
struct VersionPresence {
    VersionCounts counts; /**< of the engines that are listed now */
    std::map<SoftwareVersion, TimePoint> lastSeenAt;

    bool operator==(const VersionPresence&) const = default;
};

/** Records the engines that are listed now. */
void recordPresence(VersionPresence&, VersionCounts, TimePoint now);

/** The default that replaces the present one, if it is due: the first one; or, once no stream can go on that has begun at the present default
    without a record, that of most engines. `streamLifetime` is the longest time from the last sight of a version to the end of its streams. */
std::optional<DefaultVersion> nextDefaultVersion(const std::optional<DefaultVersion>& present, const VersionPresence&, TimePoint now, Duration streamLifetime);

/** Whether a stream that begins at this version must have a record before its client receives an event, so that any daemon can find the
    version of a stream that is resumed. */
bool needsVersionRecord(const std::optional<DefaultVersion>&, const SoftwareVersion&);

} // namespace chestnut
