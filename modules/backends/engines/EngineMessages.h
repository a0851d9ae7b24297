#pragma once

#include "backends/engines/EngineClient.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace chestnut {

/** JSON formats of section 2.2 of the design. The parsers fail with ProtocolError. */
nlohmann::json toJson(const EngineLoad&);
nlohmann::json toJson(const EngineOrder&);
nlohmann::json toJson(const EngineState&);
nlohmann::json toJson(const CacheEvent&);
Result<EngineLoad> parseEngineLoad(std::string_view);
Result<EngineOrder> parseEngineOrder(std::string_view);
Result<EngineState> parseEngineState(std::string_view);
Result<std::vector<CacheEvent>> parseCacheEvents(std::string_view);

std::string_view wireName(EngineRole);

} // namespace chestnut
