#pragma once

#include "infrastructure/testing/KeyValueModel.h"
#include "kernel/timers/TimerService.h"

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace chestnut {

/** Faults injected into the calls of one client. They can be changed at any time. */
struct KeyValueFaults {
    bool isOutage = false; /**< calls have no effect and fail with PlatformUnavailable */
    bool isPaused = false; /**< calls neither start nor return; simulates a paused process */
    Duration latency { 0 }; /**< before a call takes effect */
    Duration responseLatency { 0 }; /**< after a call took effect */
    unsigned lostResponses = 0; /**< this many next writes take effect, and their responses are lost */
    unsigned lostWrites = 0; /**< this many next writes have no effect, and their responses are lost */
    unsigned lateWrites = 0; /**< the responses to this many next writes are lost, and they take effect after lateDelay */
    Duration lateDelay = std::chrono::seconds(1);
};

/** An in-memory KeyValueStore for tests. Each client has its own instance; instances share a model. */
class FakeKeyValueStore final : public KeyValueStore {
public:
    FakeKeyValueStore(std::shared_ptr<KeyValueModel>, TimerService&);

    asio::awaitable<Result<KeyValueRead>> read(std::string key) override;
    asio::awaitable<Result<KeyValueRead>> wait(std::string key, uint64_t index, Duration maximumWait) override;
    asio::awaitable<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override;
    asio::awaitable<Result<bool>> compareAndSwap(std::string key, std::string value, uint64_t expectedModifyIndex) override;
    asio::awaitable<Result<bool>> transact(std::vector<KeyValueOperation>) override;
    asio::awaitable<Result<void>> remove(std::string key) override;
    asio::awaitable<Result<bool>> removeIf(std::string key, uint64_t expectedModifyIndex) override;
    asio::awaitable<Result<void>> removePrefix(std::string prefix) override;
    asio::awaitable<Result<std::string>> createSession(Duration timeToLive) override;
    asio::awaitable<Result<void>> renewSession(std::string session) override;
    asio::awaitable<Result<void>> destroySession(std::string session) override;
    asio::awaitable<Result<bool>> acquire(std::string key, std::string value, std::string session) override;
    asio::awaitable<Result<bool>> release(std::string key, std::string value, std::string session) override;

    KeyValueFaults& faults() { return m_faults; }
    KeyValueModel& model() { return *m_model; }

    /** Number of calls of a kind so far: read, wait, list, cas, txn, delete, session or lock. */
    unsigned calls(const std::string& kind) const;
    /** Number of calls of all kinds that write. */
    unsigned writes() const;

private:
    using Effect = std::function<bool()>;

    asio::awaitable<void> simulateDelay(Duration);
    asio::awaitable<Result<void>> beginCall(std::string kind);
    asio::awaitable<Result<bool>> write(std::string kind, Effect);

    std::shared_ptr<KeyValueModel> m_model;
    TimerService& m_timers;
    KeyValueFaults m_faults;
    std::map<std::string, unsigned> m_calls;
    std::list<TimerSubscription> m_lateWrites;
};

} // namespace chestnut
