#pragma once

#include "base/digest/Digest.h"
#include "base/ids/StrongId.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chestnut {

enum class EngineRole : uint8_t {
    Mixed,
    Prefill,
    Decode,
};

/** Whether the system may change an engine's role by itself. */
enum class RolePolicy : uint8_t {
    Automatic,
    Fixed,
};

/** Desired membership of an engine or a backend server. */
enum class Membership : uint8_t {
    Joined,
    Leaving,
};

struct ModelSpec {
    ModelId id;
    std::string version;
    std::vector<std::string> adapters;
    uint64_t weightBytes = 0;
    TicketNumber setBy = 0; /**< the ticket that last set this object */

    auto operator<=>(const ModelSpec&) const = default;
};

struct EngineSpec {
    EngineId id;
    std::string address; /**< IP address and port */
    AvailabilityZone zone;
    Region region;
    ModelId model;
    EngineRole role = EngineRole::Mixed;
    RolePolicy rolePolicy = RolePolicy::Automatic;
    Membership membership = Membership::Joined;
    uint32_t slots = 32; /**< sequences that run at once */
    bool checksFencing = true;
    TicketNumber setBy = 0;

    auto operator<=>(const EngineSpec&) const = default;
};

struct BackendServerSpec {
    ReplicaId id;
    ServiceId service;
    std::string address; /**< IP address and port */
    AvailabilityZone zone;
    Region region;
    Membership membership = Membership::Joined;
    uint32_t slots = 32; /**< calls that run at once */
    bool checksFencing = false;
    TicketNumber setBy = 0;

    auto operator<=>(const BackendServerSpec&) const = default;
};

struct AccountSpec {
    AccountId id;
    double weight = 1; /**< share relative to other accounts */
    uint32_t maximumInFlight = 0; /**< requests a daemon; zero means no limit of its own */
    TicketNumber setBy = 0;

    auto operator<=>(const AccountSpec&) const = default;
};

/** Limits that hold for the whole deployment. */
struct LimitsSpec {
    uint32_t maximumQueue = 256; /**< requests waiting at one daemon */
    uint32_t minimumReplicasPerModelZone = 1; /**< floor for role changes and drains */
    uint32_t maximumConcurrentLoads = 1; /**< engines that load weights at once */
    TicketNumber setBy = 0;

    auto operator<=>(const LimitsSpec&) const = default;
};

/** Number, content and revision of an accepted ticket. */
struct AcceptedTicket {
    TicketNumber number = 0;
    Digest content;
    Revision revision = 0;

    auto operator<=>(const AcceptedTicket&) const = default;
};

/** Maximum number of entries in Configuration::removedBy; removalFloor covers older removals. */
constexpr size_t maximumRecordedRemovals = 512;
/** Maximum number of entries in Configuration::recentTickets; ticketFloor covers older tickets. */
constexpr size_t maximumRecentTickets = 256;

/** The whole accepted state. Maps are keyed by the object's id. */
struct Configuration {
    Revision revision = 0;
    std::map<std::string, ModelSpec> models;
    std::map<std::string, EngineSpec> engines;
    std::map<std::string, BackendServerSpec> backendServers;
    std::map<std::string, AccountSpec> accounts;
    LimitsSpec limits;
    std::vector<AcceptedTicket> recentTickets; /**< newest last, at most 256 */
    std::map<std::string, TicketNumber> removedBy; /**< by object key, so that an older ticket cannot restore the object */
    TicketNumber removalFloor = 0; /**< highest ticket number that was dropped from removedBy */
    /** Highest ticket number that was dropped from recentTickets. The records of tickets up to it may be removed, so no
        ticket up to it is accepted any more. */
    TicketNumber ticketFloor = 0;

    bool operator==(const Configuration&) const = default;
};

} // namespace chestnut
