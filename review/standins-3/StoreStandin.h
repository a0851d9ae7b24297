#pragma once

#include "Http.h"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace review {

/** Test double of the platform's store: keys, leases, transactions and watches as the users' page describes them. It loses nothing and answers
    at once. */
class StoreStandin {
public:
    explicit StoreStandin(uint16_t port);
    ~StoreStandin();

    /** Writes a key as the operator or a replica does. */
    void put(const std::string& key, const std::string& value);
    uint16_t port() const { return m_port; }

private:
    struct Item {
        std::string value; /**< in base64 */
        uint64_t revision = 0;
        uint64_t createdAt = 0;
        uint64_t lease = 0;
    };
    struct Lease {
        double renewedAt = 0;
        uint64_t milliseconds = 0;
    };

    bool handle(const Message&, Connection&);
    std::string answer(const Message&);
    std::string list(const std::map<std::string, std::string>& query);
    std::string watch(const std::map<std::string, std::string>& query);
    std::string transact(const nlohmann::json&);
    std::string grant(const nlohmann::json&);
    std::string renew(uint64_t lease);
    std::string end(uint64_t lease);
    void write(const std::string& key, const std::string& encodedValue, uint64_t lease);
    void remove(const std::string& key);
    void removeExpired();
    void expireLeases();

    uint16_t m_port;
    std::mutex m_mutex;
    std::condition_variable m_hasChanged;
    std::map<std::string, Item> m_items;
    std::map<uint64_t, Lease> m_leases;
    std::vector<std::pair<uint64_t, nlohmann::json>> m_history;
    uint64_t m_revision = 100;
    uint64_t m_lastLease = 1000;
    std::atomic<bool> m_isStopped = false;
    std::thread m_expiry;
    std::unique_ptr<Server> m_server;
};

} // namespace review
