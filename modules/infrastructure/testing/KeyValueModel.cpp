#include "infrastructure/testing/KeyValueModel.h"

#include <algorithm>
#include <cstdio>

namespace chestnut {

namespace {

    std::string sessionName(uint64_t number)
    {
        char name[37]; // the text form of a UUID and a terminator
        std::snprintf(name, sizeof(name), "00000000-0000-4000-8000-%012llx", static_cast<unsigned long long>(number));
        return name;
    }

} // namespace

KeyValueRead KeyValueModel::read(const std::string& key) const
{
    if (auto found = m_entries.find(key); found != m_entries.end())
        return { found->second, found->second.modifyIndex };
    auto removed = m_removedAt.find(key);
    return { std::nullopt, removed == m_removedAt.end() ? 1 : removed->second };
}

std::vector<KeyValueEntry> KeyValueModel::list(const std::string& prefix) const
{
    std::vector<KeyValueEntry> entries;
    for (auto entry = m_entries.lower_bound(prefix); entry != m_entries.end() && entry->first.starts_with(prefix); ++entry)
        entries.push_back(entry->second);
    return entries;
}

bool KeyValueModel::matches(const KeyValueOperation& operation) const
{
    auto found = m_entries.find(operation.key);
    auto currentIndex = found == m_entries.end() ? 0 : found->second.modifyIndex;
    return currentIndex == operation.expectedModifyIndex;
}

KeyValueEntry& KeyValueModel::touch(const std::string& key)
{
    auto& entry = m_entries[key];
    entry.key = key;
    entry.modifyIndex = ++m_index;
    m_removedAt.erase(key);
    return entry;
}

void KeyValueModel::put(const std::string& key, const std::string& value)
{
    touch(key).value = value;
}

bool KeyValueModel::compareAndSwap(const std::string& key, const std::string& value, uint64_t expectedModifyIndex)
{
    return transact({ { key, value, expectedModifyIndex } });
}

bool KeyValueModel::transact(const std::vector<KeyValueOperation>& operations)
{
    if (!std::ranges::all_of(operations, [this](const auto& operation) { return matches(operation); }))
        return false;
    for (const auto& operation : operations) {
        if (!operation.isCheckOnly)
            put(operation.key, operation.value);
    }
    return true;
}

void KeyValueModel::remove(const std::string& key)
{
    if (m_entries.erase(key) > 0)
        m_removedAt[key] = ++m_index;
}

bool KeyValueModel::removeIf(const std::string& key, uint64_t expectedModifyIndex)
{
    if (!matches({ key, "", expectedModifyIndex }))
        return false;
    remove(key);
    return true;
}

void KeyValueModel::removePrefix(const std::string& prefix)
{
    for (const auto& entry : list(prefix))
        remove(entry.key);
}

std::string KeyValueModel::createSession(Duration timeToLive, TimePoint now)
{
    auto session = sessionName(++m_lastSession);
    m_sessions[session] = { timeToLive, now + timeToLive };
    return session;
}

bool KeyValueModel::renewSession(const std::string& session, TimePoint now)
{
    auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return false;
    found->second.end = now + found->second.timeToLive;
    return true;
}

void KeyValueModel::destroySession(const std::string& session)
{
    m_sessions.erase(session);
    for (auto& [key, entry] : m_entries) {
        if (entry.session != session)
            continue;
        entry.session.clear();
        entry.modifyIndex = ++m_index;
    }
}

void KeyValueModel::expireSessions(TimePoint now)
{
    std::vector<std::string> ended;
    for (const auto& [session, state] : m_sessions) {
        if (state.end <= now)
            ended.push_back(session);
    }
    for (const auto& session : ended)
        destroySession(session);
}

bool KeyValueModel::acquire(const std::string& key, const std::string& value, const std::string& session)
{
    auto found = m_entries.find(key);
    bool isHeldByOther = found != m_entries.end() && !found->second.session.empty() && found->second.session != session;
    if (isHeldByOther || !m_sessions.contains(session))
        return false;
    auto& entry = touch(key);
    entry.value = value;
    // The lock index counts acquisitions; an acquire by the holder only updates the value.
    if (entry.session.empty())
        ++entry.lockIndex;
    entry.session = session;
    return true;
}

bool KeyValueModel::release(const std::string& key, const std::string& value, const std::string& session)
{
    auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.session != session || session.empty())
        return false;
    auto& entry = touch(key);
    entry.value = value;
    entry.session.clear();
    return true;
}

} // namespace chestnut
