#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/accounts/AccountTable.h"
#include "decisions/scaling/ScalingProfile.h"
#include "decisions/urgency/ServicePriorities.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnut {

/** How often a request of a route may run. */
enum class RouteKind : uint8_t {
    Idempotent, /**< may run more than once */
    NonIdempotent, /**< runs at most once for each attempt of the client */
    Streaming, /**< server-sent events; may run again only where the route is resumable */
};

/** One destination of a route and its share of the traffic. */
struct TrafficShare {
    ServiceId service;
    uint32_t weight = 1;

    bool operator==(const TrafficShare&) const = default;
};

/** One rule of the routing configuration. */
struct Route {
    std::string name;
    std::string host;
    std::string prefix; /**< begins and ends with a slash */
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout = std::chrono::seconds(30); /**< longest time from the arrival to the final response */
    Duration latencyObjective = std::chrono::seconds(1); /**< to the response, or to the first event of a stream */
    Duration gapObjective = std::chrono::milliseconds(200); /**< longest pause between two events of a stream */
    uint32_t priority = 0; /**< zero is the most urgent */
    std::vector<TrafficShare> shares;
    uint32_t maximumAttempts = 1; /**< replicas that one attempt of the client may be sent to */
    bool isResumable = false; /**< a stream may go on at another replica */
    bool isPublic = false; /**< requests need no key */

    bool operator==(const Route&) const = default;
};

/** Configured properties of the engines of one service. Absent for plain services. */
struct EngineProfile {
    uint32_t slots = 1;
    uint64_t cacheTokens = 0; /**< tokens that the KV cache of one engine holds */
    Duration handleValidity = std::chrono::seconds(5); /**< of a handle to KV cache that waits for its decode */
    Duration roleChangeTime = std::chrono::seconds(3);

    bool operator==(const EngineProfile&) const = default;
};

struct ServiceProfile {
    ServiceId id;
    std::string healthPath;
    uint32_t maximumConnections = 0; /**< of all callers together; zero: unknown */
    std::optional<EngineProfile> engine;
    std::optional<ScalingProfile> scaling; /**< absent where the number of replicas is fixed */

    bool operator==(const ServiceProfile&) const = default;
};

/** Limits on the requests and connections of clients. */
struct ClientLimits {
    size_t maximumHeader = 16 << 10; /**< bytes */
    size_t maximumBody = 4 << 20; /**< bytes */
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const ClientLimits&) const = default;
};

/** One accepted version of the routing configuration. */
struct RoutingConfiguration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceProfile> services;
    ClientLimits limits;
    std::optional<std::vector<ClientAccount>> accounts; /**< absent where requests need no key */

    bool operator==(const RoutingConfiguration&) const = default;
};

/** Finds routes by host and longest prefix. Built once for each configuration, because every request needs a
    lookup and a configuration may hold hundreds of routes. */
class RouteTable {
public:
    RouteTable() = default;
    /** The secret hides the positions of the accounts' keys; see AccountTable. */
    explicit RouteTable(RoutingConfiguration, const DigestSecret& = {});
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;
    RouteTable(RouteTable&&) = default;
    RouteTable& operator=(RouteTable&&) = default;
    ~RouteTable() = default;

    /** The route with the longest prefix of the path; null when none matches. A port in the host is ignored. */
    const Route* find(std::string_view host, std::string_view path) const;

    const ServiceProfile* service(const ServiceId&) const;
    /** The shortest latency objective of the streaming routes to a service; zero when there is none. */
    Duration shortestObjective(const ServiceId&) const;
    /** The longest timeout of the routes whose streams may be resumed; zero when there is none. */
    Duration longestResumableTimeout() const { return m_longestResumableTimeout; }
    /** The client accounts; null where requests need no key. */
    const AccountTable* accounts() const { return m_accounts ? &*m_accounts : nullptr; }
    /** The priorities that requests to a service can have: those of its routes and of the accounts. */
    const ServicePriorities& prioritiesOf(const ServiceId&) const;
    const RoutingConfiguration& configuration() const { return m_configuration; }

private:
    RoutingConfiguration m_configuration;
    std::unordered_map<std::string, std::vector<size_t>> m_routesOfHost; /**< longest prefix first */
    std::unordered_map<ServiceId, size_t> m_services;
    std::unordered_map<ServiceId, Duration> m_shortestObjectives;
    Duration m_longestResumableTimeout {};
    std::optional<AccountTable> m_accounts; /**< refers to the accounts of the configuration */
    std::unordered_map<ServiceId, ServicePriorities> m_priorities;
};

/** The service for one request: shares are weighted, equal hashes get equal services. Asserts that there is a share. */
const ServiceId& serviceFor(const Route&, uint64_t hash);

} // namespace chestnut
