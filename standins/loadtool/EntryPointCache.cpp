#include "EntryPointCache.h"

#include <nlohmann/json.hpp>

namespace chestnut {

namespace {

    constexpr Duration discoveryTimeout = std::chrono::seconds(2);
    constexpr Duration fallbackValidity = std::chrono::seconds(1);

} // namespace

bool isLoopback(const Endpoint& endpoint)
{
    return endpoint.address.starts_with("127.") || endpoint.address == "::1";
}

EntryPointCache::EntryPointCache(HttpClient& client, TimerService& timers, std::vector<Endpoint> seeds, std::string zone)
    : m_client(client)
    , m_timers(timers)
    , m_seeds(std::move(seeds))
    , m_zone(std::move(zone))
{
}

asio::awaitable<EntryPointCache::EntryPoints> EntryPointCache::lookUp(std::string account)
{
    auto cached = m_cache.find(account);
    if (cached != m_cache.end() && m_timers.now() < cached->second.validUntil)
        co_return cached->second;
    std::vector<Endpoint> candidates;
    if (cached != m_cache.end())
        candidates = cached->second.addresses;
    candidates.insert(candidates.end(), m_seeds.begin(), m_seeds.end());
    for (const auto& candidate : candidates) {
        if (auto entryPoints = co_await fetch(candidate, account)) {
            m_cache[account] = *entryPoints;
            co_return *entryPoints;
        }
    }
    co_return EntryPoints { m_seeds, "", m_timers.now() + fallbackValidity };
}

asio::awaitable<std::optional<EntryPointCache::EntryPoints>> EntryPointCache::fetch(Endpoint endpoint, std::string account)
{
    HttpTimeouts timeouts;
    timeouts.read = discoveryTimeout;
    HttpRequest request { "GET", "/v1/entrypoints", { { "X-Account", account } }, "" };
    if (!m_zone.empty())
        request.headers.set("X-Zone", m_zone);
    auto response = co_await m_client.exchange(endpoint, std::move(request), timeouts);
    if (!response || response->status != 200)
        co_return std::nullopt;
    auto document = nlohmann::json::parse(response->body, nullptr, false);
    if (!document.is_object())
        co_return std::nullopt;
    EntryPoints entryPoints;
    for (const auto& point : document.value("entrypoints", nlohmann::json::array())) {
        auto address = parseEndpoint(point.value("address", ""));
        if (address && isLoopback(*address))
            entryPoints.addresses.push_back(*address);
    }
    if (entryPoints.addresses.empty())
        co_return std::nullopt;
    entryPoints.keyPrefix = document.value("key_prefix", "");
    entryPoints.validUntil = m_timers.now() + std::chrono::milliseconds(document.value("valid_for_ms", int64_t { 1000 }));
    co_return entryPoints;
}

} // namespace chestnut
