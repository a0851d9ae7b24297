#include "decisions/streams/DefaultVersion.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Of equally frequent versions the first one, so that daemons choose the same. */
    std::optional<SoftwareVersion> mostFrequent(const VersionCounts& counts)
    {
        auto found = std::ranges::max_element(counts, {}, [](const auto& entry) { return entry.second; });
        return found == counts.end() ? std::nullopt : std::optional(found->first);
    }

} // namespace

void recordPresence(VersionPresence& presence, VersionCounts counts, TimePoint now)
{
    presence.counts = std::move(counts);
    for (const auto& [version, engines] : presence.counts)
        presence.lastSeenAt[version] = now;
}

std::optional<DefaultVersion> nextDefaultVersion(const std::optional<DefaultVersion>& present, const VersionPresence& presence, TimePoint now, Duration streamLifetime)
{
    auto candidate = mostFrequent(presence.counts);
    if (!candidate)
        return std::nullopt;
    if (!present)
        return DefaultVersion { *candidate, 1 };
    auto lastSeen = presence.lastSeenAt.find(present->version);
    auto mayHaveStreams = presence.counts.contains(present->version) || lastSeen == presence.lastSeenAt.end() || now - lastSeen->second < streamLifetime;
    if (mayHaveStreams)
        return std::nullopt;
    return DefaultVersion { *candidate, present->generation + 1 };
}

bool needsVersionRecord(const std::optional<DefaultVersion>& present, const SoftwareVersion& version)
{
    return !present || present->version != version;
}

} // namespace chestnut
