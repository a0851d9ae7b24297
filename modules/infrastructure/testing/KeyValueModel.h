#pragma once

#include "infrastructure/keyvalue/KeyValueStore.h"

#include <map>
#include <string>
#include <vector>

namespace chestnut {

/** An in-memory key-value store with Consul's rules for indexes, locks and sessions. Used by FakeKeyValueStore and by the
    simulated service kvstandin; not part of the daemon. */
class KeyValueModel {
public:
    KeyValueRead read(const std::string& key) const;
    std::vector<KeyValueEntry> list(const std::string& prefix) const;

    bool compareAndSwap(const std::string& key, const std::string& value, uint64_t expectedModifyIndex);
    bool transact(const std::vector<KeyValueOperation>&);
    void remove(const std::string& key);
    bool removeIf(const std::string& key, uint64_t expectedModifyIndex);
    void removePrefix(const std::string& prefix);

    std::string createSession(Duration timeToLive, TimePoint now);
    /** Returns false when the session has expired or was destroyed. */
    bool renewSession(const std::string& session, TimePoint now);
    void destroySession(const std::string& session);
    /** Destroys the sessions whose time to live has passed. Call it before each other operation. */
    void expireSessions(TimePoint now);

    bool acquire(const std::string& key, const std::string& value, const std::string& session);
    bool release(const std::string& key, const std::string& value, const std::string& session);

    /** Sets a key unconditionally. */
    void put(const std::string& key, const std::string& value);

private:
    struct Session {
        Duration timeToLive;
        TimePoint end;
    };

    bool matches(const KeyValueOperation&) const;
    KeyValueEntry& touch(const std::string& key);

    std::map<std::string, KeyValueEntry> m_entries;
    std::map<std::string, uint64_t> m_removedAt; // index of the removal, for blocking queries on removed keys
    std::map<std::string, Session> m_sessions;
    uint64_t m_index = 1;
    uint64_t m_lastSession = 0;
};

} // namespace chestnut
