#include "gateway/replicas/ReplicaDirectory.h"

#include <algorithm>
#include <tuple>

namespace chestnut {

namespace {

    constexpr Duration expiryPeriod = std::chrono::milliseconds(250);
    /** Leaving replicas are reported to peers for this long, so in several datagrams. */
    constexpr Duration leavingReportTime = std::chrono::seconds(3);
    /** Changed entries are reported to peers for this long, so in several datagrams. */
    constexpr Duration changeReportTime = std::chrono::seconds(2);
    /** A daemon that relies on collectors reads the store every 10 s. */
    constexpr Duration unconfirmedLifetime = std::chrono::seconds(25);

} // namespace

std::string_view nameOf(ReplicaStatus status)
{
    switch (status) {
    case ReplicaStatus::Ready:
        return "ready";
    case ReplicaStatus::Draining:
        return "draining";
    case ReplicaStatus::Lapsed:
        return "lapsed";
    case ReplicaStatus::Removed:
        return "gone";
    }
    return "gone";
}

ReplicaDirectory::ReplicaDirectory(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::shared_ptr<LoadTracker> loadTracker, std::string keyPrefix, ReplicaEntryDecoder decode, std::function<Duration()> watchPause, std::function<std::optional<TimePoint>()> lastStoreUnreachableAt)
    : m_timers(timers)
    , m_log(log)
    , m_loadTracker(std::move(loadTracker))
    , m_keyPrefix(std::move(keyPrefix))
    , m_decode(std::move(decode))
    , m_unreachableByOtherCalls(std::move(lastStoreUnreachableAt))
    , m_pauses(timers)
    , m_rateLimits(timers, log)
{
    m_mirror = std::make_shared<StoreMirror>(context, store, timers, log, m_keyPrefix, std::move(watchPause));
    m_mirror->subscribe(m_keyPrefix, { [this](const StoreItem& item) { onItem(item); }, [this](const std::string& key) { onRemoval(key); } });
}

void ReplicaDirectory::start()
{
    m_mirror->start();
    m_expiryTimer = m_timers.every(expiryPeriod, [this] {
        expirePauses();
        expireBackoffs(m_backoffs, m_timers.now());
        m_rateLimits.expire();
        removeUnconfirmed();
        for (const auto& id : expireLapsed(m_registry, m_timers.now())) {
            recordLeaving(id);
            logChange(id, "lapsed");
        }
        for (const auto& id : eraseRemoved(m_registry, m_timers.now()))
            forget(id);
        auto now = m_timers.now();
        std::erase_if(m_leaving, [now](const auto& entry) { return now - entry.second.since > leavingReportTime; });
        std::erase_if(m_changedAt, [now](const auto& entry) { return now - entry.second > changeReportTime; });
    });
}

void ReplicaDirectory::onItem(const StoreItem& item)
{
    ReplicaId id(item.key.substr(m_keyPrefix.size()));
    auto entry = m_decode(id, item.value);
    if (!entry) {
        if (m_unreadable.insert(id).second)
            m_log.write(EventId::StoreEntryUnreadable, { { "key", item.key }, { "revision", item.revision }, { "detail", entry.error().detail } });
        return;
    }
    m_unreadable.erase(id);
    m_unconfirmed.erase(id);
    if (apply(*entry, "entry"))
        m_changedAt[id] = m_timers.now();
}

bool ReplicaDirectory::apply(const ReplicaEntry& entry, std::string_view cause)
{
    const auto* replica = find(entry.id);
    auto isNewStart = !replica || replica->entry.startedAt != entry.startedAt;
    auto hasChanged = applyEntry(m_registry, entry);
    if (find(entry.id)->entry == entry && entry.isDraining)
        recordEnd(entry.id, entry.leavesIn);
    if (!hasChanged)
        return false;
    if (isNewStart) {
        forget(entry.id);
        m_startSeenAt[entry.id] = m_timers.now();
        recordEnd(entry.id, entry.isDraining ? entry.leavesIn : std::nullopt);
    }
    if (entry.isDraining)
        recordLeaving(entry.id);
    logChange(entry.id, cause);
    return true;
}

std::vector<ReplicaEntry> ReplicaDirectory::changedEntries() const
{
    std::vector<ReplicaEntry> entries;
    for (const auto& [id, changedAt] : m_changedAt) {
        if (const auto* replica = find(id); replica && mayReceiveWork(*replica))
            entries.push_back(replica->entry);
    }
    return entries;
}

void ReplicaDirectory::applyPeerEntry(const ReplicaEntry& entry)
{
    // A report of the heartbeat that is known already must not end the grace time of a lapsed replica.
    if (const auto* known = find(entry.id); known && std::tie(entry.startedAt, entry.heartbeat) <= std::tie(known->entry.startedAt, known->entry.heartbeat))
        return;
    if (apply(entry, "peer"))
        m_unconfirmed[entry.id] = m_timers.now();
}

void ReplicaDirectory::forget(const ReplicaId& id)
{
    m_loadTracker->resetObservations(id);
    m_startSeenAt.erase(id);
    m_leavesAt.erase(id);
}

void ReplicaDirectory::recordEnd(const ReplicaId& id, std::optional<Duration> leavesIn)
{
    if (!leavesIn)
        return;
    auto end = m_timers.now() + *leavesIn;
    auto [present, isNew] = m_leavesAt.try_emplace(id, end);
    present->second = std::min(present->second, end);
}

std::optional<TimePoint> ReplicaDirectory::leavesAt(const ReplicaId& id) const
{
    auto found = m_leavesAt.find(id);
    return found == m_leavesAt.end() ? std::nullopt : std::optional(found->second);
}

bool ReplicaDirectory::isReclaiming(const ServiceId& service, const AvailabilityZone& zone) const
{
    return std::ranges::any_of(m_leavesAt, [&](const auto& entry) {
        const auto* replica = find(entry.first);
        return replica && replica->status == ReplicaStatus::Draining && replica->entry.isReclaimable && replica->entry.service == service && replica->entry.zone == zone;
    });
}

void ReplicaDirectory::removeUnconfirmed()
{
    auto now = m_timers.now();
    for (auto item = m_unconfirmed.begin(); item != m_unconfirmed.end();) {
        auto& [id, appliedAt] = *item;
        // The store cannot confirm an entry during an outage.
        if (auto unreachableAt = lastStoreUnreachableAt())
            appliedAt = std::max(appliedAt, *unreachableAt);
        if (now - appliedAt < unconfirmedLifetime) {
            ++item;
            continue;
        }
        if (applyRemoval(m_registry, id, now, Duration::zero()))
            logChange(id, "unconfirmed");
        item = m_unconfirmed.erase(item);
    }
}

void ReplicaDirectory::onRemoval(const std::string& key)
{
    ReplicaId id(key.substr(m_keyPrefix.size()));
    m_unreadable.erase(id);
    m_unconfirmed.erase(id);
    // Removals are deliberate unless they may be an effect of an outage or a restore of the store.
    auto now = m_timers.now();
    if (!applyRemoval(m_registry, id, now, expiryGraceAt(now, lastStoreUnreachableAt())))
        return;
    if (find(id)->status == ReplicaStatus::Removed)
        recordLeaving(id);
    logChange(id, "removal");
}

std::optional<TimePoint> ReplicaDirectory::lastStoreUnreachableAt() const
{
    return std::max({ m_mirror->lastUnreachableAt(), m_mirror->restoredAt(), m_unreachableByOtherCalls() });
}

void ReplicaDirectory::recordLeaving(const ReplicaId& id)
{
    const auto* replica = find(id);
    const auto& entry = replica->entry;
    m_leaving[id] = { { id, entry.startedAt, entry.heartbeat, replica->status == ReplicaStatus::Draining }, m_timers.now() };
}

void ReplicaDirectory::applyPeerLeaving(const LeavingReplica& report)
{
    if (const auto* replica = find(report.id); replica && replica->entry.startedAt == report.startedAt)
        recordEnd(report.id, report.leavesIn);
    if (!applyLeavingReport(m_registry, report, m_timers.now()))
        return;
    // Only the first report of a peer is forwarded; it then reaches daemons that get no messages from the sender.
    recordLeaving(report.id);
    logChange(report.id, "peer");
}

const RegisteredReplica* ReplicaDirectory::subjectOf(const ReplicaNotice& notice) const
{
    const auto* replica = find(notice.replica);
    if (!replica || replica->entry.address != notice.address)
        return nullptr;
    auto seenAt = m_startSeenAt.find(notice.replica);
    auto isEarlierStart = seenAt != m_startSeenAt.end() && notice.sentAt < seenAt->second;
    return isEarlierStart ? nullptr : replica;
}

void ReplicaDirectory::applyNotice(const ReplicaNotice& notice)
{
    const auto& content = notice.content;
    if (!content.unreadable.empty())
        m_log.write(EventId::ReplicaNoticeUnreadable, { { "replica", notice.replica }, { "request", notice.request }, { "detail", content.unreadable } });
    const auto* replica = subjectOf(notice);
    if (!replica)
        return;
    if (content.isLeaving)
        applyDeparture(notice, replica->entry);
    if (content.backoff)
        applyRequestedBackoff(notice, replica->entry, *content.backoff);
    if (content.rate)
        m_rateLimits.recordResponse(notice.replica, { replica->entry.startedAt, content.rate->perSecond }, notice.sentAt, notice.request);
}

void ReplicaDirectory::applyDeparture(const ReplicaNotice& notice, const ReplicaEntry& entry)
{
    if (!applyLeavingReport(m_registry, { entry.id, entry.startedAt, entry.heartbeat, true }, m_timers.now()))
        return;
    m_log.write(EventId::ReplicaAnnouncedLeaving, { { "replica", notice.replica }, { "request", notice.request }, { "started_at", entry.startedAt } });
    recordLeaving(notice.replica);
    logChange(notice.replica, "response");
}

void ReplicaDirectory::applyRequestedBackoff(const ReplicaNotice& notice, const ReplicaEntry& entry, Duration time)
{
    if (!applyBackoff(m_backoffs, entry.id, entry.startedAt, time, m_timers.now()))
        return;
    m_log.write(EventId::ReplicaBackoffStarted, { { "replica", notice.replica }, { "request", notice.request }, { "requested_ms", time.count() / 1000 }, { "ms", std::min(time, longestBackoff).count() / 1000 } });
}

bool ReplicaDirectory::isBackingOff(const ReplicaId& id) const
{
    const auto* replica = find(id);
    return replica && backoffEnd(m_backoffs, id, replica->entry.startedAt, m_timers.now());
}

bool ReplicaDirectory::acceptsControlCalls(const ReplicaId& id) const
{
    const auto* replica = find(id);
    return replica && mayReceiveWork(*replica) && !isBackingOff(id);
}

std::optional<Duration> ReplicaDirectory::timeUntilBackoffEnds(const ServiceId& service) const
{
    std::optional<Duration> shortest;
    auto now = m_timers.now();
    for (const auto* entry : select(service, [this](const ReplicaEntry& candidate) { return candidate.stage != EngineStage::Prefill && !m_pauses.isPaused(candidate.id); })) {
        auto end = backoffEnd(m_backoffs, entry->id, entry->startedAt, now);
        if (!end)
            return std::nullopt;
        shortest = std::min(shortest.value_or(*end - now), *end - now);
    }
    return shortest;
}

void ReplicaDirectory::expirePauses()
{
    m_pauses.expire([this](const ReplicaId& id) {
        const auto* replica = find(id);
        return replica ? std::optional(replica->entry.stage) : std::nullopt;
    });
}

bool ReplicaDirectory::hasRateLimit(const ServiceId& service) const
{
    return !m_rateLimits.isEmpty() && std::ranges::any_of(m_registry.replicas, [&](const auto& item) {
        const auto& entry = item.second.entry;
        return entry.service == service && rateLimitOf(entry);
    });
}

std::set<ServiceId> ReplicaDirectory::rateLimitedServices() const
{
    std::set<ServiceId> services;
    if (m_rateLimits.isEmpty())
        return services;
    for (const auto& [id, replica] : m_registry.replicas) {
        if (rateLimitOf(replica.entry))
            services.insert(replica.entry.service);
    }
    return services;
}

const RegisteredReplica* ReplicaDirectory::find(const ReplicaId& id) const
{
    auto replica = m_registry.replicas.find(id);
    return replica == m_registry.replicas.end() ? nullptr : &replica->second;
}

std::vector<const ReplicaEntry*> ReplicaDirectory::select(const ServiceId& service, const std::function<bool(const ReplicaEntry&)>& isWanted) const
{
    std::vector<const ReplicaEntry*> found;
    for (const auto& [id, replica] : m_registry.replicas) {
        if (mayReceiveWork(replica) && replica.entry.service == service && isWanted(replica.entry))
            found.push_back(&replica.entry);
    }
    return found;
}

std::vector<const ReplicaEntry*> ReplicaDirectory::usable(const ServiceId& service, EngineStage stage, const std::set<ReplicaId>& excluded) const
{
    return select(service, [&](const ReplicaEntry& entry) { return entry.stage == stage && !excluded.contains(entry.id) && !m_pauses.isPaused(entry.id) && !isBackingOff(entry.id); });
}

std::map<ServiceId, VersionCounts> ReplicaDirectory::engineVersions() const
{
    std::map<ServiceId, VersionCounts> versions;
    for (const auto& [id, replica] : m_registry.replicas) {
        if (replica.entry.stage != EngineStage::None && replica.status != ReplicaStatus::Removed)
            ++versions[replica.entry.service][replica.entry.version];
    }
    return versions;
}

std::vector<const ReplicaEntry*> ReplicaDirectory::engines(const ServiceId& service) const
{
    return select(service, [](const ReplicaEntry& entry) { return entry.stage != EngineStage::None; });
}

std::vector<const RegisteredReplica*> ReplicaDirectory::registered(const ServiceId& service) const
{
    std::vector<const RegisteredReplica*> found;
    for (const auto& [id, replica] : m_registry.replicas) {
        if (replica.entry.service == service && replica.status != ReplicaStatus::Removed)
            found.push_back(&replica);
    }
    return found;
}

std::vector<LeavingReplica> ReplicaDirectory::leaving() const
{
    std::vector<LeavingReplica> replicas;
    for (const auto& [id, report] : m_leaving) {
        replicas.push_back(report.replica);
        if (auto end = leavesAt(id))
            replicas.back().leavesIn = std::max(*end - m_timers.now(), Duration::zero());
    }
    // A daemon that starts later reads a ready entry and learns of the departure only here.
    for (const auto& [id, replica] : m_registry.replicas) {
        auto isListedAsReady = replica.status == ReplicaStatus::Draining && !replica.entry.isDraining;
        if (isListedAsReady && !m_leaving.contains(id))
            replicas.push_back({ id, replica.entry.startedAt, replica.entry.heartbeat, true });
    }
    return replicas;
}

void ReplicaDirectory::logChange(const ReplicaId& id, std::string_view cause) const
{
    const auto* replica = find(id);
    m_log.write(EventId::ReplicaChanged, { { "replica", id }, { "service", replica->entry.service }, { "address", replica->entry.address }, { "status", nameOf(replica->status) }, { "stage", nameOf(replica->entry.stage) }, { "heartbeat", replica->entry.heartbeat }, { "cause", cause } });
}

} // namespace chestnut
