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

/** One completion at the engine. It runs independently of the connection that asked for it. */
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
    bool isCut = false; /**< cancelled or interrupted: its readers end without [DONE] */
    double prefillTokens = 0; /**< still to be done */
    asio::steady_timer prefilled; /**< cancelled when the prefill is done */
    asio::steady_timer changed; /**< cancelled at each change, which wakes the readers */
};

/** Continuous batching, prefix cache, load and orders of one engine in real time. */
class EngineSimulator : public std::enable_shared_from_this<EngineSimulator> {
public:
    EngineSimulator(asio::io_context&, EngineSettings, EngineFaults);

    void start();

    /** Queues a completion. Overloaded while the engine changes. */
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
    void startWaiting();
    static asio::awaitable<void> run(std::shared_ptr<EngineSimulator>, std::shared_ptr<EngineJob>);
    /** Serves the prefills in chunks, the most urgent one first. */
    static asio::awaitable<void> prefillLoop(std::shared_ptr<EngineSimulator>);
    double cachePrompt(const std::string& prompt);
    void addEvent(bool isStored, uint64_t hash);
    void finish(EngineJob&);
    static asio::awaitable<void> change(std::shared_ptr<EngineSimulator>, EngineOrder);

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
    std::vector<std::shared_ptr<EngineJob>> m_waiting;
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
    TimerSubscription m_sampling;
};

} // namespace chestnut
