#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/leases/Order.h"

#include <nlohmann/json.hpp>

namespace chestnut {

/** Type of the message with which the holder of an engine's group notifies all daemons of the engine's availability. */
constexpr auto engineNoticeMessage = "engineNotice";
/** An unavailability notice expires after this time unless a newer one arrives. */
constexpr Duration noticeValidity = std::chrono::seconds(12);
/** Interval between the notices that the holder sends while the engine is unavailable. */
constexpr Duration noticePeriod = std::chrono::seconds(4);

struct EngineNotice {
    EngineId engine;
    bool isUnavailable = false;
    EngineRole role = EngineRole::Mixed;
    FencingNumber fencingNumber = 0;
    uint64_t counter = 0; /**< increases with each notice under one fencing number */

    auto operator<=>(const EngineNotice&) const = default;
};

nlohmann::json noticeToJson(const EngineNotice&);
/** Decodes a notice. Fails with ProtocolError. */
Result<EngineNotice> noticeFromJson(const nlohmann::json&);

std::string encodeIntent(const OrderIntent&);
/** Decodes an intent. Fails with ProtocolError. */
Result<OrderIntent> decodeIntent(const std::string&);

nlohmann::json desiredToJson(const DesiredEngine&);

constexpr std::string_view intentPrefix = "orders/";

} // namespace chestnut
