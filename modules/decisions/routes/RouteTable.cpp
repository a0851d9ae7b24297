#include "decisions/routes/RouteTable.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <set>

namespace chestnut {

namespace {

    std::string normalisedHost(std::string_view host)
    {
        host = host.substr(0, host.find(':'));
        std::string lower(host);
        std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return lower;
    }

    std::unordered_map<ServiceId, ServicePriorities> collectPriorities(const RoutingConfiguration& configuration)
    {
        std::set<uint32_t> ofAccounts;
        for (const auto& account : configuration.accounts.value_or(std::vector<ClientAccount> {})) {
            if (account.priority)
                ofAccounts.insert(*account.priority);
        }
        std::unordered_map<ServiceId, std::set<uint32_t>> ofServices;
        for (const auto& route : configuration.routes) {
            for (const auto& share : route.shares)
                ofServices.try_emplace(share.service, ofAccounts).first->second.insert(route.priority);
        }
        std::unordered_map<ServiceId, ServicePriorities> priorities;
        for (const auto& [service, values] : ofServices)
            priorities[service] = ServicePriorities({ values.begin(), values.end() });
        return priorities;
    }

} // namespace

RouteTable::RouteTable(RoutingConfiguration configuration, const DigestSecret& secret)
    : m_configuration(std::move(configuration))
{
    if (m_configuration.accounts)
        m_accounts.emplace(*m_configuration.accounts, secret);
    for (size_t i = 0; i < m_configuration.routes.size(); ++i)
        m_routesOfHost[normalisedHost(m_configuration.routes[i].host)].push_back(i);
    auto longerPrefix = [this](size_t left, size_t right) {
        return m_configuration.routes[left].prefix.size() > m_configuration.routes[right].prefix.size();
    };
    for (auto& [host, routes] : m_routesOfHost)
        std::ranges::stable_sort(routes, longerPrefix);
    for (size_t i = 0; i < m_configuration.services.size(); ++i)
        m_services[m_configuration.services[i].id] = i;
    m_priorities = collectPriorities(m_configuration);
    for (const auto& route : m_configuration.routes) {
        if (route.kind != RouteKind::Streaming)
            continue;
        if (route.isResumable)
            m_longestResumableTimeout = std::max(m_longestResumableTimeout, route.timeout);
        for (const auto& share : route.shares) {
            auto [shortest, isNew] = m_shortestObjectives.try_emplace(share.service, route.latencyObjective);
            shortest->second = std::min(shortest->second, route.latencyObjective);
        }
    }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    auto routes = m_routesOfHost.find(normalisedHost(host));
    if (routes == m_routesOfHost.end())
        return nullptr;
    for (auto index : routes->second) {
        if (path.starts_with(m_configuration.routes[index].prefix))
            return &m_configuration.routes[index];
    }
    return nullptr;
}

const ServiceProfile* RouteTable::service(const ServiceId& id) const
{
    auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &m_configuration.services[found->second];
}

Duration RouteTable::shortestObjective(const ServiceId& id) const
{
    auto found = m_shortestObjectives.find(id);
    return found == m_shortestObjectives.end() ? Duration::zero() : found->second;
}

const ServicePriorities& RouteTable::prioritiesOf(const ServiceId& id) const
{
    static const ServicePriorities single;
    auto found = m_priorities.find(id);
    return found == m_priorities.end() ? single : found->second;
}

const ServiceId& serviceFor(const Route& route, uint64_t hash)
{
    assert(!route.shares.empty());
    auto sum = std::accumulate(route.shares.begin(), route.shares.end(), uint64_t(0), [](uint64_t total, const TrafficShare& share) { return total + share.weight; });
    if (sum == 0)
        return route.shares.front().service;
    auto point = hash % sum;
    for (const auto& share : route.shares) {
        if (point < share.weight)
            return share.service;
        point -= share.weight;
    }
    return route.shares.back().service;
}

} // namespace chestnut
