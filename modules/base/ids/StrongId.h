#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace chestnut {

/** A string identifier with a type of its own, so that identifiers of different kinds cannot be mixed up. */
template <typename Tag>
class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const StrongId&) const = default;

private:
    std::string m_value;
};

using DaemonId = StrongId<struct DaemonTag>;
using AvailabilityZone = StrongId<struct AvailabilityZoneTag>;
using Region = StrongId<struct RegionTag>;
using AccountId = StrongId<struct AccountTag>;
using ModelId = StrongId<struct ModelTag>;
using EngineId = StrongId<struct EngineTag>;
/** Identifies an engine or a backend server to which requests are routed. */
using ReplicaId = StrongId<struct ReplicaTag>;
/** Identifies a plain service, such as order processing, that runs on several backend servers. */
using ServiceId = StrongId<struct ServiceTag>;
using RequestId = StrongId<struct RequestTag>;
/** Version of a replica's software, not of the weights that it serves. Versions have no order. */
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
/** Identifies a group of engines; one daemon at a time may send orders to them. */
using EngineGroupId = StrongId<struct EngineGroupTag>;

/** Distinguishes successive runs of a daemon with the same id; larger is newer. */
using Incarnation = uint64_t;
/** Revision of the accepted configuration; increases monotonically. */
using Revision = uint64_t;
/** Increases with each acquisition of a lease, so that orders of earlier holders can be rejected. */
using FencingNumber = uint64_t;
using TicketNumber = uint64_t;

} // namespace chestnut

template <typename Tag>
struct std::hash<chestnut::StrongId<Tag>> {
    size_t operator()(const chestnut::StrongId<Tag>& id) const { return std::hash<std::string> {}(id.value()); }
};
