#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/leases/Order.h"

#include <nlohmann/json.hpp>

namespace chestnut {

/** Message with which the holder of an engine's group tells all daemons that the engine goes away or has returned. */
constexpr auto engineNoticeMessage = "engineNotice";
/** A notice that an engine is away ends by itself when its holder stops repeating it. */
constexpr Duration noticeValidity = std::chrono::seconds(12);
constexpr Duration noticePeriod = std::chrono::seconds(4);

struct EngineNotice {
    EngineId engine;
    bool isUnavailable = false;
    EngineRole role = EngineRole::Mixed;
    FencingNumber fencingNumber = 0;
    uint64_t counter = 0; /**< grows with each notice under one fencing number */

    auto operator<=>(const EngineNotice&) const = default;
};

nlohmann::json noticeToJson(const EngineNotice&);
/** Fails with ProtocolError. */
Result<EngineNotice> noticeFromJson(const nlohmann::json&);

std::string encodeIntent(const OrderIntent&);
/** Fails with ProtocolError. */
Result<OrderIntent> decodeIntent(const std::string&);

nlohmann::json desiredToJson(const DesiredEngine&);

constexpr std::string_view intentPrefix = "orders/";

} // namespace chestnut
