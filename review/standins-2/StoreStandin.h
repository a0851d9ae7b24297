#pragma once

#include "Http.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

/** The platform's metadata store with its published protocol, in memory. */
class StoreStandin {
public:
    StoreStandin();

    std::string address() const { return m_listener->address(); }

    /** A write of the operator or of a replica. */
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t createdAt = 0;
        uint64_t lease = 0;
    };
    struct Lease {
        int64_t timeToLive = 0; /**< milliseconds */
        int64_t endsAt = 0;
    };
    struct Event {
        uint64_t revision = 0;
        std::string key;
        nlohmann::json content;
    };

    void serve(Socket&);
    std::string answer(const Request&);
    std::string watch(const Request&);
    std::string list(const Request&) const;
    std::string transact(const nlohmann::json&);
    std::string renew(uint64_t lease);
    void write(const std::string& key, const std::string& value, uint64_t lease);
    void erase(const std::string& key);
    void endLease(uint64_t lease);
    void expireLeases();
    nlohmann::json describe(const std::string& key, const Item&) const;
    nlohmann::json eventsAfter(uint64_t revision, const std::string& prefix) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<uint64_t, Lease> m_leases;
    std::deque<Event> m_history;
    uint64_t m_revision = 100;
    uint64_t m_lastLease = 0;
    std::unique_ptr<Listener> m_listener;
};

} // namespace review
