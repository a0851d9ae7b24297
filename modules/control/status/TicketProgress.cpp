#include "control/status/TicketProgress.h"

#include <algorithm>
#include <set>

namespace chestnut {

namespace {

    /** Engines whose desired state the ticket determines: those that it sets and those of the models that it sets. */
    std::set<std::string> affectedEngines(const Configuration& current, const Ticket& ticket)
    {
        std::set<std::string> affected;
        for (const auto& [id, engine] : current.engines) {
            bool isSet = ticket.engines.contains(id);
            bool runsSetModel = ticket.models.contains(engine.model.value()) && lastSetBy(current, modelKey(engine.model.value())) == ticket.number;
            if ((isSet && engine.setBy == ticket.number) || runsSetModel)
                affected.insert(id);
        }
        return affected;
    }

    std::string reasonOf(const std::string& id, Revision acceptedAt, std::span<const ReportedEngine> engines)
    {
        auto report = std::ranges::find(engines, id, &ReportedEngine::engine);
        if (report == engines.end())
            return "no daemon reports holding the lease of the engine's group";
        if (report->revision < acceptedAt)
            return "the holder of the engine's group has not received the revision yet";
        if (report->phase == "running")
            return "";
        return report->problem.empty() ? report->phase : report->phase + ": " + report->problem;
    }

} // namespace

std::string TicketProgress::state() const
{
    if (members == 0 || inForce < members)
        return "accepted";
    return pending.empty() ? "running" : "in_force";
}

TicketProgress ticketProgress(const Configuration& current, const Ticket& ticket, Revision acceptedAt, std::span<const MemberRecord> members, std::span<const ReportedEngine> engines)
{
    TicketProgress progress;
    for (const auto& member : members) {
        if (member.state == MemberState::Dropped)
            continue;
        ++progress.members;
        progress.inForce += member.revision >= acceptedAt ? 1 : 0;
    }
    for (const auto& key : touchedObjects(ticket)) {
        if (auto newest = lastSetBy(current, key); newest > ticket.number)
            progress.superseded.push_back({ key, "set by ticket " + std::to_string(newest) });
    }
    for (const auto& id : affectedEngines(current, ticket)) {
        if (current.engines.at(id).membership == Membership::Leaving)
            continue;
        if (auto reason = reasonOf(id, acceptedAt, engines); !reason.empty())
            progress.pending.push_back({ engineKey(id), reason });
    }
    return progress;
}

} // namespace chestnut
