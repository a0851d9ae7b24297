#include "decisions/tickets/Ticket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

namespace chestnut {

namespace {

    constexpr size_t maximumIdLength = 64;
    constexpr uint32_t maximumSlots = 65536;

    using Faults = std::vector<TicketFault>;

    bool isIdCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    }

    bool isId(const std::string& text)
    {
        return !text.empty() && text.size() <= maximumIdLength && std::ranges::all_of(text, isIdCharacter);
    }

    bool isPort(const std::string& text)
    {
        uint16_t port = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
        return error == std::errc() && end == text.data() + text.size() && port != 0;
    }

    bool isAddress(const std::string& text)
    {
        auto colon = text.rfind(':');
        if (colon == std::string::npos || colon == 0 || !isPort(text.substr(colon + 1)))
            return false;
        auto host = text.substr(0, colon);
        std::array<unsigned char, sizeof(in6_addr)> buffer {};
        if (host.front() == '[' && host.back() == ']')
            return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), buffer.data()) == 1;
        return inet_pton(AF_INET, host.c_str(), buffer.data()) == 1;
    }

    template <typename Map>
    TicketNumber setByOf(const Map& map, const std::string& id)
    {
        auto found = map.find(id);
        return found == map.end() ? 0 : found->second.setBy;
    }

    std::pair<std::string, std::string> splitKey(const std::string& key)
    {
        auto slash = key.find('/');
        if (slash == std::string::npos)
            return { key, "" };
        return { key.substr(0, slash), key.substr(slash + 1) };
    }

    TicketNumber setByOfObject(const Configuration& configuration, const std::string& key)
    {
        auto [kind, id] = splitKey(key);
        if (kind == "model")
            return setByOf(configuration.models, id);
        if (kind == "engine")
            return setByOf(configuration.engines, id);
        if (kind == "backend_server")
            return setByOf(configuration.backendServers, id);
        if (kind == "account")
            return setByOf(configuration.accounts, id);
        return key == limitsKey ? configuration.limits.setBy : 0;
    }

    bool exists(const Configuration& configuration, const std::string& key)
    {
        auto [kind, id] = splitKey(key);
        return (kind == "model" && configuration.models.contains(id)) || (kind == "engine" && configuration.engines.contains(id))
            || (kind == "backend_server" && configuration.backendServers.contains(id)) || (kind == "account" && configuration.accounts.contains(id));
    }

    template <typename Map>
    void setAll(Map& target, const Map& source, TicketNumber number)
    {
        for (const auto& [id, spec] : source) {
            auto& object = target[id];
            object = spec;
            object.setBy = number;
        }
    }

    void removeObject(Configuration& configuration, const std::string& key)
    {
        auto [kind, id] = splitKey(key);
        if (kind == "model")
            configuration.models.erase(id);
        else if (kind == "engine")
            configuration.engines.erase(id);
        else if (kind == "backend_server")
            configuration.backendServers.erase(id);
        else if (kind == "account")
            configuration.accounts.erase(id);
    }

    void trimRemovals(Configuration& configuration)
    {
        while (configuration.removedBy.size() > maximumRecordedRemovals) {
            auto oldest = std::ranges::min_element(configuration.removedBy, {}, [](const auto& entry) { return entry.second; });
            configuration.removalFloor = std::max(configuration.removalFloor, oldest->second);
            configuration.removedBy.erase(oldest);
        }
    }

    void trimTickets(Configuration& configuration)
    {
        auto& tickets = configuration.recentTickets;
        while (tickets.size() > maximumRecentTickets) {
            configuration.ticketFloor = std::max(configuration.ticketFloor, tickets.front().number);
            tickets.erase(tickets.begin());
        }
    }

    void checkModel(const ModelSpec& model, const std::string& key, Faults& faults)
    {
        if (model.version.empty())
            faults.push_back({ key, "version is empty" });
        std::set<std::string> names(model.adapters.begin(), model.adapters.end());
        if (names.size() != model.adapters.size())
            faults.push_back({ key, "an adapter is listed twice" });
        if (names.contains(""))
            faults.push_back({ key, "an adapter has no name" });
    }

    template <typename Spec>
    void checkReplica(const Spec& spec, const std::string& key, Faults& faults)
    {
        if (!isAddress(spec.address))
            faults.push_back({ key, "address is not an IP address and port: " + spec.address });
        if (!isId(spec.zone.value()))
            faults.push_back({ key, "zone is missing or not an identifier" });
        if (!isId(spec.region.value()))
            faults.push_back({ key, "region is missing or not an identifier" });
        if (spec.slots == 0 || spec.slots > maximumSlots)
            faults.push_back({ key, "slots must be from 1 to 65536" });
    }

    void checkAccount(const AccountSpec& account, const std::string& key, Faults& faults)
    {
        if (!std::isfinite(account.weight) || account.weight <= 0)
            faults.push_back({ key, "weight must be a number above 0" });
    }

    void checkLimits(const LimitsSpec& limits, Faults& faults)
    {
        if (limits.maximumQueue == 0)
            faults.push_back({ std::string(limitsKey), "maximum_queue must be at least 1" });
        if (limits.maximumConcurrentLoads == 0)
            faults.push_back({ std::string(limitsKey), "maximum_concurrent_loads must be at least 1" });
    }

    void checkId(const std::string& id, const std::string& key, Faults& faults)
    {
        if (!isId(id))
            faults.push_back({ key, "the id must be 1 to 64 characters of letters, digits, '.', '_' and '-'" });
    }

    void checkTicketObjects(const Ticket& ticket, Faults& faults)
    {
        for (const auto& [id, model] : ticket.models) {
            checkId(id, modelKey(id), faults);
            checkModel(model, modelKey(id), faults);
        }
        for (const auto& [id, engine] : ticket.engines) {
            checkId(id, engineKey(id), faults);
            checkReplica(engine, engineKey(id), faults);
        }
        for (const auto& [id, server] : ticket.backendServers) {
            checkId(id, backendServerKey(id), faults);
            checkReplica(server, backendServerKey(id), faults);
            if (!isId(server.service.value()))
                faults.push_back({ backendServerKey(id), "service is missing or not an identifier" });
        }
        for (const auto& [id, account] : ticket.accounts) {
            checkId(id, accountKey(id), faults);
            checkAccount(account, accountKey(id), faults);
        }
        if (ticket.limits)
            checkLimits(*ticket.limits, faults);
    }

    void checkRemovals(const Configuration& configuration, const Ticket& ticket, Faults& faults)
    {
        auto touched = touchedObjects(ticket);
        for (const auto& key : ticket.removals) {
            if (std::ranges::count(touched, key) > 1)
                faults.push_back({ key, "the ticket sets and removes the object, or removes it twice" });
            else if (!exists(configuration, key))
                faults.push_back({ key, "cannot remove the object: it does not exist" });
        }
    }

    void checkAddress(std::map<std::string, std::string>& addresses, const std::string& address, const std::string& key, Faults& faults)
    {
        auto [first, isNew] = addresses.emplace(address, key);
        if (!isNew)
            faults.push_back({ key, "address " + address + " is also used by " + first->second });
    }

    void checkRegion(std::map<std::string, std::string>& regions, const AvailabilityZone& zone, const Region& region, const std::string& key, Faults& faults)
    {
        auto [first, isNew] = regions.emplace(zone.value(), region.value());
        if (!isNew && first->second != region.value())
            faults.push_back({ key, "zone " + zone.value() + " is in region " + first->second + " for other objects" });
    }

    /** Faults that can only be found in the whole state: dangling references, shared addresses and ids, zones in two
        regions. */
    void checkState(const Configuration& state, Faults& faults)
    {
        std::map<std::string, std::string> addresses;
        std::map<std::string, std::string> regions;
        for (const auto& [id, engine] : state.engines) {
            if (!state.models.contains(engine.model.value()))
                faults.push_back({ engineKey(id), "there is no model " + engine.model.value() });
            checkAddress(addresses, engine.address, engineKey(id), faults);
            checkRegion(regions, engine.zone, engine.region, engineKey(id), faults);
        }
        for (const auto& [id, server] : state.backendServers) {
            if (state.engines.contains(id))
                faults.push_back({ backendServerKey(id), "an engine has the same id" });
            checkAddress(addresses, server.address, backendServerKey(id), faults);
            checkRegion(regions, server.zone, server.region, backendServerKey(id), faults);
        }
    }

} // namespace

std::string modelKey(const std::string& id) { return "model/" + id; }
std::string engineKey(const std::string& id) { return "engine/" + id; }
std::string backendServerKey(const std::string& id) { return "backend_server/" + id; }
std::string accountKey(const std::string& id) { return "account/" + id; }

std::vector<std::string> touchedObjects(const Ticket& ticket)
{
    std::vector<std::string> keys;
    for (const auto& [id, spec] : ticket.models)
        keys.push_back(modelKey(id));
    for (const auto& [id, spec] : ticket.engines)
        keys.push_back(engineKey(id));
    for (const auto& [id, spec] : ticket.backendServers)
        keys.push_back(backendServerKey(id));
    for (const auto& [id, spec] : ticket.accounts)
        keys.push_back(accountKey(id));
    if (ticket.limits)
        keys.emplace_back(limitsKey);
    keys.insert(keys.end(), ticket.removals.begin(), ticket.removals.end());
    return keys;
}

TicketNumber lastSetBy(const Configuration& configuration, const std::string& objectKey)
{
    if (auto number = setByOfObject(configuration, objectKey))
        return number;
    auto removed = configuration.removedBy.find(objectKey);
    if (removed != configuration.removedBy.end())
        return removed->second;
    return exists(configuration, objectKey) || objectKey == limitsKey ? 0 : configuration.removalFloor;
}

TicketEvaluation evaluateTicket(const Configuration& configuration, const Ticket& ticket, const Digest& content)
{
    auto accepted = std::ranges::find(configuration.recentTickets, ticket.number, &AcceptedTicket::number);
    if (accepted != configuration.recentTickets.end()) {
        auto status = accepted->content == content ? TicketStatus::AlreadyAccepted : TicketStatus::Conflict;
        return { status, accepted->revision, 0, "" };
    }
    TicketEvaluation evaluation;
    if (ticket.number <= configuration.ticketFloor)
        evaluation = { TicketStatus::Superseded, 0, configuration.ticketFloor, std::string(ticketFloorKey) };
    for (const auto& key : touchedObjects(ticket)) {
        auto newest = lastSetBy(configuration, key);
        if (newest >= ticket.number && newest > evaluation.newer)
            evaluation = { TicketStatus::Superseded, 0, newest, key };
    }
    return evaluation;
}

std::vector<TicketFault> validateTicket(const Configuration& configuration, const Ticket& ticket)
{
    Faults faults;
    if (ticket.number == 0)
        faults.push_back({ "ticket", "number must be at least 1" });
    if (touchedObjects(ticket).empty())
        faults.push_back({ "ticket", "the ticket changes nothing" });
    checkTicketObjects(ticket, faults);
    checkRemovals(configuration, ticket, faults);
    checkState(withTicket(configuration, ticket, {}), faults);
    return faults;
}

Configuration withTicket(const Configuration& configuration, const Ticket& ticket, const Digest& content)
{
    Configuration next = configuration;
    next.revision = configuration.revision + 1;
    setAll(next.models, ticket.models, ticket.number);
    setAll(next.engines, ticket.engines, ticket.number);
    setAll(next.backendServers, ticket.backendServers, ticket.number);
    setAll(next.accounts, ticket.accounts, ticket.number);
    if (ticket.limits) {
        next.limits = *ticket.limits;
        next.limits.setBy = ticket.number;
    }
    for (const auto& key : touchedObjects(ticket))
        next.removedBy.erase(key);
    for (const auto& key : ticket.removals) {
        removeObject(next, key);
        next.removedBy[key] = ticket.number;
    }
    trimRemovals(next);
    next.recentTickets.push_back({ ticket.number, content, next.revision });
    trimTickets(next);
    return next;
}

} // namespace chestnut
