#include "gateway/Fakes.h"

#include <algorithm>
#include <boost/algorithm/string/split.hpp>

namespace chestnut {

namespace {

    constexpr Duration watchStep = std::chrono::milliseconds(10);
    /** Of each call, for a watch in addition to its wait. */
    constexpr Duration callTimeout = std::chrono::milliseconds(900);

    size_t base64Size(size_t bytes)
    {
        return bytes * 4 / 3;
    }

    Error unavailable()
    {
        return makeError(ErrorKind::PlatformUnavailable, "the store is down");
    }

    /** Waits until a time; returns false when the call is aborted before. */
    asio::awaitable<bool> waitUnlessAborted(VirtualTimerService& timers, TimePoint end, std::shared_ptr<AbortHandle> abort)
    {
        bool wasInterrupted = false;
        if (abort)
            abort->attach([&wasInterrupted] { wasInterrupted = true; });
        while (timers.now() < end && !wasInterrupted)
            co_await timers.sleep(std::chrono::milliseconds(1));
        if (abort)
            abort->detach();
        co_return !wasInterrupted;
    }

    class ScriptedBody final : public HttpBodyStream {
    public:
        ScriptedBody(VirtualTimerService& timers, ScriptedResponse response, std::shared_ptr<AbortHandle> abort, std::shared_ptr<const TimePoint> closeTime)
            : m_timers(timers)
            , m_response(std::move(response))
            , m_abort(std::move(abort))
            , m_closeTime(std::move(closeTime))
            , m_openedAt(timers.now())
        {
        }

        int status() const override { return m_response.status; }
        const HttpHeaders& headers() const override { return m_headers; }
        bool endsWithConnection() const override { return m_response.endsWithConnection; }

        asio::awaitable<Result<std::optional<std::string>>> read() override
        {
            if (m_abort && m_abort->isAborted())
                co_return makeError(ErrorKind::BackendFailed, "aborted");
            auto delay = m_response.delays.contains(m_next) ? m_response.delays[m_next] : m_response.chunkDelay;
            auto sendsAt = m_timers.now() + delay;
            while (m_timers.now() < std::min(sendsAt, closesAt())) {
                if (!co_await waitUnlessAborted(m_timers, m_timers.now() + std::chrono::milliseconds(1), m_abort))
                    co_return makeError(ErrorKind::BackendFailed, "interrupted");
            }
            if (closesAt() < sendsAt)
                co_return endOfConnection();
            if (m_next < m_response.chunks.size())
                co_return std::optional(m_response.chunks[m_next++]);
            if (m_response.closesEarly)
                co_return makeError(ErrorKind::BackendFailed, "connection reset");
            co_return std::optional<std::string>();
        }

    private:
        TimePoint closesAt() const { return *m_closeTime < m_openedAt ? TimePoint::max() : *m_closeTime; }

        Result<std::optional<std::string>> endOfConnection() const
        {
            if (m_response.endsWithConnection)
                return std::optional<std::string>();
            return makeError(ErrorKind::BackendFailed, "the connection was closed before the end of the body");
        }

        VirtualTimerService& m_timers;
        ScriptedResponse m_response;
        std::shared_ptr<AbortHandle> m_abort;
        std::shared_ptr<const TimePoint> m_closeTime;
        TimePoint m_openedAt;
        HttpHeaders m_headers;
        size_t m_next = 0;
    };

} // namespace

void FakeVersionedStore::put(const std::string& key, const std::string& value, uint64_t lease)
{
    auto& item = m_items[key];
    ++m_revision;
    item = { key, value, m_revision, item.createdAt == 0 ? m_revision : item.createdAt };
    m_leaseOf[key] = lease;
    m_history.push_back({ item, false });
}

void FakeVersionedStore::erase(const std::string& key)
{
    if (m_items.erase(key) == 0)
        return;
    m_leaseOf.erase(key);
    ++m_revision;
    m_history.push_back({ { key, "", m_revision, 0 }, true });
}

void FakeVersionedStore::silenceConnections()
{
    ++m_silences;
    m_isIdleConnectionSilent = true;
}

FakeVersionedStore::Copy FakeVersionedStore::copy() const
{
    return { m_items, m_leaseOf, m_leases, m_revision, m_lastLease };
}

void FakeVersionedStore::restore(const Copy& copy)
{
    m_items = copy.items;
    m_leaseOf = copy.leaseOf;
    m_leases = copy.leases;
    m_revision = copy.revision;
    m_lastLease = copy.lastLease;
    std::erase_if(m_history, [&](const StoreChange& change) { return change.item.revision > copy.revision; });
    ++m_ownEpoch;
}

uint64_t FakeVersionedStore::addLease(Duration timeToLive)
{
    m_leases[++m_lastLease] = { timeToLive, m_timers.now() + timeToLive };
    return m_lastLease;
}

void FakeVersionedStore::removeLease(uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, owner] : m_leaseOf) {
        if (owner == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        erase(key);
}

void FakeVersionedStore::expireLeases()
{
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : m_leases) {
        if (m_timers.now() >= lease.end)
            ended.push_back(id);
    }
    for (auto id : ended)
        removeLease(id);
}

StoreChanges FakeVersionedStore::changesAfter(const std::string& prefix, uint64_t revision) const
{
    StoreChanges changes { {}, m_revision, false };
    for (const auto& change : m_history) {
        if (change.item.revision > revision && change.item.key.starts_with(prefix))
            changes.changes.push_back(change);
    }
    return changes;
}

asio::awaitable<void> FakeVersionedStore::transfer(size_t valueBytes)
{
    if (linkBytesPerSecond > 0)
        co_await m_timers.sleep(fromSeconds(static_cast<double>(base64Size(valueBytes)) / static_cast<double>(linkBytesPerSecond)));
}

asio::awaitable<Result<StorePage>> FakeVersionedStore::list(std::string prefix, std::string after)
{
    ++calls;
    expireLeases();
    if (isDown)
        co_return unavailable();
    StorePage page { {}, false, m_revision };
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix) && key > after)
            page.items.push_back(item);
    }
    size_t bytes = 0;
    for (const auto& item : page.items)
        bytes += item.value.size();
    sendHeader();
    co_await transfer(bytes);
    co_return page;
}

asio::awaitable<Result<StoreChanges>> FakeVersionedStore::watch(std::string prefix, uint64_t revision, Duration wait, std::shared_ptr<AbortHandle> abort)
{
    ++calls;
    auto end = m_timers.now() + wait;
    auto silences = m_silences;
    auto cuts = m_cuts;
    while (true) {
        expireLeases();
        if (m_silences != silences) {
            co_await waitUnlessAborted(m_timers, end + callTimeout, abort);
            co_return makeError(ErrorKind::PlatformAnswerLost, "silent");
        }
        if (m_cuts != cuts)
            co_return makeError(ErrorKind::PlatformAnswerLost, "cut");
        if (isDown)
            co_return unavailable();
        if (revision + 1 < m_oldest || revision > m_revision) {
            sendHeader();
            co_return StoreChanges { {}, 0, true };
        }
        auto changes = changesAfter(prefix, revision);
        if (!changes.changes.empty() || m_timers.now() >= end) {
            size_t bytes = 0;
            for (const auto& change : changes.changes)
                bytes += change.item.value.size();
            if (base64Size(bytes) > maximumWatchBytes)
                co_return StoreChanges { {}, 0, false, true };
            sendHeader();
            co_await transfer(bytes);
            co_return changes;
        }
        if (!co_await waitUnlessAborted(m_timers, m_timers.now() + watchStep, abort))
            co_return makeError(ErrorKind::PlatformAnswerLost, "interrupted");
    }
}

asio::awaitable<Result<uint64_t>> FakeVersionedStore::transact(std::vector<StoreCondition> conditions, std::vector<StoreWrite> writes, std::vector<std::string> removals)
{
    ++calls;
    expireLeases();
    if (isDown)
        co_return unavailable();
    sendHeader();
    for (const auto& condition : conditions) {
        auto item = m_items.find(condition.key);
        if ((item == m_items.end() ? 0 : item->second.revision) != condition.revision)
            co_return makeError(ErrorKind::PlatformConflict, "condition");
    }
    for (const auto& write : writes) {
        if (write.lease != 0 && !m_leases.contains(write.lease))
            co_return makeError(ErrorKind::NotFound, "lease");
        put(write.key, write.value, write.lease);
    }
    for (const auto& key : removals)
        erase(key);
    if (dropsResponses)
        co_return makeError(ErrorKind::PlatformAnswerLost, "lost");
    co_return m_revision;
}

asio::awaitable<Result<uint64_t>> FakeVersionedStore::grant(Duration timeToLive)
{
    ++calls;
    if (isDown)
        co_return unavailable();
    sendHeader();
    auto lease = addLease(timeToLive);
    if (auto call = std::exchange(afterGrant, {}))
        call();
    co_return lease;
}

asio::awaitable<Result<void>> FakeVersionedStore::renew(uint64_t lease)
{
    ++calls;
    if (std::exchange(m_isIdleConnectionSilent, false)) {
        co_await m_timers.sleep(callTimeout);
        reportLostResponse();
        co_return makeError(ErrorKind::PlatformAnswerLost, "silent");
    }
    expireLeases();
    if (isDown)
        co_return unavailable();
    sendHeader();
    auto found = m_leases.find(lease);
    if (found == m_leases.end())
        co_return makeError(ErrorKind::NotFound, "lease");
    found->second.end = m_timers.now() + found->second.timeToLive;
    co_return Result<void>();
}

asio::awaitable<Result<void>> FakeVersionedStore::end(uint64_t lease)
{
    ++calls;
    if (isDown)
        co_return unavailable();
    sendHeader();
    removeLease(lease);
    co_return Result<void>();
}

void FakeReplicaClient::publish(const ReplicaId& replica, const std::string& address, TimePoint sentAt)
{
    publishNotice({ replica, address, sentAt, "call", notices[replica] });
}

std::shared_ptr<TimePoint> FakeReplicaClient::closeTimeOf(const ReplicaId& replica)
{
    auto& closeTime = m_closeTimes[replica];
    if (!closeTime)
        closeTime = std::make_shared<TimePoint>(TimePoint::max());
    return closeTime;
}

ScriptedResponse FakeReplicaClient::nextResponse(const ReplicaId& replica)
{
    auto& script = scripts[replica];
    if (script.empty())
        return {};
    auto response = script.front();
    if (script.size() > 1)
        script.pop_front();
    return response;
}

TimePoint FakeReplicaClient::queuePrefill(const ReplicaCall& call, double& missingTokens)
{
    auto& model = *prefillModel;
    if (model.unresponsive.contains(call.replica))
        return m_timers.now() + std::chrono::hours(1);
    for (const auto& part : call.request.prompt->parts) {
        if (model.cachedParts[call.replica].insert(part.id).second)
            missingTokens += part.tokens;
    }
    model.tokensRead += missingTokens;
    auto& freeAt = model.freeAt[call.replica];
    freeAt = std::max(freeAt, m_timers.now()) + model.fixedTime + fromSeconds(missingTokens / model.tokensPerMillisecond / 1000);
    return freeAt;
}

asio::awaitable<Result<ReplicaResponse>> FakeReplicaClient::send(ReplicaCall call)
{
    if (call.abort && call.abort->forbidsSend())
        co_return makeError(ErrorKind::ConnectFailed, "aborted");
    sent.push_back({ call.replica, call.handle, call.resumeAfter, call.priority, call.timeLeft, call.request.account });
    auto sentAt = m_timers.now();
    auto response = nextResponse(call.replica);
    if (!co_await waitUnlessAborted(m_timers, m_timers.now() + response.delay, call.abort))
        co_return makeError(ErrorKind::BackendFailed, "aborted");
    publish(call.replica, call.address, sentAt);
    if (response.error)
        co_return *response.error;
    auto executionStatus = response.executionStatus;
    auto headers = response.headers;
    headers.set("X-Replica", call.replica.value());
    co_return ReplicaResponse { executionStatus, std::move(headers), std::make_unique<ScriptedBody>(m_timers, std::move(response), call.abort, closeTimeOf(call.replica)) };
}

asio::awaitable<Result<PrefillResponse>> FakeReplicaClient::prefill(ReplicaCall call)
{
    if (call.abort && call.abort->forbidsSend())
        co_return makeError(ErrorKind::ConnectFailed, "aborted");
    prefills.push_back(call.replica);
    prefillAccounts.push_back(call.request.account);
    publish(call.replica, call.address, m_timers.now());
    if (auto error = prefillErrors[call.replica])
        co_return *error;
    double missingTokens = 0;
    if (prefillModel && !co_await waitUnlessAborted(m_timers, queuePrefill(call, missingTokens), call.abort)) {
        prefillModel->tokensInVain += missingTokens;
        co_return makeError(ErrorKind::BackendFailed, "aborted");
    }
    co_return PrefillResponse { { call.address, "handle-" + std::to_string(prefills.size()), call.replica }, 0 };
}

asio::awaitable<Result<void>> FakeReplicaClient::release(CacheHandle handle)
{
    publish(handle.engine, handle.source, m_timers.now());
    released.push_back(std::move(handle));
    co_return Result<void>();
}

asio::awaitable<Result<EngineReport>> FakeReplicaClient::report(ReplicaId replica, std::string address)
{
    ++reportCalls;
    publish(replica, address, m_timers.now());
    co_return reports[replica];
}

asio::awaitable<Result<OrderResult>> FakeReplicaClient::order(StageOrder order)
{
    publish(order.replica, order.address, m_timers.now());
    orders.push_back(std::move(order));
    co_return OrderResult::Accepted;
}

asio::awaitable<Result<std::optional<std::string>>> FakeConfigurationClient::fetch(Endpoint endpoint, uint64_t above)
{
    /** Of a fetch without a response. */
    constexpr Duration fetchTimeout = std::chrono::milliseconds(800);
    auto daemon = formatEndpoint(endpoint);
    fetched.push_back(daemon);
    if (silent.contains(daemon)) {
        co_await m_timers.sleep(fetchTimeout);
        co_return makeError(ErrorKind::DeadlineExceeded, "no response");
    }
    if (delay > Duration::zero())
        co_await m_timers.sleep(delay);
    auto response = responses.find(daemon);
    if (response == responses.end())
        co_return makeError(ErrorKind::ConnectFailed, "no daemon");
    co_return response->second(above);
}

asio::awaitable<std::optional<Error>> FakeReplicaClient::failRunCall(ReplicaId replica, Duration timeout)
{
    const auto& answers = runAnswers[replica];
    if (!answers.isUnresponsive)
        co_return answers.error;
    co_await m_timers.sleep(timeout);
    co_return makeError(ErrorKind::DeadlineExceeded, "no answer");
}

asio::awaitable<Result<bool>> FakeReplicaClient::mayBeRunning(EngineRun run, Duration timeout)
{
    if (auto error = co_await failRunCall(run.replica, timeout))
        co_return *error;
    co_return runAnswers[run.replica].mayBeRunning;
}

asio::awaitable<Result<RunStopResult>> FakeReplicaClient::stopRun(EngineRun run, std::string successor, Duration timeout)
{
    successors.push_back(std::move(successor));
    stoppedAt.push_back(run.replica);
    auto answers = runAnswers[run.replica];
    if (answers.closesStreamAfter)
        *closeTimeOf(run.replica) = m_timers.now() + *answers.closesStreamAfter;
    if (auto error = co_await failRunCall(run.replica, timeout))
        co_return *error;
    co_await m_timers.sleep(std::min(answers.stopTime, timeout));
    if (answers.stopTime >= timeout)
        co_return makeError(ErrorKind::DeadlineExceeded, "no answer");
    if (answers.stopError)
        co_return *answers.stopError;
    co_return answers.stop;
}

asio::awaitable<Result<void>> FakeWriter::send(HttpResponse response)
{
    status = response.status;
    headers = std::move(response.headers);
    body = std::move(response.body);
    isFinished = true;
    co_return Result<void>();
}

asio::awaitable<Result<void>> FakeWriter::begin(int newStatus, HttpHeaders newHeaders)
{
    status = newStatus;
    headers = std::move(newHeaders);
    co_return Result<void>();
}

asio::awaitable<Result<void>> FakeWriter::write(std::string chunk)
{
    if (beforeWrite)
        co_await beforeWrite();
    body += chunk;
    co_return Result<void>();
}

asio::awaitable<Result<void>> FakeWriter::finish()
{
    isFinished = true;
    co_return Result<void>();
}

std::string testEntry(const std::string& service, const std::string& stage, const std::string& zone, const std::string& state, int start, int heartbeat, int slots)
{
    return service + " " + stage + " " + zone + " " + state + " " + std::to_string(start) + " " + std::to_string(heartbeat) + " " + std::to_string(slots);
}

Result<ReplicaEntry> decodeTestEntry(const ReplicaId& id, std::string_view text)
{
    std::vector<std::string> fields;
    std::string copy(text);
    boost::algorithm::split(fields, copy, [](char c) { return c == ' '; });
    ReplicaEntry entry;
    constexpr std::string_view versionMark = "version=";
    if (fields.back().starts_with(versionMark)) {
        entry.version = SoftwareVersion(fields.back().substr(versionMark.size()));
        fields.pop_back();
    }
    if (fields.size() < 7 || fields.size() > 9)
        return makeError(ErrorKind::ProtocolError, "no entry");
    entry.id = id;
    entry.service = ServiceId(fields[0]);
    entry.stage = fields[1] == "prefill" ? EngineStage::Prefill : fields[1] == "decode" ? EngineStage::Decode
                                                                                        : EngineStage::None;
    entry.zone = AvailabilityZone(fields[2]);
    entry.isDraining = fields[3] == "draining";
    entry.startedAt = std::stoll(fields[4]);
    entry.heartbeat = std::stoll(fields[5]);
    entry.slots = static_cast<uint32_t>(std::stoul(fields[6]));
    entry.address = "10.0.0.1:80";
    entry.isReclaimable = fields.size() > 7 && fields[7] == "reclaimable";
    if (fields.size() > 8)
        entry.leavesIn = std::chrono::milliseconds(std::stoll(fields[8]));
    return entry;
}

} // namespace chestnut
