#pragma once

#include "base/errors/Result.h"
#include "decisions/claims/ClaimKey.h"
#include "decisions/claims/ClaimLog.h"

#include <nlohmann/json.hpp>
#include <string>

namespace chestnut {

/** Records that one call reads at most: about 230 KB with one claim in each. */
constexpr uint64_t claimPageRecords = 1000;

/** The records of all logs of a shard. */
std::string claimRecordPrefix(ClaimEpoch, unsigned shard);
/** The keys of a log: `claims/<epoch>/<shard>/<slice>/<n>`, ordered by n. */
std::string claimRecordKey(const ClaimLogId&, uint64_t number);
/** The prefix of the records from `page * claimPageRecords` up to the next page: the key without its last three digits. */
std::string claimPagePrefix(const ClaimLogId&, uint64_t page);
/** The tombstone of a closed shard. It lies outside the log's prefix, so that removing the log keeps it. */
std::string claimTombstoneKey(ClaimEpoch, unsigned shard);

/** A record as CBOR. */
std::string encodeRecord(const ClaimRecord&);
/** Fails with ProtocolError. */
Result<ClaimRecord> decodeRecord(const std::string&);

/** An entry in messages between daemons. */
nlohmann::json entryToJson(const ClaimEntry&);
/** Throws nlohmann::json::exception or std::invalid_argument. */
ClaimEntry entryFromJson(const nlohmann::json&);

} // namespace chestnut
