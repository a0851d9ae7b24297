#pragma once

#include "Record.h"
#include "StoreStandin.h"

#include <atomic>
#include <mutex>

namespace review {

struct EngineSettings {
    std::string id;
    std::string service;
    std::string zone;
    bool isPrefill = false;
    int slots = 12;
    int64_t eventInterval = 20; /**< milliseconds between two events of a stream */
    double unframedShare = 0.5; /**< of the streams, without a length or chunks */
    int64_t copyTime = 5; /**< milliseconds that the copy of a run's memory takes */
};

/** A sound engine. It accepts orders to change its stage. A part of its streams come without a length or chunks and end with their
    connection, as the protocol allows; the others come in chunks. */
class EngineStandin {
public:
    EngineStandin(EngineSettings, StoreStandin&, Record&);

    const std::string& id() const { return m_settings.id; }

    /** The number of requests that it runs now. */
    size_t runs();

    /** Until then, a share of the running streams makes no events; the engine answers everything else. */
    void hangStreams(double share, int64_t milliseconds);

    /** Ends the engine's entries in the store. */
    void leave();

    /** Events of each stream; their ids are 1 and following. */
    static constexpr uint64_t eventsOfStream = 60;
    static std::string eventText(const std::string& request, uint64_t number);

private:
    struct Run {
        std::atomic<bool> isStopped = false;
        std::atomic<uint64_t> made = 0;
        double position = 0; /**< between 0 and 1, chooses the streams that hang */
        bool isChunked = false;
    };

    void serve(Socket&);
    /** Returns false when the connection ends with the response. */
    bool answer(const Request&, const Socket&);
    void stream(const Request&, const Socket&);
    std::string move(const Request&);
    std::string order(const Request&);
    std::string prefill(const Request&);
    void writeEntry();
    std::string stage() const { return m_isPrefill ? "prefill" : "decode"; }
    std::string report();
    void sendHeartbeats();
    bool isHanging(const Run&) const;

    EngineSettings m_settings;
    StoreStandin& m_store;
    Record& m_record;
    int64_t m_startedAt;
    std::atomic<bool> m_hasLeft = false;
    std::atomic<bool> m_isPrefill;
    std::atomic<bool> m_isChanging = false;
    std::atomic<uint64_t> m_heartbeat = 0;
    std::atomic<uint64_t> m_orders = 0;
    std::atomic<double> m_hangingShare = 0;
    std::atomic<int64_t> m_hangsUntil = 0;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Run>> m_runs;
    std::unique_ptr<Listener> m_listener;
};

} // namespace review
