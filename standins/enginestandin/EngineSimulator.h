#pragma once

#include "EngineSettings.h"

#include "backends/backends.h"
#include "backends/engines/EngineMessages.h"
#include "kernel/timers/AsioTimerService.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace chestnut {

/** One completion at the engine. It continues when the connection of the request ends. */
struct EngineJob {
    explicit EngineJob(asio::io_context& context)
        : prefilled(context, asio::steady_timer::time_point::max())
        , changed(context, asio::steady_timer::time_point::max())
    {
    }

    RequestId id;
    CompletionBody body;
    bool isChat = false;
    int priority = 0;
    uint64_t arrival = 0; /**< order of arrival */
    uint64_t totalTokens = 0;
    uint64_t producedTokens = 0; /**< index of the newest token */
    bool isRunning = false;
    bool isFinished = false;
    bool isCancelled = false; /**< cancelled or interrupted; its streams then end without [DONE] */
    double prefillTokens = 0; /**< remaining prefill work */
    asio::steady_timer prefilled; /**< its cancellation signals the end of the prefill */
    asio::steady_timer changed; /**< its cancellation wakes the streams after each change */
};

/** Simulates one engine in real time: continuous batching, prefix cache, load reports and orders. */
class EngineSimulator : public std::enable_shared_from_this<EngineSimulator> {
public:
    EngineSimulator(asio::io_context&, EngineSettings, EngineFaults);

    void start();

    /** Queues a completion. Fails with Overloaded while a change makes the engine unavailable. */
    Result<std::shared_ptr<EngineJob>> submit(RequestId, CompletionBody, bool isChat, int priority);
    std::shared_ptr<EngineJob> find(const RequestId&) const;
    bool cancel(const RequestId&);

    EngineLoad load() const;
    nlohmann::json cacheEvents(uint64_t after) const;
    Result<void> order(const EngineOrder&);
    EngineState state() const;

    EngineFaults& faults() { return m_faults; }
    void record(nlohmann::json entry);
    nlohmann::json log() const;
    AsioTimerService& timers() { return m_timers; }

private:
    struct LoadSample {
        TimePoint at;
        EngineLoad load;
    };

    EngineLoad currentLoad() const;
    void sampleLoad();
    void startQueuedJobs();
    static asio::awaitable<void> run(std::shared_ptr<EngineSimulator>, std::shared_ptr<EngineJob>);
    /** Processes the prefills in chunks, the most urgent job first. */
    static asio::awaitable<void> prefillLoop(std::shared_ptr<EngineSimulator>);
    double cachePrompt(const std::string& prompt);
    void addEvent(bool isStored, uint64_t hash);
    void finish(EngineJob&);
    static asio::awaitable<void> applyChange(std::shared_ptr<EngineSimulator>, EngineOrder);

    asio::io_context& m_context;
    AsioTimerService m_timers;
    EngineSettings m_settings;
    EngineFaults m_faults;
    EngineOrder m_order;
    bool m_isReady = true;
    uint64_t m_arrivals = 0;
    uint64_t m_changes = 0;
    uint64_t m_interrupted = 0;
    uint32_t m_running = 0;
    std::vector<std::shared_ptr<EngineJob>> m_prefills;
    bool m_isPrefilling = false;
    std::map<RequestId, std::shared_ptr<EngineJob>> m_jobs;
    std::deque<RequestId> m_finished;
    std::vector<std::shared_ptr<EngineJob>> m_queue;
    std::deque<LoadSample> m_samples;
    std::deque<uint64_t> m_cacheOrder; /**< oldest first */
    std::set<uint64_t> m_cache;
    struct TimedEvent {
        TimePoint visibleAt;
        CacheEvent event;
    };
    std::deque<TimedEvent> m_events;
    uint64_t m_lastSequence = 0;
    std::deque<nlohmann::json> m_log;
    TimerSubscription m_sampleTimer;
};

} // namespace chestnut
