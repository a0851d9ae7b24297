#pragma once

#include "gateway/members/LoadMessage.h"

#include <nlohmann/json.hpp>

namespace chestnut {

/* Included only by the source files of load messages. */

nlohmann::json encodeLosses(const std::vector<LostAttemptReport>& losses);

std::vector<LostAttemptReport> decodeLosses(const nlohmann::json& list);

nlohmann::json encodeSuccesses(const std::vector<SuccessReport>& successes);

std::vector<SuccessReport> decodeSuccesses(const nlohmann::json& list);

nlohmann::json encodeEngineCrashes(const std::vector<EngineCrashReport>& reports);

std::vector<EngineCrashReport> decodeEngineCrashes(const nlohmann::json& list);

nlohmann::json encodePartBegins(const std::vector<PartBeginReport>& reports);

std::vector<PartBeginReport> decodePartBegins(const nlohmann::json& list);

nlohmann::json encodeEntries(const std::vector<ReplicaEntry>& entries);

/** Decodes the entries of replicas that are not leaving; the leaving ones are in a separate list. */
std::vector<ReplicaEntry> decodeEntries(const nlohmann::json& list);

nlohmann::json encodePauses(const std::vector<PausedReplica>& pauses);

std::vector<PausedReplica> decodePauses(const nlohmann::json& list);

nlohmann::json encodeLeaving(const std::vector<LeavingReplica>& replicas);

std::vector<LeavingReplica> decodeLeaving(const nlohmann::json& list);

nlohmann::json encodeRefusals(const std::vector<RefusalReport>& reports);

std::vector<RefusalReport> decodeRefusals(const nlohmann::json& list);

nlohmann::json encodeRateLimits(const std::vector<RateLimitReport>& reports);

std::vector<RateLimitReport> decodeRateLimits(const nlohmann::json& list);

} // namespace chestnut
