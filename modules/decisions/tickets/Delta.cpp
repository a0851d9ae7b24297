#include "decisions/tickets/Delta.h"

#include "decisions/tickets/Ticket.h"

#include <algorithm>
#include <functional>

namespace chestnut {

namespace {

    template <typename Map>
    Map changedIn(const Map& older, const Map& newer)
    {
        Map changed;
        for (const auto& row : newer) {
            auto found = older.find(row.first);
            if (found == older.end() || found->second != row.second)
                changed.insert(row);
        }
        return changed;
    }

    template <typename Map, typename MakeKey>
    void appendRemovedObjects(const Map& older, const Map& newer, MakeKey makeKey, std::vector<std::string>& removedObjects)
    {
        for (const auto& [id, value] : older) {
            if (!newer.contains(id))
                removedObjects.push_back(makeKey(id));
        }
    }

    template <typename Map>
    void setAll(Map& target, const Map& source)
    {
        for (const auto& [id, value] : source)
            target.insert_or_assign(id, value);
    }

    template <typename Map, typename MakeKey>
    void eraseRemovedObjects(Map& map, const std::vector<std::string>& removedObjects, MakeKey makeKey)
    {
        auto prefix = makeKey("");
        for (const auto& key : removedObjects) {
            if (key.starts_with(prefix))
                map.erase(key.substr(prefix.size()));
        }
    }

} // namespace

ConfigurationDelta deltaBetween(const Configuration& older, const Configuration& newer)
{
    ConfigurationDelta delta;
    delta.from = older.revision;
    delta.changed.revision = newer.revision;
    delta.changed.models = changedIn(older.models, newer.models);
    delta.changed.engines = changedIn(older.engines, newer.engines);
    delta.changed.backendServers = changedIn(older.backendServers, newer.backendServers);
    delta.changed.accounts = changedIn(older.accounts, newer.accounts);
    delta.changed.removedBy = changedIn(older.removedBy, newer.removedBy);
    delta.changed.limits = newer.limits;
    delta.changed.removalFloor = newer.removalFloor;
    delta.changed.ticketFloor = newer.ticketFloor;
    for (const auto& ticket : newer.recentTickets) {
        if (ticket.revision > older.revision)
            delta.changed.recentTickets.push_back(ticket);
    }
    appendRemovedObjects(older.models, newer.models, modelKey, delta.removedObjects);
    appendRemovedObjects(older.engines, newer.engines, engineKey, delta.removedObjects);
    appendRemovedObjects(older.backendServers, newer.backendServers, backendServerKey, delta.removedObjects);
    appendRemovedObjects(older.accounts, newer.accounts, accountKey, delta.removedObjects);
    appendRemovedObjects(older.removedBy, newer.removedBy, std::identity(), delta.prunedRemovals);
    return delta;
}

Configuration withDelta(Configuration configuration, const ConfigurationDelta& delta)
{
    const auto& changed = delta.changed;
    eraseRemovedObjects(configuration.models, delta.removedObjects, modelKey);
    eraseRemovedObjects(configuration.engines, delta.removedObjects, engineKey);
    eraseRemovedObjects(configuration.backendServers, delta.removedObjects, backendServerKey);
    eraseRemovedObjects(configuration.accounts, delta.removedObjects, accountKey);
    for (const auto& key : delta.prunedRemovals)
        configuration.removedBy.erase(key);
    setAll(configuration.models, changed.models);
    setAll(configuration.engines, changed.engines);
    setAll(configuration.backendServers, changed.backendServers);
    setAll(configuration.accounts, changed.accounts);
    setAll(configuration.removedBy, changed.removedBy);
    configuration.limits = changed.limits;
    configuration.removalFloor = changed.removalFloor;
    configuration.ticketFloor = changed.ticketFloor;
    configuration.revision = changed.revision;
    auto& tickets = configuration.recentTickets;
    tickets.insert(tickets.end(), changed.recentTickets.begin(), changed.recentTickets.end());
    if (tickets.size() > maximumRecentTickets)
        tickets.erase(tickets.begin(), tickets.end() - static_cast<std::ptrdiff_t>(maximumRecentTickets));
    return configuration;
}

} // namespace chestnut
