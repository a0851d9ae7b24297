#pragma once

#include "base/ids/StrongId.h"

#include <cstdint>
#include <vector>

namespace chestnut {

/** Holders in one notice. A few are enough to spread the fetches; load messages repeat them. */
constexpr size_t maximumHolders = 4;

/** What a daemon's load messages say about its configuration. */
struct ConfigurationNotice {
    uint64_t version = 0; /**< in force at the sender; zero: none */
    bool isSettled = false; /**< the sender has compared its version with those of its peers since it started */
    std::vector<DaemonId> holders; /**< some other daemons with this version; only from collectors, shortly after a change */

    bool operator==(const ConfigurationNotice&) const = default;
};

} // namespace chestnut
