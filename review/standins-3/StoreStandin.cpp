#include "StoreStandin.h"

namespace review {

using nlohmann::json;

namespace {

    constexpr size_t itemsPerPage = 500;

    std::string encodeBase64(const std::string& bytes)
    {
        constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (size_t i = 0; i < bytes.size(); i += 3) {
            uint32_t group = 0;
            for (size_t k = 0; k < 3; ++k)
                group = (group << 8) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
            for (size_t k = 0; k < 4; ++k)
                text += i + k <= bytes.size() ? digits[(group >> (18 - 6 * k)) & 63] : '=';
        }
        return text;
    }

    std::string decodePercent(const std::string& text)
    {
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else
                decoded += text[i];
        }
        return decoded;
    }

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        auto start = target.find('?');
        while (start != std::string::npos) {
            auto end = target.find('&', start + 1);
            auto pair = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
            auto equals = pair.find('=');
            if (equals != std::string::npos)
                query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
            start = end;
        }
        return query;
    }

    std::string respond(int status, const json& body)
    {
        return encodeResponse(status, { { "Content-Type", "application/json" } }, body.dump());
    }

    uint64_t numberAtEnd(const std::string& target)
    {
        return std::strtoull(target.substr(target.rfind('/') + 1).c_str(), nullptr, 10);
    }

} // namespace

StoreStandin::StoreStandin(uint16_t port)
    : m_port(port)
{
    m_expiry = std::thread([this] { expireLeases(); });
    m_server = std::make_unique<Server>(port, [this](const Message& request, Connection& connection) { return handle(request, connection); });
}

StoreStandin::~StoreStandin()
{
    m_isStopped = true;
    m_hasChanged.notify_all();
    m_server->stop();
    m_expiry.join();
}

void StoreStandin::put(const std::string& key, const std::string& value)
{
    std::scoped_lock lock(m_mutex);
    write(key, encodeBase64(value), 0);
}

void StoreStandin::write(const std::string& key, const std::string& encodedValue, uint64_t lease)
{
    auto& item = m_items[key];
    item.value = encodedValue;
    item.revision = ++m_revision;
    item.createdAt = item.createdAt == 0 ? m_revision : item.createdAt;
    item.lease = lease;
    m_history.emplace_back(m_revision, json { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "create_revision", item.createdAt }, { "lease", lease } });
    m_hasChanged.notify_all();
}

void StoreStandin::remove(const std::string& key)
{
    if (m_items.erase(key) == 0)
        return;
    ++m_revision;
    m_history.emplace_back(m_revision, json { { "key", key }, { "revision", m_revision }, { "tombstone", true } });
    m_hasChanged.notify_all();
}

void StoreStandin::removeExpired()
{
    std::vector<std::string> expired;
    for (const auto& [key, item] : m_items) {
        if (item.lease != 0 && !m_leases.contains(item.lease))
            expired.push_back(key);
    }
    for (const auto& key : expired)
        remove(key);
}

void StoreStandin::expireLeases()
{
    while (!m_isStopped) {
        {
            std::scoped_lock lock(m_mutex);
            std::erase_if(m_leases, [](const auto& entry) { return now() > entry.second.renewedAt + static_cast<double>(entry.second.milliseconds) / 1000; });
            removeExpired();
        }
        sleepFor(0.05);
    }
}

bool StoreStandin::handle(const Message& request, Connection& connection)
{
    return connection.write(answer(request));
}

std::string StoreStandin::answer(const Message& request)
{
    auto target = request.target();
    auto path = target.substr(0, target.find('?'));
    auto body = request.body.empty() ? json::object() : json::parse(request.body);
    if (path == "/v1/kv-range")
        return list(queryOf(target));
    if (path == "/v1/kv-watch")
        return watch(queryOf(target));
    if (path == "/v1/kv-txn")
        return transact(body);
    if (path == "/v1/kv-lease")
        return grant(body);
    if (path.starts_with("/v1/kv-keep/"))
        return renew(numberAtEnd(path));
    if (path.starts_with("/v1/kv-lease-end/"))
        return end(numberAtEnd(path));
    return respond(404, json::object());
}

std::string StoreStandin::list(const std::map<std::string, std::string>& query)
{
    std::scoped_lock lock(m_mutex);
    auto prefix = query.contains("prefix") ? query.at("prefix") : "";
    auto after = query.contains("after") ? query.at("after") : "";
    auto items = json::array();
    auto hasMore = false;
    for (const auto& [key, item] : m_items) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        hasMore = items.size() == itemsPerPage;
        if (hasMore)
            break;
        items.push_back({ { "key", key }, { "value", item.value }, { "revision", item.revision }, { "create_revision", item.createdAt }, { "lease", item.lease } });
    }
    return respond(200, { { "items", items }, { "has_more", hasMore }, { "current_rev", m_revision } });
}

std::string StoreStandin::watch(const std::map<std::string, std::string>& query)
{
    auto prefix = query.at("prefix");
    auto after = std::strtoull(query.at("after").c_str(), nullptr, 10);
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::strtoul(query.at("wait_ms").c_str(), nullptr, 10));
    std::unique_lock lock(m_mutex);
    auto events = json::array();
    auto hasEvents = [&] {
        for (auto entry = m_history.rbegin(); entry != m_history.rend() && entry->first > after; ++entry) {
            if (entry->second.at("key").get_ref<const std::string&>().starts_with(prefix))
                return true;
        }
        return m_isStopped.load();
    };
    m_hasChanged.wait_until(lock, until, hasEvents);
    for (const auto& [revision, event] : m_history) {
        if (revision > after && event.at("key").get_ref<const std::string&>().starts_with(prefix))
            events.push_back(event);
    }
    return respond(200, { { "events", events }, { "current_rev", m_revision } });
}

std::string StoreStandin::transact(const json& body)
{
    std::scoped_lock lock(m_mutex);
    for (const auto& condition : body.at("expected")) {
        auto found = m_items.find(condition.at("key").get<std::string>());
        auto revision = found == m_items.end() ? 0 : found->second.revision;
        if (revision != condition.at("revision").get<uint64_t>())
            return respond(412, { { "items", json::array() } });
    }
    for (const auto& row : body.at("writes")) {
        auto lease = row.at("lease").get<uint64_t>();
        if (lease != 0 && !m_leases.contains(lease))
            return respond(404, json::object());
    }
    for (const auto& row : body.at("writes"))
        write(row.at("key").get<std::string>(), row.at("value").get<std::string>(), row.at("lease").get<uint64_t>());
    for (const auto& key : body.at("deletes"))
        remove(key.get<std::string>());
    return respond(200, { { "revision", m_revision } });
}

std::string StoreStandin::grant(const json& body)
{
    std::scoped_lock lock(m_mutex);
    auto milliseconds = body.at("ttl_ms").get<uint64_t>();
    m_leases[++m_lastLease] = { now(), milliseconds };
    return respond(200, { { "lease", m_lastLease }, { "ttl_ms", milliseconds } });
}

std::string StoreStandin::renew(uint64_t lease)
{
    std::scoped_lock lock(m_mutex);
    auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return respond(404, json::object());
    found->second.renewedAt = now();
    return respond(200, { { "ttl_ms", found->second.milliseconds } });
}

std::string StoreStandin::end(uint64_t lease)
{
    std::scoped_lock lock(m_mutex);
    m_leases.erase(lease);
    removeExpired();
    return respond(200, json::object());
}

} // namespace review
