#pragma once

#include "gateway/gateway.h"
#include "kernel/timers/VirtualTimerService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace chestnut {

/** An in-memory store with outages, lost responses, history compaction and leases in virtual time. */
class FakeVersionedStore final : public VersionedStore {
public:
    explicit FakeVersionedStore(VirtualTimerService& timers)
        : m_timers(timers)
    {
    }

    bool isDown = false;
    bool hidesEpoch = false; /**< responses do not show the epoch */
    bool dropsResponses = false; /**< writes take effect, but their responses are lost */
    size_t calls = 0;
    /** Grants a lease to another owner. */
    uint64_t addLease(Duration timeToLive);
    std::function<void()> afterGrant; /**< called once, between the next grant of a lease and its response */
    size_t linkBytesPerSecond = 0; /**< at which lists and changes are transferred; zero: without delay */

    /** The open connections get silent without being closed: waiting watches and the next renewal get no response. New
        connections work. */
    void silenceConnections();
    /** Ends the waiting watches without a response, as the store may do at any time. */
    void cutWatches() { ++m_cuts; }

    void put(const std::string& key, const std::string& value, uint64_t lease = 0);
    void erase(const std::string& key);
    /** Drops the history; watches from an older revision report that. */
    void compact() { m_oldest = m_revision + 1; }
    const std::map<std::string, StoreItem>& items() const { return m_items; }

    /** The state of the store at one moment. */
    struct Copy;
    Copy copy() const;
    /** Replaces the state by a copy. Revisions go back and the epoch increases. */
    void restore(const Copy&);

    asio::awaitable<Result<StorePage>> list(std::string prefix, std::string after) override;
    asio::awaitable<Result<StoreChanges>> watch(std::string prefix, uint64_t revision, Duration wait, std::shared_ptr<AbortHandle>) override;
    asio::awaitable<Result<uint64_t>> transact(std::vector<StoreCondition>, std::vector<StoreWrite>, std::vector<std::string> removals) override;

private:
    asio::awaitable<Result<uint64_t>> grant(Duration timeToLive) override;
    asio::awaitable<Result<void>> renew(uint64_t lease) override;
    asio::awaitable<Result<void>> end(uint64_t lease) override;

    struct Lease {
        Duration timeToLive {};
        TimePoint end;
    };

    /** Records the epoch that the header of a response shows. */
    void sendHeader()
    {
        if (!hidesEpoch)
            recordEpoch(m_ownEpoch, epoch());
    }
    /** Completes when the values have been received. */
    asio::awaitable<void> transfer(size_t valueBytes);
    StoreChanges changesAfter(const std::string& prefix, uint64_t revision) const;
    void expireLeases();
    void removeLease(uint64_t lease);

    VirtualTimerService& m_timers;
    std::map<std::string, StoreItem> m_items;
    std::map<std::string, uint64_t> m_leaseOf;
    std::vector<StoreChange> m_history;
    std::map<uint64_t, Lease> m_leases;
    uint64_t m_revision = 1;
    uint64_t m_oldest = 1;
    uint64_t m_lastLease = 0;
    StoreEpoch m_ownEpoch = 0;
    uint32_t m_silences = 0; /**< of the open connections so far */
    uint32_t m_cuts = 0; /**< of the waiting watches so far */
    bool m_isIdleConnectionSilent = false;
};

struct FakeVersionedStore::Copy {
    std::map<std::string, StoreItem> items;
    std::map<std::string, uint64_t> leaseOf;
    std::map<uint64_t, Lease> leases;
    uint64_t revision = 0;
    uint64_t lastLease = 0;
};

/** The response of a fake replica to one call. */
struct ScriptedResponse {
    std::optional<Error> error;
    ExecutionStatus executionStatus = ExecutionStatus::Executed;
    int status = 200;
    HttpHeaders headers;
    std::vector<std::string> chunks;
    bool endsWithConnection = false; /**< the body has no length */
    bool closesEarly = false; /**< after the chunks, without the end of the body */
    Duration delay {};
    Duration chunkDelay {}; /**< before each chunk */
    std::map<size_t, Duration> delays; /**< before the chunk of this index, or before the end of the body, instead of chunkDelay */
};

/** Speed and prompt cache of the fake prefill engines. Each serves one prompt after the other, also those of aborted calls. */
struct FakePrefillModel {
    double tokensPerMillisecond = 100;
    Duration fixedTime = std::chrono::milliseconds(2);
    double tokensRead = 0; /**< by all engines */
    double tokensInVain = 0; /**< of aborted calls */
    std::map<ReplicaId, TimePoint> freeAt;
    std::map<ReplicaId, std::set<uint64_t>> cachedParts;
    std::set<ReplicaId> unresponsive; /**< accept calls and never respond */
};

/** What a fake engine answers to calls about a run. */
struct RunAnswers {
    bool mayBeRunning = true;
    RunStopResult stop = RunStopResult::Stopped;
    std::optional<Error> error; /**< of each call, at once */
    std::optional<Error> stopError; /**< of a call to end a run */
    Duration stopTime {}; /**< until the answer to a call to end a run */
    /** From a call to end a run until its engine closes the stream without its end. Absent: the stream goes on. */
    std::optional<Duration> closesStreamAfter;
    bool isUnresponsive = false; /**< calls get no answer */
};

/** Fake replicas with scripted responses. An aborted call fails like a broken connection. */
class FakeReplicaClient final : public ReplicaClient {
public:
    struct Sent {
        ReplicaId replica;
        std::optional<CacheHandle> handle;
        std::optional<std::string> resumeAfter;
        std::optional<uint32_t> priority;
        Duration timeLeft {};
        std::optional<RequestAccount> account;
    };

    explicit FakeReplicaClient(VirtualTimerService& timers)
        : m_timers(timers)
    {
    }

    std::map<ReplicaId, std::deque<ScriptedResponse>> scripts; /**< the last response of a script is repeated */
    std::map<ReplicaId, std::optional<Error>> prefillErrors;
    std::optional<FakePrefillModel> prefillModel; /**< absent: prefills respond immediately */
    std::map<ReplicaId, EngineReport> reports;
    std::map<ReplicaId, NoticeContent> notices; /**< in each response of the replica, also in errors */
    std::vector<Sent> sent;
    std::vector<ReplicaId> prefills;
    std::vector<std::optional<RequestAccount>> prefillAccounts; /**< of the prefill calls */
    std::vector<CacheHandle> released;
    size_t reportCalls = 0;
    std::vector<StageOrder> orders;
    std::map<ReplicaId, RunAnswers> runAnswers;
    std::vector<ReplicaId> stoppedAt; /**< engines that were asked to end a run */
    std::vector<std::string> successors; /**< addresses of the engines that continue these runs */

    asio::awaitable<Result<ReplicaResponse>> send(ReplicaCall) override;
    asio::awaitable<Result<PrefillResponse>> prefill(ReplicaCall) override;
    asio::awaitable<Result<void>> release(CacheHandle) override;
    asio::awaitable<Result<EngineReport>> report(ReplicaId, std::string address) override;
    asio::awaitable<Result<OrderResult>> order(StageOrder) override;
    asio::awaitable<Result<bool>> mayBeRunning(EngineRun, Duration timeout) override;
    asio::awaitable<Result<RunStopResult>> stopRun(EngineRun, std::string successor, Duration timeout) override;

private:
    /** The error of a call about a run, if there is one. */
    asio::awaitable<std::optional<Error>> failRunCall(ReplicaId, Duration timeout);
    void publish(const ReplicaId&, const std::string& address, TimePoint sentAt);
    ScriptedResponse nextResponse(const ReplicaId&);
    /** When the engine closes the streams that are open then. */
    std::shared_ptr<TimePoint> closeTimeOf(const ReplicaId&);
    /** Reads the missing parts of the prompt; returns when the engine has done so. */
    TimePoint queuePrefill(const ReplicaCall&, double& missingTokens);

    VirtualTimerService& m_timers;
    std::map<ReplicaId, std::shared_ptr<TimePoint>> m_closeTimes;
};

/** Fake daemons that serve their configurations. */
class FakeConfigurationClient final : public ConfigurationClient {
public:
    using Response = std::function<Result<std::optional<std::string>>(uint64_t above)>;

    explicit FakeConfigurationClient(VirtualTimerService& timers)
        : m_timers(timers)
    {
    }

    std::map<std::string, Response> responses; /**< by IP:PORT; other daemons cannot be reached */
    std::set<std::string> silent; /**< daemons that accept a request and never respond */
    std::vector<std::string> fetched; /**< the daemons that were asked */
    Duration delay {}; /**< of each response */

    asio::awaitable<Result<std::optional<std::string>>> fetch(Endpoint, uint64_t above) override;

private:
    VirtualTimerService& m_timers;
};

/** Records the response that a client would receive. */
class FakeWriter final : public HttpResponseWriter {
public:
    asio::awaitable<Result<void>> send(HttpResponse) override;
    asio::awaitable<Result<void>> begin(int status, HttpHeaders) override;
    asio::awaitable<Result<void>> write(std::string chunk) override;
    asio::awaitable<Result<void>> finish() override;
    void abort() override { wasAborted = true; }
    void onCallerDisconnect(std::function<void()> callback) override { disconnectCallback = std::move(callback); }
    bool isCallerDisconnected() const override { return false; }
    bool hasBegun() const override { return status != 0; }

    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool isFinished = false;
    bool wasAborted = false;
    std::function<void()> disconnectCallback;
    std::function<asio::awaitable<void>()> beforeWrite; /**< delays the client */
};

/** Encodes a replica entry for decodeTestEntry(): service, stage, zone, state, start, heartbeat, slots. A test may add the word
    "reclaimable" and the milliseconds left until it leaves, and last "version=" with the software version. */
std::string testEntry(const std::string& service, const std::string& stage, const std::string& zone = "a", const std::string& state = "ready", int start = 1, int heartbeat = 1, int slots = 4);
Result<ReplicaEntry> decodeTestEntry(const ReplicaId&, std::string_view);

} // namespace chestnut
