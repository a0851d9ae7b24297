#include "control/Fakes.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr Duration waitPoll = std::chrono::milliseconds(50);

    Error unavailableError() { return makeError(ErrorKind::PlatformUnavailable, "fake outage"); }
    Error responseLostError() { return makeError(ErrorKind::PlatformAnswerLost, "fake lost response"); }

} // namespace

asio::awaitable<bool> MemoryKeyValueStore::enterCall()
{
    if (latency > Duration::zero())
        co_await m_timers.sleep(latency);
    expireSessions();
    co_return !isDown;
}

bool MemoryKeyValueStore::shouldLoseResponse()
{
    if (lostResponses == 0)
        return false;
    --lostResponses;
    return true;
}

void MemoryKeyValueStore::put(const std::string& key, const std::string& value)
{
    auto& entry = entries[key];
    entry.key = key;
    entry.value = value;
    entry.modifyIndex = ++m_index;
}

uint64_t MemoryKeyValueStore::modifyIndexOf(const std::string& key) const
{
    auto found = entries.find(key);
    return found == entries.end() ? 0 : found->second.modifyIndex;
}

KeyValueRead MemoryKeyValueStore::readNow(const std::string& key) const
{
    if (staleConfiguration && staleConfiguration->key == key)
        return { staleConfiguration, staleConfiguration->modifyIndex };
    auto found = entries.find(key);
    if (found == entries.end())
        return { std::nullopt, m_index };
    return { found->second, found->second.modifyIndex };
}

void MemoryKeyValueStore::endSession(const std::string& id)
{
    m_sessions.erase(id);
    for (auto& [key, entry] : entries) {
        if (entry.session == id) {
            entry.session.clear();
            entry.modifyIndex = ++m_index;
        }
    }
}

void MemoryKeyValueStore::expireSessions()
{
    std::vector<std::string> ended;
    for (const auto& [id, session] : m_sessions) {
        if (session.end <= m_timers.now())
            ended.push_back(id);
    }
    for (const auto& id : ended)
        endSession(id);
}

asio::awaitable<Result<KeyValueRead>> MemoryKeyValueStore::read(std::string key)
{
    ++reads;
    if (!co_await enterCall())
        co_return unavailableError();
    co_return readNow(key);
}

asio::awaitable<Result<KeyValueRead>> MemoryKeyValueStore::wait(std::string key, uint64_t index, Duration maximumWait)
{
    auto end = m_timers.now() + maximumWait;
    ++reads;
    while (true) {
        if (!co_await enterCall())
            co_return unavailableError();
        auto result = readNow(key);
        if (index == 0 || result.index > index || m_timers.now() >= end)
            co_return result;
        co_await m_timers.sleep(waitPoll);
    }
}

asio::awaitable<Result<std::vector<KeyValueEntry>>> MemoryKeyValueStore::list(std::string prefix)
{
    if (!co_await enterCall())
        co_return unavailableError();
    std::vector<KeyValueEntry> found;
    for (const auto& [key, entry] : entries) {
        if (key.starts_with(prefix))
            found.push_back(entry);
    }
    co_return found;
}

asio::awaitable<Result<bool>> MemoryKeyValueStore::compareAndSwap(std::string key, std::string value, uint64_t expected)
{
    std::vector<KeyValueOperation> operations;
    operations.push_back({ std::move(key), std::move(value), expected });
    co_return co_await transact(std::move(operations));
}

asio::awaitable<Result<bool>> MemoryKeyValueStore::transact(std::vector<KeyValueOperation> operations)
{
    if (!co_await enterCall())
        co_return unavailableError();
    bool matches = std::ranges::all_of(operations, [this](const auto& operation) { return modifyIndexOf(operation.key) == operation.expectedModifyIndex; });
    if (matches) {
        for (const auto& operation : operations)
            put(operation.key, operation.value);
    }
    if (shouldLoseResponse())
        co_return responseLostError();
    co_return matches;
}

asio::awaitable<Result<void>> MemoryKeyValueStore::remove(std::string key)
{
    if (!co_await enterCall())
        co_return unavailableError();
    entries.erase(key);
    co_return boost::system::in_place_value;
}

asio::awaitable<Result<bool>> MemoryKeyValueStore::removeIf(std::string key, uint64_t expectedModifyIndex)
{
    if (!co_await enterCall())
        co_return unavailableError();
    bool matches = modifyIndexOf(key) == expectedModifyIndex;
    if (matches)
        removals += entries.erase(key);
    co_return matches;
}

asio::awaitable<Result<void>> MemoryKeyValueStore::removePrefix(std::string prefix)
{
    if (!co_await enterCall())
        co_return unavailableError();
    std::erase_if(entries, [&prefix](const auto& entry) { return entry.first.starts_with(prefix); });
    co_return boost::system::in_place_value;
}

asio::awaitable<Result<std::string>> MemoryKeyValueStore::createSession(Duration timeToLive)
{
    if (!co_await enterCall())
        co_return unavailableError();
    auto id = "session" + std::to_string(++m_sessionCount);
    m_sessions[id] = { timeToLive, m_timers.now() + timeToLive };
    co_return id;
}

asio::awaitable<Result<void>> MemoryKeyValueStore::renewSession(std::string session)
{
    if (!co_await enterCall())
        co_return unavailableError();
    auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        co_return makeError(ErrorKind::NotFound, "the session has ended");
    found->second.end = m_timers.now() + found->second.timeToLive;
    co_return boost::system::in_place_value;
}

asio::awaitable<Result<void>> MemoryKeyValueStore::destroySession(std::string session)
{
    if (!co_await enterCall())
        co_return unavailableError();
    endSession(session);
    co_return boost::system::in_place_value;
}

asio::awaitable<Result<bool>> MemoryKeyValueStore::acquire(std::string key, std::string value, std::string session)
{
    if (!co_await enterCall())
        co_return unavailableError();
    auto& entry = entries[key];
    bool isFree = m_sessions.contains(session) && (entry.session.empty() || entry.session == session);
    if (isFree) {
        if (entry.session.empty())
            ++entry.lockIndex;
        entry.session = session;
        put(key, value);
    }
    if (shouldLoseResponse())
        co_return responseLostError();
    co_return isFree;
}

asio::awaitable<Result<bool>> MemoryKeyValueStore::release(std::string key, std::string value, std::string session)
{
    if (!co_await enterCall())
        co_return unavailableError();
    auto& entry = entries[key];
    if (entry.session != session)
        co_return false;
    entry.session.clear();
    put(key, value);
    co_return true;
}

FakePeerService::FakePeerService(PeerNetwork& network, MemberRecord record)
    : m_network(network)
    , m_self(record.id)
{
    network.records[m_self] = std::move(record);
    network.services[m_self] = this;
}

FakePeerService::~FakePeerService()
{
    m_network.services.erase(m_self);
}

asio::awaitable<Result<nlohmann::json>> FakePeerService::call(DaemonId receiver, std::string type, nlohmann::json body, Duration)
{
    ++m_network.calls[type];
    auto found = m_network.services.find(receiver);
    if (found == m_network.services.end() || m_network.partitioned.contains(receiver) || m_network.partitioned.contains(m_self))
        co_return makeError(ErrorKind::ConnectFailed, "fake partition");
    auto handler = found->second->handlers.find(type);
    if (handler == found->second->handlers.end())
        co_return makeError(ErrorKind::BadRequest, "no handler");
    co_return co_await handler->second(m_self, std::move(body));
}

std::vector<MemberRecord> FakePeerService::members() const
{
    std::vector<MemberRecord> members;
    for (const auto& [id, record] : m_network.records)
        members.push_back(record);
    return members;
}

std::optional<MemberRecord> FakePeerService::member(const DaemonId& id) const
{
    auto found = m_network.records.find(id);
    return found == m_network.records.end() ? std::nullopt : std::optional(found->second);
}

namespace {

    bool runsSame(const EngineOrder& a, const EngineOrder& b)
    {
        return a.role == b.role && a.model == b.model && a.version == b.version && a.adapters == b.adapters;
    }

} // namespace

asio::awaitable<Result<std::unique_ptr<CompletionStream>>> FakeEngineClient::complete(Endpoint, CompletionCall)
{
    co_return makeError(ErrorKind::Internal, "not faked");
}

asio::awaitable<Result<std::unique_ptr<CompletionStream>>> FakeEngineClient::resume(Endpoint, RequestId, uint64_t)
{
    co_return makeError(ErrorKind::Internal, "not faked");
}

void FakeEngineClient::completeChange(FakeEngine& engine) const
{
    if (!engine.target || m_timers.now() < engine.changeEnd)
        return;
    if (engine.crashesInChange > 0)
        --engine.crashesInChange;
    else
        engine.state = *engine.target;
    engine.target.reset();
}

asio::awaitable<Result<EngineLoad>> FakeEngineClient::load(Endpoint endpoint)
{
    auto& engine = engines[formatEndpoint(endpoint)];
    if (engine.isDown)
        co_return makeError(ErrorKind::ConnectFailed, "engine is down");
    EngineLoad load;
    load.running = engine.running;
    load.slots = 32;
    co_return load;
}

Result<void> FakeEngineClient::applyOrder(FakeEngine& engine, const EngineOrder& order) const
{
    if (engine.isDown)
        return makeError(ErrorKind::ConnectFailed, "engine is down");
    if (engine.checksFencing && order.fencingNumber < engine.highestFencing)
        return makeError(ErrorKind::StaleAuthority, "stale fencing number");
    completeChange(engine);
    for (const auto& earlier : engine.applied) {
        bool sameOrder = earlier.fencingNumber == order.fencingNumber && earlier.sequence == order.sequence;
        if (earlier.fencingNumber > order.fencingNumber || (sameOrder && !runsSame(earlier, order)))
            ++engine.conflicts;
    }
    engine.highestFencing = std::max(engine.highestFencing, order.fencingNumber);
    engine.applied.push_back(order);
    if (runsSame(engine.state, order) && !engine.target) {
        engine.state = order;
    } else {
        engine.interrupted += engine.running > 0 ? 1 : 0;
        engine.target = order;
        engine.changeEnd = m_timers.now() + engine.changeTime;
    }
    if (engine.lostResponses > 0) {
        --engine.lostResponses;
        return makeError(ErrorKind::OutcomeUnknown, "lost response");
    }
    return boost::system::in_place_value;
}

asio::awaitable<Result<void>> FakeEngineClient::order(Endpoint endpoint, EngineOrder order, Duration)
{
    auto& engine = engines[formatEndpoint(endpoint)];
    if (engine.orderDelay > Duration::zero())
        co_await m_timers.sleep(engine.orderDelay);
    co_return applyOrder(engine, order);
}

asio::awaitable<Result<EngineState>> FakeEngineClient::state(Endpoint endpoint)
{
    auto& engine = engines[formatEndpoint(endpoint)];
    if (engine.isDown)
        co_return makeError(ErrorKind::ConnectFailed, "engine is down");
    completeChange(engine);
    co_return EngineState { engine.target ? *engine.target : engine.state, !engine.target.has_value() };
}

} // namespace chestnut
