#include "soak/PlatformStore.h"

#include "platform/Names.h"
#include "soak/StandinResponses.h"

#include <absl/strings/escaping.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut::soak {

using nlohmann::json;

namespace {

    constexpr Duration leaseCheckPeriod = std::chrono::milliseconds(50);
    /** How often a waiting watch checks for new events. */
    constexpr Duration watchCheckPeriod = std::chrono::milliseconds(10);
    /** Delay with which a write may take effect after its response was lost. */
    constexpr Duration delayedExecution = std::chrono::seconds(1);
    constexpr size_t historyLength = 4096;
    constexpr Duration copyPeriod = std::chrono::milliseconds(500);
    constexpr size_t maximumCopies = 26;

    HttpServerLimits serverLimits()
    {
        HttpServerLimits limits;
        limits.headerTimeout = std::chrono::minutes(2);
        return limits;
    }

    HttpResponse eventsResponse(const std::vector<json>& events, uint64_t revision)
    {
        // No initializer list, for the same reason as in errorResponse().
        json body;
        body["events"] = events;
        body["current_rev"] = revision;
        return jsonResponse(200, body);
    }

    std::string lastSegmentOf(std::string_view path)
    {
        return std::string(path.substr(path.rfind('/') + 1));
    }

} // namespace

PlatformStore::PlatformStore(asio::io_context& context, TimerService& timers, Log& log, uint16_t port, uint32_t seed)
    : m_timers(timers)
    , m_random(seed)
    , m_leasesAdvancedAt(timers.now())
    , m_server(
          context, log, { "127.0.0.1", port }, serverLimits(), [this](HttpRequest request, HttpResponseWriter& writer) { return handle(std::move(request), writer); }, makeErrorResponse)
    , m_leaseTimer(timers.every(leaseCheckPeriod, [this] { advanceLeases(); }))
    , m_copyTimer(timers.every(copyPeriod, [this] { takeCopy(); }))
{
}

bool PlatformStore::chance(double share)
{
    constexpr uint64_t multiplier = 6364136223846793005ULL;
    m_random = m_random * multiplier + 1442695040888963407ULL;
    return static_cast<double>(m_random >> 40U) / static_cast<double>(1U << 24U) < share;
}

void PlatformStore::write(const std::string& key, const std::string& value, uint64_t lease)
{
    auto [found, isNew] = m_state.items.try_emplace(key);
    auto& item = found->second;
    auto createdAt = isNew ? m_state.revision + 1 : item.createdAt;
    item = { value, ++m_state.revision, createdAt, lease };
    m_state.history.push_back({ m_state.revision, key, itemJson(key, item) });
    if (m_state.history.size() > historyLength) {
        m_state.oldestRevision = m_state.history.front().revision;
        m_state.history.pop_front();
    }
}

void PlatformStore::erase(const std::string& key)
{
    if (m_state.items.erase(key) == 0)
        return;
    ++m_state.revision;
    m_state.history.push_back({ m_state.revision, key, { { "key", key }, { "revision", m_state.revision }, { "tombstone", true } } });
}

json PlatformStore::itemJson(const std::string& key, const Item& item) const
{
    return { { "key", key }, { "value", absl::Base64Escape(item.value) }, { "revision", item.revision }, { "create_revision", item.createdAt }, { "lease", item.lease } };
}

void PlatformStore::advanceLeases()
{
    auto now = m_timers.now();
    auto passed = now - m_leasesAdvancedAt;
    m_leasesAdvancedAt = now;
    if (faults.isDown && faults.pausesLeases)
        return;
    std::vector<uint64_t> ended;
    for (auto& [id, lease] : m_state.leases) {
        lease.remaining -= fromSeconds(toSeconds(passed) * faults.leaseSpeed);
        if (lease.remaining <= Duration::zero())
            ended.push_back(id);
    }
    for (auto id : ended)
        removeLease(id);
}

void PlatformStore::takeCopy()
{
    m_copies.push_back({ m_timers.now(), m_state });
    if (m_copies.size() > maximumCopies)
        m_copies.pop_front();
}

void PlatformStore::restore(Duration age)
{
    if (m_copies.empty())
        takeCopy();
    auto latest = m_timers.now() - age;
    while (m_copies.size() > 1 && m_copies.back().takenAt > latest)
        m_copies.pop_back();
    m_state = m_copies.back().state;
    ++m_epoch;
}

std::vector<std::string> PlatformStore::keysBelow(const std::string& prefix) const
{
    std::vector<std::string> keys;
    for (auto found = m_state.items.lower_bound(prefix); found != m_state.items.end() && found->first.starts_with(prefix); ++found)
        keys.push_back(found->first);
    return keys;
}

void PlatformStore::removeLease(uint64_t lease)
{
    m_state.leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_state.items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        erase(key);
}

asio::awaitable<Result<void>> PlatformStore::respond(HttpResponseWriter& writer, HttpResponse response) const
{
    response.headers.set(platform::names::storeEpoch, std::to_string(m_epoch));
    return writer.send(std::move(response));
}

asio::awaitable<void> PlatformStore::handle(HttpRequest request, HttpResponseWriter& writer)
{
    if (faults.latency > Duration::zero())
        co_await m_timers.sleep(faults.latency);
    if (faults.isUnresponsive) {
        while (faults.isUnresponsive)
            co_await m_timers.sleep(watchCheckPeriod);
        writer.abort();
        co_return;
    }
    if (faults.isDown) {
        (void)co_await respond(writer, { 503, {}, {} });
        co_return;
    }
    if (request.method == "POST" && chance(faults.lostResponseShare)) {
        if (chance(0.5))
            co_await m_timers.sleep(delayedExecution);
        (void)co_await execute(request);
        writer.abort();
        co_return;
    }
    auto response = co_await execute(request);
    (void)co_await respond(writer, std::move(response));
}

asio::awaitable<HttpResponse> PlatformStore::execute(const HttpRequest& request)
{
    auto path = request.path();
    if (path == "/v1/kv-watch")
        co_return co_await watch(request);
    if (path == "/v1/kv-range")
        co_return range(request);
    if (path.starts_with("/v1/kv-keep/"))
        co_return renewLease(lastSegmentOf(path));
    if (path.starts_with("/v1/kv-lease-end/"))
        co_return endLease(lastSegmentOf(path));
    auto document = json::parse(request.body, nullptr, false);
    if (!document.is_object())
        co_return errorResponse(400, "the body is not a JSON object");
    if (path == "/v1/kv-txn")
        co_return transact(document);
    if (path == "/v1/kv-lease")
        co_return grantLease(document);
    co_return errorResponse(404, "unknown path");
}

HttpResponse PlatformStore::range(const HttpRequest& request) const
{
    auto prefix = request.queryValue("prefix");
    auto after = request.queryValue("after");
    auto items = json::array();
    for (auto found = m_state.items.lower_bound(prefix); found != m_state.items.end() && found->first.starts_with(prefix); ++found) {
        if (found->first > after)
            items.push_back(itemJson(found->first, found->second));
    }
    return jsonResponse(200, { { "items", items }, { "has_more", false }, { "current_rev", m_state.revision } });
}

std::vector<json> PlatformStore::eventsAfter(uint64_t revision, const std::string& prefix) const
{
    std::vector<json> events;
    for (const auto& event : m_state.history) {
        if (event.revision > revision && event.key.starts_with(prefix))
            events.push_back(event.content);
    }
    return events;
}

asio::awaitable<HttpResponse> PlatformStore::watch(const HttpRequest& request)
{
    auto prefix = request.queryValue("prefix");
    auto revision = std::stoull(request.queryValue("after"));
    auto end = m_timers.now() + std::chrono::milliseconds(std::stoll(request.queryValue("wait_ms")));
    while (true) {
        if (revision < m_state.oldestRevision || revision > m_state.revision)
            co_return errorResponse(410, "the revision is not in the stored history");
        auto events = eventsAfter(revision, prefix);
        if (!events.empty() || m_timers.now() >= end)
            co_return eventsResponse(events, m_state.revision);
        co_await m_timers.sleep(watchCheckPeriod);
        if (faults.isDown)
            co_return HttpResponse { 503, {}, {} };
    }
}

HttpResponse PlatformStore::transact(const json& document)
{
    for (const auto& condition : document.value("expected", json::array())) {
        auto found = m_state.items.find(condition.at("key").get<std::string>());
        auto revision = found == m_state.items.end() ? 0 : found->second.revision;
        if (revision != condition.at("revision").get<uint64_t>())
            return jsonResponse(412, { { "items", json::array() } });
    }
    auto writes = document.value("writes", json::array());
    for (const auto& entry : writes) {
        auto lease = entry.value("lease", uint64_t(0));
        if (lease != 0 && !m_state.leases.contains(lease))
            return errorResponse(404, "no such lease");
    }
    for (const auto& entry : writes) {
        std::string value;
        absl::Base64Unescape(entry.at("value").get<std::string>(), &value);
        write(entry.at("key").get<std::string>(), value, entry.value("lease", uint64_t(0)));
    }
    for (const auto& key : document.value("deletes", json::array()))
        erase(key.get<std::string>());
    return jsonResponse(200, { { "revision", m_state.revision } });
}

HttpResponse PlatformStore::grantLease(const json& document)
{
    Duration timeToLive = std::chrono::milliseconds(document.at("ttl_ms").get<int64_t>());
    m_state.leases[++m_state.lastLease] = { timeToLive, timeToLive };
    return jsonResponse(200, { { "lease", m_state.lastLease }, { "ttl_ms", document.at("ttl_ms") } });
}

HttpResponse PlatformStore::renewLease(const std::string& id)
{
    auto found = m_state.leases.find(std::stoull(id));
    if (found == m_state.leases.end())
        return errorResponse(404, "no such lease");
    found->second.remaining = found->second.timeToLive;
    return jsonResponse(200, { { "lease", found->first } });
}

HttpResponse PlatformStore::endLease(const std::string& id)
{
    if (!m_state.leases.contains(std::stoull(id)))
        return errorResponse(404, "no such lease");
    removeLease(std::stoull(id));
    return jsonResponse(200, json::object());
}

} // namespace chestnut::soak
