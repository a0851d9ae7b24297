#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/placement/PromptPlacement.h"
#include "http/message/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chestnut {

/** The client account that a request's key has authenticated. */
struct RequestAccount {
    AccountId id;
    std::optional<uint32_t> priority; /**< takes precedence over that of the route; zero is the most urgent */

    bool operator==(const RequestAccount&) const = default;
};

/** What a client says of a stream that it has received a part of and takes up again. */
struct StreamResumption {
    std::optional<RequestId> firstAttempt; /**< the attempt that brought the first event; absent where the client has not named one */

    bool operator==(const StreamResumption&) const = default;
};

/** One client request, routed by host and path; its body is opaque. */
struct RoutedRequest {
    RequestId id;
    std::string host;
    HttpRequest forwarded; /**< method, target, body and the headers that are forwarded to a replica */
    std::optional<PromptShape> prompt;
    std::optional<Duration> timeLeft; /**< at the arrival; absent when the client specifies no timeout */
    TimePoint arrival;
    std::string key; /**< that the client sent; removed by the authentication, never logged */
    std::optional<RequestAccount> account; /**< for the calls to replicas; absent on public routes and where there are no accounts */
    /** Whether the field that carries the key is forwarded like any other. True only where no accounts are configured. */
    bool forwardsKey = false;
    std::optional<StreamResumption> resumption; /**< absent for a new request */
};

/** Refers to KV cache held by a prefill engine. It can be fetched once. */
struct CacheHandle {
    std::string source; /**< IP:PORT of the engine */
    std::string id;
    ReplicaId engine;
    SoftwareVersion version; /**< of the engine; no other version can read the cache */

    bool operator==(const CacheHandle&) const = default;
};

} // namespace chestnut
