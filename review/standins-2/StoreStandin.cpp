#include "StoreStandin.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string encodeBase64(const std::string& bytes)
    {
        std::string text;
        for (size_t start = 0; start < bytes.size(); start += 3) {
            uint32_t group = 0;
            for (size_t i = 0; i < 3; ++i)
                group = group << 8U | (start + i < bytes.size() ? static_cast<unsigned char>(bytes[start + i]) : 0U);
            for (size_t i = 0; i < 4; ++i)
                text += start + i <= bytes.size() ? alphabet[group >> (18 - 6 * i) & 63U] : '=';
        }
        return text;
    }

    std::string decodeBase64(const std::string& text)
    {
        std::string bytes;
        uint32_t group = 0;
        int bits = 0;
        for (auto character : text) {
            auto digit = alphabet.find(character);
            if (digit == std::string_view::npos)
                break;
            group = group << 6U | static_cast<uint32_t>(digit);
            bits += 6;
            if (bits < 8)
                continue;
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<uint32_t>(bits) & 255U);
        }
        return bytes;
    }

    std::string decodePercent(const std::string& text)
    {
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else
                decoded += text[i];
        }
        return decoded;
    }

    std::string jsonResponse(int status, const json& body)
    {
        return responseText(status, { { "Content-Type", "application/json" } }, body.dump());
    }

    uint64_t lastNumberOf(const std::string& path)
    {
        return std::stoull(path.substr(path.rfind('/') + 1));
    }

} // namespace

StoreStandin::StoreStandin()
{
    m_listener = std::make_unique<Listener>([this](Socket& socket) { serve(socket); });
    std::thread([this] {
        while (true) {
            sleepMilliseconds(50);
            expireLeases();
        }
    }).detach();
}

void StoreStandin::put(const std::string& key, const json& value)
{
    std::lock_guard lock(m_mutex);
    write(key, value.dump(), 0);
}

void StoreStandin::remove(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    erase(key);
}

void StoreStandin::serve(Socket& socket)
{
    std::string buffer;
    while (auto request = readRequest(socket, buffer)) {
        if (!socket.send(answer(*request)))
            return;
    }
}

std::string StoreStandin::answer(const Request& request)
{
    auto path = request.path();
    if (path == "/v1/kv-watch")
        return watch(request);
    std::lock_guard lock(m_mutex);
    if (path == "/v1/kv-range")
        return list(request);
    if (path.starts_with("/v1/kv-keep/"))
        return renew(lastNumberOf(path));
    if (path.starts_with("/v1/kv-lease-end/")) {
        endLease(lastNumberOf(path));
        return jsonResponse(200, json::object());
    }
    auto body = json::parse(request.body, nullptr, false);
    if (path == "/v1/kv-txn")
        return transact(body);
    if (path != "/v1/kv-lease")
        return jsonResponse(404, json::object());
    int64_t timeToLive = body.at("ttl_ms");
    m_leases[++m_lastLease] = { timeToLive, nowMilliseconds() + timeToLive };
    return jsonResponse(200, { { "lease", m_lastLease }, { "ttl_ms", timeToLive } });
}

std::string StoreStandin::watch(const Request& request)
{
    auto prefix = decodePercent(request.queryValue("prefix"));
    auto after = std::stoull(request.queryValue("after"));
    auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(request.queryValue("wait_ms")));
    std::unique_lock lock(m_mutex);
    auto events = json::array();
    m_changed.wait_until(lock, end, [&] { return !(events = eventsAfter(after, prefix)).empty(); });
    return jsonResponse(200, { { "events", events }, { "current_rev", m_revision } });
}

json StoreStandin::eventsAfter(uint64_t revision, const std::string& prefix) const
{
    auto events = json::array();
    for (const auto& event : m_history) {
        if (event.revision > revision && event.key.starts_with(prefix))
            events.push_back(event.content);
    }
    return events;
}

std::string StoreStandin::list(const Request& request) const
{
    auto prefix = decodePercent(request.queryValue("prefix"));
    auto items = json::array();
    for (auto item = m_items.lower_bound(prefix); item != m_items.end() && item->first.starts_with(prefix); ++item)
        items.push_back(describe(item->first, item->second));
    return jsonResponse(200, { { "items", items }, { "has_more", false }, { "current_rev", m_revision } });
}

std::string StoreStandin::transact(const json& body)
{
    for (const auto& expected : body.value("expected", json::array())) {
        auto item = m_items.find(expected.at("key"));
        if ((item == m_items.end() ? 0 : item->second.revision) != expected.at("revision").get<uint64_t>())
            return jsonResponse(412, { { "items", json::array() } });
    }
    for (const auto& entry : body.value("writes", json::array())) {
        auto lease = entry.value("lease", uint64_t(0));
        if (lease != 0 && !m_leases.contains(lease))
            return jsonResponse(404, json::object());
    }
    for (const auto& entry : body.value("writes", json::array()))
        write(entry.at("key"), decodeBase64(entry.at("value")), entry.value("lease", uint64_t(0)));
    for (const auto& key : body.value("deletes", json::array()))
        erase(key);
    return jsonResponse(200, { { "revision", m_revision } });
}

std::string StoreStandin::renew(uint64_t id)
{
    auto lease = m_leases.find(id);
    if (lease == m_leases.end())
        return jsonResponse(404, json::object());
    lease->second.endsAt = nowMilliseconds() + lease->second.timeToLive;
    return jsonResponse(200, { { "lease", id }, { "ttl_ms", lease->second.timeToLive } });
}

void StoreStandin::write(const std::string& key, const std::string& value, uint64_t lease)
{
    auto [item, isNew] = m_items.try_emplace(key);
    ++m_revision;
    item->second = { value, m_revision, isNew ? m_revision : item->second.createdAt, lease };
    m_history.push_back({ m_revision, key, describe(key, item->second) });
    m_changed.notify_all();
}

void StoreStandin::erase(const std::string& key)
{
    if (m_items.erase(key) == 0)
        return;
    ++m_revision;
    m_history.push_back({ m_revision, key, { { "key", key }, { "revision", m_revision }, { "tombstone", true } } });
    m_changed.notify_all();
}

void StoreStandin::endLease(uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    std::ranges::for_each(keys, [this](const auto& key) { erase(key); });
}

void StoreStandin::expireLeases()
{
    std::lock_guard lock(m_mutex);
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : m_leases) {
        if (nowMilliseconds() >= lease.endsAt)
            ended.push_back(id);
    }
    std::ranges::for_each(ended, [this](auto id) { endLease(id); });
}

json StoreStandin::describe(const std::string& key, const Item& item) const
{
    return { { "key", key }, { "value", encodeBase64(item.value) }, { "revision", item.revision }, { "create_revision", item.createdAt }, { "lease", item.lease } };
}

} // namespace review
