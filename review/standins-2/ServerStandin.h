#pragma once

#include "Record.h"
#include "StoreStandin.h"

#include <atomic>
#include <mutex>
#include <random>
#include <set>

namespace review {

struct ServerSettings {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 6;
    int queue = 1;
    int64_t workTime = 60; /**< milliseconds */
};

/** A plain backend server. It works on as many requests as it has slots, queues a few more and refuses the rest. */
class ServerStandin {
public:
    ServerStandin(ServerSettings, StoreStandin&, Record&);

    /** From now on, this share of the answers is followed by an incomplete copy: the beginning of the same answer once more, sent late,
        where the next answer on the connection is due. */
    void sendIncompleteCopies(double share) { m_copyShare = share; }

    /** From now on, this share of the answers has wrong bytes: the digits of its length come several times. */
    void spoilLengths(double share) { m_spoiltShare = share; }

    const std::string& id() const { return m_settings.id; }

    /** How often each request has run, by its id, over all servers. */
    static std::map<std::string, int> runs();
    /** The requests that ran at servers other than this one. */
    static std::set<std::string> soundRuns(const std::string& except);
    uint64_t copies() const { return m_copies; }

private:
    void serve(Socket&);
    std::string answer(const Request&);
    /** A copy that breaks off inside its header, or nothing. */
    std::string incompleteCopyOf(const std::string& answer);
    std::string withSpoiltLength(const std::string& answer) const;
    bool chance(double share);
    void sendHeartbeats();

    ServerSettings m_settings;
    StoreStandin& m_store;
    Record& m_record;
    int64_t m_startedAt;
    std::atomic<int> m_accepted = 0;
    std::atomic<double> m_copyShare = 0;
    std::atomic<double> m_spoiltShare = 0;
    std::atomic<uint64_t> m_copies = 0;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    int m_running = 0;
    std::mt19937 m_random { std::random_device {}() };
    std::unique_ptr<Listener> m_listener;
};

} // namespace review
