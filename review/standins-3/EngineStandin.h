#pragma once

#include "StoreStandin.h"

namespace review {

/** Number of events of each stream, and the pause between two of them. */
constexpr uint64_t eventsOfStream = 90;
constexpr double pauseBetweenEvents = 0.033;

/** The prompts that were read and not yet used, of all engines. A handle can be taken once. */
class CacheHandles {
public:
    std::string add();
    bool take(const std::string& handle);

private:
    std::mutex m_mutex;
    std::set<std::string> m_handles;
};

struct EnginePlace {
    std::string id;
    std::string service;
    std::string stage; /**< at its start */
    uint32_t slots = 0;
};

/** Test double of a model replica. It serves under one id at one address; after an end it may start again, with another software version. Each
    event names the version of its writer. */
class EngineStandin {
public:
    EngineStandin(StoreStandin&, CacheHandles&, EnginePlace);
    EngineStandin(const EngineStandin&) = delete;
    EngineStandin& operator=(const EngineStandin&) = delete;
    ~EngineStandin() { stop(); }

    /** Begins to serve and registers in the store at once. */
    void start(const std::string& version);
    /** Ends as a crashed process does: its connections close, and it writes nothing. */
    void stop();
    const std::string& id() const { return m_place.id; }
    /** Calls that this test double does not serve. */
    uint32_t otherCalls() const { return m_otherCalls; }

private:
    bool handle(const Message&, Connection&);
    bool handleControl(const Message&, Connection&);
    bool stream(const Message&, Connection&);
    bool refuse(Connection&, const Message&, int status);
    std::map<std::string, std::string> sealedHeaders(const Message&) const;
    void writeEntry();
    void sendHeartbeats();

    StoreStandin& m_store;
    CacheHandles& m_handles;
    EnginePlace m_place;
    uint16_t m_port;
    std::mutex m_mutex;
    std::string m_version;
    std::string m_stage;
    int64_t m_startedAt = 0;
    uint64_t m_heartbeats = 0;
    uint64_t m_orders = 0;
    std::atomic<uint32_t> m_running = 0;
    std::atomic<uint32_t> m_otherCalls = 0;
    std::atomic<bool> m_isStopped = true;
    std::thread m_heartbeatThread;
    std::unique_ptr<Server> m_server;
};

} // namespace review
