#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/placement/PromptPlacement.h"
#include "http/message/HttpMessage.h"

#include <optional>
#include <string>

namespace chestnut {

/** One attempt of a client: an opaque request that is routed by host and path. */
struct RoutedRequest {
    RequestId id;
    std::string host;
    HttpRequest forwarded; /**< method, target, body and the headers that go on to a replica */
    std::optional<PromptShape> prompt;
    std::optional<Duration> timeLeft; /**< at the arrival; absent when the client states none */
    TimePoint arrival;
};

/** KV cache that waits at a prefill engine. It can be taken once. */
struct CacheHandle {
    std::string source; /**< IP:PORT of the engine */
    std::string id;

    bool operator==(const CacheHandle&) const = default;
};

} // namespace chestnut
