#pragma once

#include "base/digest/Digest.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace chestnut {

/** Number of a period of claimEpochLength since 1970. */
using ClaimEpoch = int64_t;

constexpr unsigned claimShards = 16;
constexpr UnixSeconds claimEpochLength = std::chrono::hours(6);
/** Each slice of an epoch has its own log, so that a new writer replays the claims of 10 minutes and not of 6 hours: at 10
    claims/s for each shard that is 6,000 records instead of 216,000. */
constexpr UnixSeconds claimSliceLength = std::chrono::minutes(10);
constexpr UnixSeconds sharedKeyLifetime = std::chrono::hours(24);
/** Claims of daemon keys are kept in the daemon's memory, about 150 bytes each, until the key expires: an hour of 10
    calls/s takes 5 MB, a day would exceed the daemon's memory budget. */
constexpr UnixSeconds daemonKeyLifetime = std::chrono::hours(1);
/** How far a key's time may be ahead of this daemon's clock; covers the clock error of both sides. */
constexpr UnixSeconds longestKeyLead = std::chrono::minutes(10);
/** An epoch is closed this long after its end, when all its keys have been expired for at least 2 hours. */
constexpr UnixSeconds claimEpochGrace = std::chrono::hours(26);
constexpr size_t maximumKeyLength = 128;

/** The parts of an idempotency key: `<unix seconds>-<random>` (shared) or `<prefix>.<unix seconds>-<random>` (daemon). */
struct ClaimKey {
    std::string ownerPrefix; /**< identifies the incarnation that owns a daemon key; empty for a shared key */
    UnixSeconds time { 0 };

    bool isShared() const { return ownerPrefix.empty(); }
    auto operator<=>(const ClaimKey&) const = default;
};

enum class KeyAge : uint8_t {
    Valid,
    Expired,
    Ahead, /**< further in the future than a clock error explains */
};

/** Nothing when the key has another form, is longer than maximumKeyLength or has other characters than
    `[A-Za-z0-9._-]`. */
std::optional<ClaimKey> parseClaimKey(std::string_view);
KeyAge keyAge(const ClaimKey&, UnixSeconds now);

ClaimEpoch claimEpochOf(UnixSeconds);
/** True when the epoch's claims may be removed. */
bool isEpochClosable(ClaimEpoch, UnixSeconds now);

/** Identifies one log of claims. Derived from the key alone, so that all daemons look for a key in the same log. */
struct ClaimLogId {
    ClaimEpoch epoch = 0;
    unsigned shard = 0;
    unsigned slice = 0; /**< of the epoch, by the key's time */

    auto operator<=>(const ClaimLogId&) const = default;
};
ClaimLogId claimLogOf(const ClaimKey&, const Digest& claimId);

/** Identifies a call: accounts do not share keys. */
Digest claimIdOf(const AccountId&, std::string_view key);
unsigned claimShardOf(const Digest& claimId);

/** The prefix of the daemon keys that an incarnation owns. */
std::string daemonKeyPrefix(const DaemonId&, Incarnation);

} // namespace chestnut
