#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/membership/Member.h"
#include "decisions/tickets/Configuration.h"

#include <optional>
#include <span>

namespace chestnut {

/** Time to live of the key-value session. */
constexpr Duration leaseDuration = std::chrono::seconds(10);
/** An order has taken effect or never will, this long after it was sent. */
constexpr Duration orderTimeout = std::chrono::seconds(3);
/** Covers differences of clock rates and the delay between the check and the send. */
constexpr Duration leaseMargin = std::chrono::seconds(1);
/** Allows three attempts within one lease. */
constexpr Duration leaseRenewalPeriod = std::chrono::seconds(3);
/** Wait of a successor after it saw the end of the former holder's session: that holder's lease and orders have ended by
    then. */
constexpr Duration successorWait = leaseDuration + orderTimeout + leaseMargin;
/** Daemons of each zone that hold the blocking query on the configuration; the second covers the loss of the first. */
constexpr size_t configurationWatchersPerZone = 2;

/** A lease as its holder sees it, on the holder's own steady clock. */
struct Lease {
    EngineGroupId group;
    FencingNumber number = 0; /**< LockIndex of the lease key */
    TimePoint renewedAt; /**< before the last successful renewal was sent */
    TimePoint ordersAllowedFrom; /**< end of the successor's wait */

    auto operator<=>(const Lease&) const = default;
};

TimePoint leaseEnd(const Lease&);
bool isHeld(const Lease&, TimePoint now);

/** Whether an order that is sent now has taken effect or failed before the lease ends. */
bool mayOrder(const Lease&, TimePoint now);

/** Engines are grouped by zone and model. */
EngineGroupId groupOf(const EngineSpec&);

/** The member that should hold the group: among ready members of its region, or of all regions when it has none there. */
std::optional<DaemonId> preferredHolder(const EngineGroupId&, const Region&, std::span<const MemberRecord>);

/** Whether the daemon is one of the two of its zone that hold the blocking query on the configuration. */
bool isConfigurationWatcher(const DaemonId&, std::span<const MemberRecord>);

} // namespace chestnut
