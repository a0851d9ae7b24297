#pragma once

#include "base/digest/Digest.h"
#include "base/ids/StrongId.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chestnut {

/** One daemon's claim of one call. */
struct ClaimEntry {
    Digest id; /**< of account and key */
    Digest content; /**< of the call's body */
    Digest nonce; /**< unique to this claim; the daemon that made it may dispatch the call */
    DaemonId holder; /**< the daemon that made the claim */

    auto operator<=>(const ClaimEntry&) const = default;
};

/** One record of a shard's log. */
struct ClaimRecord {
    Digest nonce; /**< unique to this record; identifies it when the response to its write was lost */
    std::vector<ClaimEntry> entries;

    bool operator==(const ClaimRecord&) const = default;
};

/** The replayed log of one shard: the first claim of each call is the winning one, later ones have no effect. */
struct ClaimLog {
    uint64_t next = 0; /**< number of the first record that was not applied */
    std::unordered_map<Digest, ClaimEntry> claims;
};

/** Applies the record with the number `log.next`. */
void appendRecord(ClaimLog&, const ClaimRecord&);

/** The winning claim of the call, if there is one. */
std::optional<ClaimEntry> findClaim(const ClaimLog&, const Digest& id);

/** Result of a claim, compared with the winning claim of the call. */
enum class ClaimOutcome : uint8_t {
    Granted, /**< the same claim */
    AlreadyClaimed, /**< another claim of the same call */
    OtherContent, /**< another claim with another body */
};
ClaimOutcome classifyClaim(const ClaimEntry& winning, const ClaimEntry& own);

/** Result of reading back a record after its write. */
enum class RecordWriteOutcome : uint8_t {
    Written, /**< the record is there */
    Superseded, /**< another writer's record has its number, so this one can never be written */
    Absent, /**< there is no record of its number: the write had no effect, or has none yet */
    Closed, /**< the epoch is closed; it is unknown whether the record was written before */
};
RecordWriteOutcome classifyRecordWrite(const Digest& nonce, const std::optional<ClaimRecord>& found, bool isClosed);

/** Limits of one record, below the key-value service's limit of 1 MB after Base64 in a transaction. */
constexpr size_t maximumRecordBytes = 512'000;
constexpr size_t maximumRecordEntries = 4096;
/** Upper bound of an entry's encoded size without its holder's name. */
constexpr size_t entryBytes = 80;

/** The entries for the next record: in the given order, one for each call, none that the log already has, within the
    limits. Entries that are left out remain for a later record. */
std::vector<ClaimEntry> buildBatch(const ClaimLog&, std::span<const ClaimEntry> waiting, size_t maximumBytes = maximumRecordBytes, size_t maximumEntries = maximumRecordEntries);

} // namespace chestnut
