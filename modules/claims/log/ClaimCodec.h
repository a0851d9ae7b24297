#pragma once

#include "base/errors/Result.h"
#include "decisions/claims/ClaimKey.h"
#include "decisions/claims/ClaimLog.h"

#include <nlohmann/json.hpp>
#include <string>

namespace chestnut {

/** Maximum records read by one call: about 230 KB with one claim in each. */
constexpr uint64_t claimPageRecords = 1000;

/** Key prefix of the records of all logs of a shard. */
std::string claimRecordPrefix(ClaimEpoch, unsigned shard);
/** Key of a log record: `claims/<epoch>/<shard>/<slice>/<n>`, zero-padded so that keys sort by n. */
std::string claimRecordKey(const ClaimLogId&, uint64_t number);
/** Key prefix of the page that starts at record `page * claimPageRecords`: the key without its last three digits. */
std::string claimPagePrefix(const ClaimLogId&, uint64_t page);
/** Key of the tombstone of a closed shard, outside the log's prefix so that it outlives the removal of the log. */
std::string claimTombstoneKey(ClaimEpoch, unsigned shard);

/** Encodes a record as CBOR. */
std::string encodeRecord(const ClaimRecord&);
/** Decodes a record. Fails with ProtocolError. */
Result<ClaimRecord> decodeRecord(const std::string&);

/** JSON form of an entry in messages between daemons. */
nlohmann::json entryToJson(const ClaimEntry&);
/** Throws nlohmann::json::exception or std::invalid_argument. */
ClaimEntry entryFromJson(const nlohmann::json&);

} // namespace chestnut
