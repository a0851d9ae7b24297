#include "infrastructure/testing/FakeKeyValueStore.h"

#include <cassert>

namespace chestnut {

namespace {

    constexpr std::chrono::milliseconds pausePollPeriod(10);
    constexpr std::chrono::milliseconds waitPollPeriod(20);
    constexpr size_t maximumOperations = 64;

    bool consumeFault(unsigned& remaining)
    {
        if (remaining == 0)
            return false;
        --remaining;
        return true;
    }

} // namespace

FakeKeyValueStore::FakeKeyValueStore(std::shared_ptr<KeyValueModel> model, TimerService& timers)
    : m_model(std::move(model))
    , m_timers(timers)
{
}

unsigned FakeKeyValueStore::calls(const std::string& kind) const
{
    auto found = m_calls.find(kind);
    return found == m_calls.end() ? 0 : found->second;
}

unsigned FakeKeyValueStore::writes() const
{
    return calls("cas") + calls("txn") + calls("delete") + calls("session") + calls("lock");
}

asio::awaitable<void> FakeKeyValueStore::simulateDelay(Duration duration)
{
    if (duration > Duration::zero())
        co_await m_timers.sleep(duration);
    while (m_faults.isPaused)
        co_await m_timers.sleep(pausePollPeriod);
}

asio::awaitable<Result<void>> FakeKeyValueStore::beginCall(std::string kind)
{
    ++m_calls[kind];
    co_await simulateDelay(m_faults.latency);
    if (m_faults.isOutage)
        co_return makeError(ErrorKind::PlatformUnavailable, "outage");
    m_model->expireSessions(m_timers.now());
    co_return Result<void>();
}

asio::awaitable<Result<bool>> FakeKeyValueStore::write(std::string kind, Effect effect)
{
    if (auto begun = co_await beginCall(std::move(kind)); !begun)
        co_return begun.error();
    if (consumeFault(m_faults.lostWrites))
        co_return makeError(ErrorKind::PlatformAnswerLost, "lost before it took effect");
    if (consumeFault(m_faults.lateWrites)) {
        m_lateWrites.push_back(m_timers.once(m_faults.lateDelay, [effect] { effect(); }));
        co_return makeError(ErrorKind::PlatformAnswerLost, "takes effect later");
    }
    auto result = effect();
    bool isLost = consumeFault(m_faults.lostResponses);
    co_await simulateDelay(m_faults.responseLatency);
    if (isLost)
        co_return makeError(ErrorKind::PlatformAnswerLost, "lost after it took effect");
    co_return result;
}

asio::awaitable<Result<KeyValueRead>> FakeKeyValueStore::read(std::string key)
{
    if (auto begun = co_await beginCall("read"); !begun)
        co_return begun.error();
    auto result = m_model->read(key);
    co_await simulateDelay(m_faults.responseLatency);
    co_return result;
}

asio::awaitable<Result<KeyValueRead>> FakeKeyValueStore::wait(std::string key, uint64_t index, Duration maximumWait)
{
    auto end = m_timers.now() + maximumWait;
    if (auto begun = co_await beginCall("wait"); !begun)
        co_return begun.error();
    while (m_model->read(key).index <= index && m_timers.now() < end) {
        co_await m_timers.sleep(waitPollPeriod);
        if (m_faults.isOutage)
            co_return makeError(ErrorKind::PlatformUnavailable, "outage");
        m_model->expireSessions(m_timers.now());
    }
    auto result = m_model->read(key);
    co_await simulateDelay(m_faults.responseLatency);
    co_return result;
}

asio::awaitable<Result<std::vector<KeyValueEntry>>> FakeKeyValueStore::list(std::string prefix)
{
    if (auto begun = co_await beginCall("list"); !begun)
        co_return begun.error();
    auto result = m_model->list(prefix);
    co_await simulateDelay(m_faults.responseLatency);
    co_return result;
}

asio::awaitable<Result<bool>> FakeKeyValueStore::compareAndSwap(std::string key, std::string value, uint64_t expectedModifyIndex)
{
    assert(value.size() <= maximumValue);
    Effect effect = [model = m_model, key, value, expectedModifyIndex] { return model->compareAndSwap(key, value, expectedModifyIndex); };
    co_return co_await write("cas", std::move(effect));
}

asio::awaitable<Result<bool>> FakeKeyValueStore::transact(std::vector<KeyValueOperation> operations)
{
    assert(operations.size() <= maximumOperations);
    Effect effect = [model = m_model, operations] { return model->transact(operations); };
    co_return co_await write("txn", std::move(effect));
}

namespace {

    Result<void> withoutValue(const Result<bool>& result)
    {
        if (!result)
            return result.error();
        return {};
    }

} // namespace

asio::awaitable<Result<void>> FakeKeyValueStore::remove(std::string key)
{
    Effect effect = [model = m_model, key] { model->remove(key); return true; };
    co_return withoutValue(co_await write("delete", std::move(effect)));
}

asio::awaitable<Result<bool>> FakeKeyValueStore::removeIf(std::string key, uint64_t expectedModifyIndex)
{
    Effect effect = [model = m_model, key, expectedModifyIndex] { return model->removeIf(key, expectedModifyIndex); };
    co_return co_await write("delete", std::move(effect));
}

asio::awaitable<Result<void>> FakeKeyValueStore::removePrefix(std::string prefix)
{
    Effect effect = [model = m_model, prefix] { model->removePrefix(prefix); return true; };
    co_return withoutValue(co_await write("delete", std::move(effect)));
}

asio::awaitable<Result<std::string>> FakeKeyValueStore::createSession(Duration timeToLive)
{
    auto session = std::make_shared<std::string>();
    Effect effect = [model = m_model, session, timeToLive, &timers = m_timers] {
        *session = model->createSession(timeToLive, timers.now());
        return true;
    };
    auto result = co_await write("session", std::move(effect));
    if (!result)
        co_return result.error();
    co_return *session;
}

asio::awaitable<Result<void>> FakeKeyValueStore::renewSession(std::string session)
{
    Effect effect = [model = m_model, session, &timers = m_timers] { return model->renewSession(session, timers.now()); };
    auto result = co_await write("session", std::move(effect));
    if (result && !*result)
        co_return makeError(ErrorKind::NotFound, "the session has ended");
    co_return withoutValue(result);
}

asio::awaitable<Result<void>> FakeKeyValueStore::destroySession(std::string session)
{
    Effect effect = [model = m_model, session] { model->destroySession(session); return true; };
    co_return withoutValue(co_await write("session", std::move(effect)));
}

asio::awaitable<Result<bool>> FakeKeyValueStore::acquire(std::string key, std::string value, std::string session)
{
    Effect effect = [model = m_model, key, value, session] { return model->acquire(key, value, session); };
    co_return co_await write("lock", std::move(effect));
}

asio::awaitable<Result<bool>> FakeKeyValueStore::release(std::string key, std::string value, std::string session)
{
    Effect effect = [model = m_model, key, value, session] { return model->release(key, value, session); };
    co_return co_await write("lock", std::move(effect));
}

} // namespace chestnut
