#include "gateway/members/DaemonDirectory.h"

#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chestnut {

namespace {

    constexpr std::string_view keyPrefix = "chestnutroute/daemons/";
    /** Lease time of the registration; the registration of a killed daemon disappears after it. */
    constexpr Duration registrationLeaseTime = std::chrono::seconds(6);
    /** A renewal costs a tenth of a call and also detects outages of the store that last a second or more. */
    constexpr Duration renewalPeriod = std::chrono::seconds(1);
    /** Short, so that the end of an outage is known closely: entries that expired in it stay in use for some time after it. */
    constexpr Duration retryPeriod = std::chrono::milliseconds(300);
    /** Multiplied by the number of daemons: after a restore of the store all of them register again, with two writes each. */
    constexpr Duration registrationSpread = std::chrono::milliseconds(5);
    /** Daemons send messages several times a second; without one for this long, a daemon gets no more clients. */
    constexpr Duration entryPointTimeout = std::chrono::milliseconds(1200);
    /** A daemon without registration is removed after this time without a message. */
    constexpr Duration retentionTime = std::chrono::seconds(10);

    std::string keyOf(const DaemonId& id)
    {
        return std::string(keyPrefix) + id.value();
    }

} // namespace

std::string encodeDaemonRecord(const DaemonRecord& record)
{
    nlohmann::json document {
        { "id", record.id.value() },
        { "zone", record.zone.value() },
        { "front", formatEndpoint(record.clientEndpoint) },
        { "peers", formatEndpoint(record.peerEndpoint) },
        { "link", record.linkMegabits },
    };
    if (record.configurationEndpoint)
        document["api"] = formatEndpoint(*record.configurationEndpoint);
    return document.dump();
}

Result<DaemonRecord> decodeDaemonRecord(std::string_view text)
{
    auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return makeError(ErrorKind::ProtocolError, "daemon record is not a JSON object");
    auto textOf = [&](const char* key) {
        auto field = document.find(key);
        return field != document.end() && field->is_string() ? field->get<std::string>() : std::string();
    };
    auto clientEndpoint = parseEndpoint(textOf("front"));
    auto peerEndpoint = parseEndpoint(textOf("peers"));
    auto hasEndpoints = clientEndpoint && isConnectable(*clientEndpoint) && peerEndpoint && isConnectable(*peerEndpoint);
    if (textOf("id").empty() || !hasEndpoints)
        return makeError(ErrorKind::ProtocolError, "daemon record has no id or no valid addresses");
    auto configurationEndpoint = parseEndpoint(textOf("api"));
    if (configurationEndpoint && !isConnectable(*configurationEndpoint))
        configurationEndpoint.reset();
    auto link = document.find("link");
    auto linkMegabits = link != document.end() && link->is_number_unsigned() ? link->get<uint32_t>() : 0;
    return DaemonRecord { DaemonId(textOf("id")), AvailabilityZone(textOf("zone")), *clientEndpoint, *peerEndpoint, linkMegabits, configurationEndpoint };
}

bool isEntryPoint(const DaemonView& view)
{
    if (view.isLeaving)
        return false;
    if (view.hasSentMessage)
        return view.timeSinceMessage < entryPointTimeout;
    return view.isRegistered;
}

std::vector<Endpoint> entryPointsFor(const std::vector<DaemonView>& views, const AvailabilityZone& zone)
{
    std::vector<Endpoint> all;
    std::vector<Endpoint> ofZone;
    for (const auto& view : views) {
        if (!isEntryPoint(view))
            continue;
        all.push_back(view.record.clientEndpoint);
        if (view.record.zone == zone)
            ofZone.push_back(view.record.clientEndpoint);
    }
    return ofZone.empty() ? all : ofZone;
}

DaemonDirectory::DaemonDirectory(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::shared_ptr<StoreMirror> mirror, DaemonRecord self, std::function<void()> onStoreRecovered)
    : m_context(context)
    , m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_self(std::move(self))
    , m_mirror(std::move(mirror))
    , m_onStoreRecovered(std::move(onStoreRecovered))
    , m_wakeUp(context)
{
    m_mirror->subscribe(std::string(keyPrefix), { [this](const StoreItem& item) { onItem(item); }, [this](const std::string& key) { onRemoval(key); } });
}

void DaemonDirectory::start()
{
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "registration", [this] { return maintainRegistration(); });
}

asio::awaitable<void> DaemonDirectory::deregister()
{
    m_isDeregistered = true;
    if (auto lease = std::exchange(m_lease, {}); lease.id != 0) {
        if (auto ended = co_await m_store.endLease(lease); !ended)
            m_log.write(EventId::RegistrationFailed, { { "step", "withdraw" }, { "detail", ended.error().detail } });
    }
}

asio::awaitable<void> DaemonDirectory::maintainRegistration()
{
    while (!m_isDeregistered) {
        auto sentAt = m_timers.now();
        m_isCalling = true;
        auto outcome = m_lease.id == 0 ? co_await registerSelf() : co_await m_store.renewLease(m_lease);
        m_isCalling = false;
        if (outcome) {
            recordAnswer();
            co_await m_wakeUp.waitFor(m_timers, renewalPeriod);
            continue;
        }
        if (wasRestored()) {
            co_await waitToRegister();
            continue;
        }
        m_log.write(EventId::RegistrationFailed, { { "step", "renew" }, { "detail", outcome.error().detail } });
        co_await m_timers.sleep(recordFailedCall(outcome.error(), sentAt));
    }
}

void DaemonDirectory::verifyStore()
{
    m_mustVerify = true;
    // After a renewal in progress, its own outcome decides when the next one follows.
    if (!m_isCalling && !m_availability.isUnavailable)
        m_wakeUp.notify();
}

std::optional<TimePoint> DaemonDirectory::lastStoreUnreachableAt() const
{
    return m_mustVerify ? m_timers.now() : lastUnreachable(m_availability, m_timers.now());
}

void DaemonDirectory::recordAnswer()
{
    auto isFirstLoss = std::exchange(m_mustVerify, false) && !m_availability.isUnavailable && m_availability.lostResponses == 0;
    if (isFirstLoss)
        recordFailure(m_availability, ErrorKind::PlatformAnswerLost, m_timers.now());
    auto hadFailure = m_availability.isUnavailable || m_availability.lostResponses > 0;
    recordResponse(m_availability, m_timers.now());
    if (hadFailure)
        m_onStoreRecovered();
}

Duration DaemonDirectory::recordFailedCall(const Error& error, TimePoint sentAt)
{
    if (error.kind == ErrorKind::NotFound || error.kind == ErrorKind::PlatformConflict) {
        m_lease = {};
        recordAnswer();
        return retryPeriod;
    }
    recordFailure(m_availability, error.kind, sentAt);
    // Open connections may have stopped working, those of the watches too. A call on a new connection shows it.
    return m_availability.isUnavailable ? retryPeriod : Duration::zero();
}

bool DaemonDirectory::wasRestored() const
{
    return m_lease.id != 0 && m_lease.epoch != m_store.epoch();
}

asio::awaitable<void> DaemonDirectory::waitToRegister()
{
    // The response that showed the restore also showed that the store is available.
    recordResponse(m_availability, m_timers.now());
    m_lease = {};
    std::uniform_int_distribution<Duration::rep> spread(0, (registrationSpread * activeDaemons()).count());
    co_await m_timers.sleep(Duration(spread(m_random)));
}

asio::awaitable<Result<void>> DaemonDirectory::registerSelf()
{
    auto lease = co_await m_store.grantLease(registrationLeaseTime);
    if (!lease)
        co_return lease.error();
    auto written = co_await m_store.transact({}, { { keyOf(m_self.id), encodeDaemonRecord(m_self), lease->id } }, {});
    if (!written)
        co_return written.error();
    // The lease may be another daemon's in the restored store; writing the key again moves it to a lease of our own.
    if (lease->epoch != m_store.epoch())
        co_return makeError(ErrorKind::NotFound, "the store was restored during the registration");
    m_lease = *lease;
    if (m_isDeregistered)
        co_await deregister();
    m_log.write(EventId::DaemonRegistered, { { "daemon", m_self.id }, { "revision", *written } });
    co_return Result<void>();
}

void DaemonDirectory::onItem(const StoreItem& item)
{
    auto record = decodeDaemonRecord(item.value);
    if (!record) {
        m_log.write(EventId::StoreEntryUnreadable, { { "key", item.key }, { "detail", record.error().detail } });
        return;
    }
    // The removal of another key would not end the registration.
    if (item.key != keyOf(record->id)) {
        m_log.write(EventId::StoreEntryUnreadable, { { "key", item.key }, { "detail", "the key belongs to another daemon" } });
        return;
    }
    if (record->id == m_self.id)
        return;
    auto& daemon = m_others[record->id];
    daemon.record = std::move(*record);
    daemon.isRegistered = true;
    daemon.registeredAt = m_timers.now();
}

void DaemonDirectory::onRemoval(const std::string& key)
{
    if (key == keyOf(m_self.id)) {
        m_lease = {};
        return;
    }
    auto daemon = m_others.find(DaemonId(key.substr(keyPrefix.size())));
    if (daemon != m_others.end())
        daemon->second.isRegistered = false;
}

void DaemonDirectory::recordMessageFrom(const DaemonRecord& record, bool isLeaving)
{
    if (record.id == m_self.id)
        return;
    auto& daemon = m_others[record.id];
    daemon.record = record;
    daemon.lastMessageAt = m_timers.now();
    daemon.isLeaving = isLeaving;
}

void DaemonDirectory::recordReportedAlive(const DaemonId& id)
{
    if (auto daemon = m_others.find(id); daemon != m_others.end())
        daemon->second.lastMessageAt = m_timers.now();
}

std::vector<DaemonView> DaemonDirectory::others() const
{
    std::vector<DaemonView> views;
    auto now = m_timers.now();
    for (const auto& [id, daemon] : m_others) {
        auto timeSinceMessage = daemon.lastMessageAt ? now - *daemon.lastMessageAt : now - daemon.registeredAt;
        if (!daemon.isRegistered && timeSinceMessage > retentionTime)
            continue;
        views.push_back({ daemon.record, daemon.isRegistered, timeSinceMessage, daemon.lastMessageAt.has_value(), daemon.isLeaving });
    }
    return views;
}

std::optional<Endpoint> DaemonDirectory::configurationEndpointOf(const DaemonId& id) const
{
    auto daemon = m_others.find(id);
    return daemon == m_others.end() ? std::nullopt : daemon->second.record.configurationEndpoint;
}

const DaemonRecord* DaemonDirectory::find(const DaemonId& daemon) const
{
    auto found = m_others.find(daemon);
    return found == m_others.end() ? nullptr : &found->second.record;
}

uint32_t DaemonDirectory::activeDaemons() const
{
    auto views = others();
    return 1 + static_cast<uint32_t>(std::ranges::count_if(views, [](const DaemonView& view) { return view.isRegistered || isEntryPoint(view); }));
}

} // namespace chestnut
