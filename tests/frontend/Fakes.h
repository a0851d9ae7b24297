#pragma once

#include "backends/backends.h"
#include "claims/service/ClaimService.h"
#include "control/configuration/ConfigurationService.h"
#include "http/server/HttpServer.h"
#include "kernel/timers/TimerService.h"
#include "peers/service/PeerService.h"

#include <map>
#include <set>

namespace chestnut {

class FakeConfiguration final : public ConfigurationService {
public:
    std::shared_ptr<const Configuration> current() const override { return configuration; }
    void onChange(std::function<void(std::shared_ptr<const Configuration>)> callback) override { callbacks.push_back(std::move(callback)); }

    void publish(Configuration next)
    {
        configuration = std::make_shared<Configuration>(std::move(next));
        for (const auto& callback : callbacks)
            callback(configuration);
    }

    std::shared_ptr<const Configuration> configuration;
    std::vector<std::function<void(std::shared_ptr<const Configuration>)>> callbacks;
};

/** Grants each key once and records completed and abandoned claims. */
class FakeClaims final : public ClaimService {
public:
    asio::awaitable<Result<ClaimDecision>> claim(AccountId, std::string key, Digest) override
    {
        ++claims;
        if (auto response = responses.find(key); response != responses.end())
            co_return ClaimDecision(ClaimCompleted { response->second });
        if (!granted.insert(key).second)
            co_return makeError(ErrorKind::AlreadyRun, "claimed before");
        co_return ClaimDecision(ClaimGranted {});
    }
    std::optional<Result<ClaimDecision>> localDecision(AccountId, const std::string& key, const Digest&) const override
    {
        if (auto response = responses.find(key); response != responses.end())
            return Result<ClaimDecision>(ClaimCompleted { response->second });
        return inDoubt.contains(key) ? std::optional<Result<ClaimDecision>>(makeError(ErrorKind::OutcomeUnknown, "in doubt")) : std::nullopt;
    }
    asio::awaitable<std::optional<Error>> findClaimInLog(AccountId, std::string key, Digest) override
    {
        co_return granted.contains(key) ? std::optional(makeError(ErrorKind::AlreadyRun, "in the log")) : std::nullopt;
    }
    void complete(AccountId, const std::string& key, HttpResponse response) override { responses[key] = std::move(response); }
    void abandon(AccountId, const std::string& key) override
    {
        ++abandoned;
        granted.erase(key);
    }
    std::string keyPrefix() const override { return "7"; }

    std::set<std::string> granted;
    std::set<std::string> inDoubt;
    std::map<std::string, HttpResponse> responses;
    uint32_t claims = 0;
    uint32_t abandoned = 0;
};

class FakePeers final : public PeerService {
public:
    void handle(std::string type, PeerHandler handler) override { handlers[type] = std::move(handler); }
    void extendHeartbeat(HeartbeatExtension extension) override { extensions.push_back(std::move(extension)); }
    asio::awaitable<Result<nlohmann::json>> call(DaemonId receiver, std::string type, nlohmann::json body, Duration) override
    {
        auto peer = reachable.find(receiver);
        if (peer == reachable.end())
            co_return makeError(ErrorKind::ConnectFailed, "no such peer");
        co_return co_await peer->second->handlers.at(type)(record.id, std::move(body));
    }
    std::vector<MemberRecord> members() const override
    {
        auto all = others;
        all.push_back(record);
        return all;
    }
    std::optional<MemberRecord> member(const DaemonId& id) const override
    {
        auto peer = reachable.find(id);
        return id == record.id ? std::optional(record) : peer != reachable.end() ? std::optional(peer->second->record)
                                                                                 : std::nullopt;
    }
    const DaemonId& self() const override { return record.id; }
    Incarnation incarnation() const override { return 7; }
    void announceState(MemberState state) override { record.state = state; }
    void announceRevision(Revision) override { }
    void announceLoad(uint32_t load) override { record.loadPermille = load; }
    void onMemberChange(std::function<void(const MemberRecord&)>) override { }

    MemberRecord record { DaemonId("d1"), 7, 1, MemberState::Ready, AvailabilityZone("a"), Region("r"), "127.0.0.1:8000", "127.0.0.1:8001" };
    std::map<DaemonId, FakePeers*> reachable;
    std::map<std::string, PeerHandler> handlers;
    std::vector<MemberRecord> others;
    std::vector<HeartbeatExtension> extensions;
};

/** How a fake engine or backend server behaves. */
struct FakeBackend {
    bool isDown = false; /**< refuses connections */
    bool isHung = false; /**< accepts calls and does not respond */
    bool misroutesNext = false; /**< the next response carries another request's id */
    bool refusesResume = false; /**< responds to the resumption of a stream that it is full */
    Duration firstDelay = std::chrono::milliseconds(20);
    Duration tokenDelay = std::chrono::milliseconds(10);
    std::optional<uint64_t> crashesAfterTokens; /**< the process crashes after this many tokens of one stream */
    bool dropsNextConnection = false; /**< the next stream's connection breaks after a token; the process keeps running */
    std::string crashesOn; /**< a body that contains this text crashes the process */
    bool losesResponse = false; /**< runs the next call and closes the connection without a response */
    std::vector<std::string> bodies;
    std::multiset<RequestId> running; /**< one entry for each reader */
    std::vector<RequestId> cancelled;
    std::vector<int> priorities;
    uint32_t executions = 0;
};

/** Text of the token with this index, for any prompt. */
inline std::string fakeToken(uint64_t index)
{
    return " t" + std::to_string(index);
}

class FakeEngines final : public EngineClient {
public:
    explicit FakeEngines(TimerService& timers)
        : m_timers(timers)
    {
    }

    asio::awaitable<Result<std::unique_ptr<CompletionStream>>> complete(Endpoint, CompletionCall) override;
    asio::awaitable<Result<std::unique_ptr<CompletionStream>>> resume(Endpoint, RequestId, uint64_t afterToken) override;
    asio::awaitable<Result<void>> cancel(Endpoint, RequestId) override;
    asio::awaitable<Result<EngineLoad>> load(Endpoint) override;
    asio::awaitable<Result<std::vector<CacheEvent>>> cacheEvents(Endpoint, uint64_t) override { co_return std::vector<CacheEvent>(); }
    asio::awaitable<Result<void>> order(Endpoint, EngineOrder, Duration) override { co_return Result<void>(); }
    asio::awaitable<Result<EngineState>> state(Endpoint) override { co_return EngineState {}; }

    FakeBackend& at(uint16_t port) { return m_backends[port]; }
    size_t calls() const;

private:
    TimerService& m_timers;
    std::map<uint16_t, FakeBackend> m_backends;
    std::map<RequestId, uint64_t> m_totals; /**< lengths of the streams that can be resumed */
};

class FakeServers final : public BackendServerClient {
public:
    explicit FakeServers(TimerService& timers)
        : m_timers(timers)
    {
    }

    asio::awaitable<Result<HttpResponse>> call(Endpoint, HttpRequest, Duration timeout) override;
    asio::awaitable<Result<BackendServerLoad>> load(Endpoint) override;

    FakeBackend& at(uint16_t port) { return m_backends[port]; }
    uint32_t executions() const;

private:
    TimerService& m_timers;
    std::map<uint16_t, FakeBackend> m_backends;
};

/** Collects a response. */
class FakeWriter final : public HttpResponseWriter {
public:
    explicit FakeWriter(TimerService& timers)
        : m_timers(timers)
    {
    }

    asio::awaitable<Result<void>> send(HttpResponse) override;
    asio::awaitable<Result<void>> begin(int status, HttpHeaders) override;
    asio::awaitable<Result<void>> write(std::string chunk) override;
    asio::awaitable<Result<void>> finish() override;
    void abort() override { isAborted = true; }
    void onCallerDisconnect(std::function<void()> callback) override { disconnectCallback = std::move(callback); }
    bool isCallerDisconnected() const override { return false; }
    bool hasBegun() const override { return status != 0; }

    /** The caller closes its connection. */
    void disconnect()
    {
        isDisconnected = true;
        if (auto callback = std::exchange(disconnectCallback, nullptr))
            callback();
    }

    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool isFinished = false;
    bool isAborted = false;
    bool isDisconnected = false;
    Duration writeDelay {};
    std::function<void()> disconnectCallback;

private:
    TimerService& m_timers;
};

} // namespace chestnut
