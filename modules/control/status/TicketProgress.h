#pragma once

#include "decisions/membership/Member.h"
#include "decisions/tickets/Ticket.h"

#include <span>
#include <string>
#include <vector>

namespace chestnut {

/** What one daemon reports about an engine of a group that it holds. */
struct ReportedEngine {
    std::string engine;
    std::string phase; /**< `running` when the engine was observed in its desired state */
    std::string problem;
    Revision revision = 0; /**< of the configuration from which the desired state is derived */

    auto operator<=>(const ReportedEngine&) const = default;
};

/** An object whose state does not match the ticket, either not yet or no longer. */
struct PendingObject {
    std::string object;
    std::string reason;

    auto operator<=>(const PendingObject&) const = default;
};

struct TicketProgress {
    size_t inForce = 0; /**< number of members that have the ticket's revision or a newer one */
    size_t members = 0;
    std::vector<PendingObject> pending;
    std::vector<PendingObject> superseded; /**< overwritten by newer tickets */

    /** `accepted`, `in_force` (on all members) or `running` (also observed at the engines). */
    std::string state() const;

    bool operator==(const TicketProgress&) const = default;
};

TicketProgress ticketProgress(const Configuration& current, const Ticket&, Revision acceptedAt, std::span<const MemberRecord>, std::span<const ReportedEngine>);

} // namespace chestnut
