#pragma once

#include "gateway/members/LoadMessage.h"

#include <nlohmann/json.hpp>

namespace chestnut {

/* Included only by the source files of load messages. */

nlohmann::json encodeWork(const std::vector<ReplicaWork>& work);

/** The work by position, for the items whose three sums of tokens do not say it: index of the item, then position, tokens and
    decode requests of each position with work. */
nlohmann::json encodeOrders(const std::vector<ReplicaWork>& work);

std::vector<ReplicaWork> decodeWork(const nlohmann::json& list);

void decodeOrders(const nlohmann::json& list, std::vector<ReplicaWork>& work);

nlohmann::json encodeSamples(const std::vector<ServiceSamples>& list);

std::vector<ServiceSamples> decodeSamples(const nlohmann::json& items);

nlohmann::json encodeCapacities(const std::vector<CapacitySamples>& list);

CapacitySamples decodeCapacity(const nlohmann::json& item);

nlohmann::json encodeAccountUse(const std::vector<ServiceUse>& list);

/** Daemons of earlier versions send no use. */
std::vector<ServiceUse> decodeAccountUse(const nlohmann::json& document);

nlohmann::json encodeDemands(const std::vector<RequestDemand>& list);

std::vector<RequestDemand> decodeDemands(const nlohmann::json& items);

} // namespace chestnut
