#pragma once

#include "base/errors/Result.h"
#include "decisions/claims/ClaimKey.h"
#include "decisions/claims/ClaimLog.h"

#include <nlohmann/json.hpp>
#include <string>

namespace chestnut {

/** The keys of a shard's log: `claims/<epoch>/<shard>/<n>`, ordered by n. */
std::string claimRecordPrefix(ClaimEpoch, unsigned shard);
std::string claimRecordKey(ClaimEpoch, unsigned shard, uint64_t number);
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
