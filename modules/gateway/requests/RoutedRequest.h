#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/placement/PromptPlacement.h"
#include "http/message/HttpMessage.h"

#include <optional>
#include <string>

namespace chestnut {

/** One client request, routed by host and path; its body is opaque. */
struct RoutedRequest {
    RequestId id;
    std::string host;
    HttpRequest forwarded; /**< method, target, body and the headers that are forwarded to a replica */
    std::optional<PromptShape> prompt;
    std::optional<Duration> timeLeft; /**< at the arrival; absent when the client specifies no timeout */
    TimePoint arrival;
};

/** Refers to KV cache held by a prefill engine. It can be fetched once. */
struct CacheHandle {
    std::string source; /**< IP:PORT of the engine */
    std::string id;
    ReplicaId engine;

    bool operator==(const CacheHandle&) const = default;
};

} // namespace chestnut
