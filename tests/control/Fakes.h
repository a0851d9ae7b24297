#pragma once

#include "backends/engines/EngineClient.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "infrastructure/vmlist/VmList.h"
#include "kernel/timers/VirtualTimerService.h"
#include "peers/service/PeerService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <set>

namespace chestnut {

/** In-memory key-value service with outages, lost responses and latency. */
class MemoryKeyValueStore final : public KeyValueStore {
public:
    explicit MemoryKeyValueStore(VirtualTimerService& timers)
        : m_timers(timers)
    {
    }

    bool isDown = false;
    int lostResponses = 0; /**< number of next writes that take effect but whose response is lost */
    size_t reads = 0; /**< calls of read() and wait() */
    size_t removals = 0; /**< keys that removeIf() removed */
    Duration latency { 0 };
    std::optional<KeyValueEntry> staleConfiguration; /**< returned for config/current instead of the newest one */
    std::map<std::string, KeyValueEntry> entries;

    asio::awaitable<Result<KeyValueRead>> read(std::string key) override;
    asio::awaitable<Result<KeyValueRead>> wait(std::string key, uint64_t index, Duration maximumWait) override;
    asio::awaitable<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override;
    asio::awaitable<Result<bool>> compareAndSwap(std::string key, std::string value, uint64_t expected) override;
    asio::awaitable<Result<bool>> transact(std::vector<KeyValueOperation>) override;
    asio::awaitable<Result<void>> remove(std::string key) override;
    asio::awaitable<Result<bool>> removeIf(std::string key, uint64_t expectedModifyIndex) override;
    asio::awaitable<Result<void>> removePrefix(std::string prefix) override;
    asio::awaitable<Result<std::string>> createSession(Duration timeToLive) override;
    asio::awaitable<Result<void>> renewSession(std::string session) override;
    asio::awaitable<Result<void>> destroySession(std::string session) override;
    asio::awaitable<Result<bool>> acquire(std::string key, std::string value, std::string session) override;
    asio::awaitable<Result<bool>> release(std::string key, std::string value, std::string session) override;

private:
    struct Session {
        Duration timeToLive;
        TimePoint end;
    };

    void expireSessions();
    void endSession(const std::string& id);
    void put(const std::string& key, const std::string& value);
    uint64_t modifyIndexOf(const std::string& key) const;
    KeyValueRead readNow(const std::string& key) const;
    asio::awaitable<bool> enterCall();
    bool shouldLoseResponse();

    VirtualTimerService& m_timers;
    std::map<std::string, Session> m_sessions;
    uint64_t m_index = 0;
    uint64_t m_sessionCount = 0;
};

class FakePeerService;

/** Daemons that receive each other's records immediately. Calls from and to partitioned daemons fail. */
struct PeerNetwork {
    std::map<DaemonId, FakePeerService*> services;
    std::map<DaemonId, MemberRecord> records;
    std::set<DaemonId> partitioned;
    std::map<std::string, int> calls; /**< number of messages sent, by type */
};

class FakePeerService final : public PeerService {
public:
    FakePeerService(PeerNetwork&, MemberRecord);
    ~FakePeerService() override;

    void handle(std::string type, PeerHandler handler) override { handlers[type] = std::move(handler); }
    void extendHeartbeat(HeartbeatExtension) override { }
    asio::awaitable<Result<nlohmann::json>> call(DaemonId receiver, std::string type, nlohmann::json body, Duration timeout) override;
    std::vector<MemberRecord> members() const override;
    std::optional<MemberRecord> member(const DaemonId&) const override;
    const DaemonId& self() const override { return m_self; }
    Incarnation incarnation() const override { return 1; }
    void announceState(MemberState state) override { m_network.records[m_self].state = state; }
    void announceRevision(Revision revision) override { m_network.records[m_self].revision = revision; }
    void announceLoad(uint32_t) override { }
    void onMemberChange(std::function<void(const MemberRecord&)>) override { }

    std::map<std::string, PeerHandler> handlers;

private:
    PeerNetwork& m_network;
    DaemonId m_self;
};

/** One engine: completes orders after a change time and records every order that took effect. */
struct FakeEngine {
    bool checksFencing = true;
    bool isDown = false;
    int crashesInChange = 0; /**< number of next changes that end in a restart with the old state */
    int lostResponses = 0; /**< number of next orders that take effect but whose response is lost */
    Duration changeTime = std::chrono::seconds(8);
    Duration orderDelay { 0 }; /**< time from the send to the effect of an order */
    uint32_t running = 0;
    EngineOrder state; /**< the state that is running */
    std::optional<EngineOrder> target; /**< the state to which the engine is changing */
    TimePoint changeEnd;
    FencingNumber highestFencing = 0;
    std::vector<EngineOrder> applied;
    int interrupted = 0; /**< disruptive orders that arrived while requests ran */
    int conflicts = 0; /**< orders with a lower number that took effect, or another state under the same number */
};

class FakeEngineClient final : public EngineClient {
public:
    explicit FakeEngineClient(VirtualTimerService& timers)
        : m_timers(timers)
    {
    }

    std::map<std::string, FakeEngine> engines; /**< by address */

    asio::awaitable<Result<std::unique_ptr<CompletionStream>>> complete(Endpoint, CompletionCall) override;
    asio::awaitable<Result<std::unique_ptr<CompletionStream>>> resume(Endpoint, RequestId, uint64_t) override;
    asio::awaitable<Result<void>> cancel(Endpoint, RequestId) override { co_return boost::system::in_place_value; }
    asio::awaitable<Result<EngineLoad>> load(Endpoint) override;
    asio::awaitable<Result<std::vector<CacheEvent>>> cacheEvents(Endpoint, uint64_t) override { co_return std::vector<CacheEvent> {}; }
    asio::awaitable<Result<void>> order(Endpoint, EngineOrder, Duration timeout) override;
    asio::awaitable<Result<EngineState>> state(Endpoint) override;

private:
    void completeChange(FakeEngine&) const;
    Result<void> applyOrder(FakeEngine&, const EngineOrder&) const;

    VirtualTimerService& m_timers;
};

class FakeVmList final : public VmList {
public:
    std::vector<Vm> vms;
    asio::awaitable<Result<std::vector<Vm>>> fetch() override { co_return vms; }
};

} // namespace chestnut
