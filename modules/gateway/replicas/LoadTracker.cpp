#include "gateway/replicas/LoadTracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace chestnut {

namespace {

    /** Peers send their work several times a second; a peer without an update for this long is assumed to have stopped. */
    constexpr Duration peerTimeout = std::chrono::milliseconds(1500);
    /** Weight of a new sample in the moving averages. */
    constexpr double sampleWeight = 0.15;
    constexpr double highestSlowdown = 8;
    /** Mean age of what is known of other daemons, in periods between two reports: a daemon, its collector and this daemon each
        add half a period, and a member receives the reports of two collectors. */
    constexpr double reportPeriodsOfAge = 2;
    /** Consecutive failures, or the share of failed attempts, that eject a replica. */
    constexpr uint32_t failuresToEject = 3;
    constexpr double failureShareToEject = 0.35;
    /** Time in which the share of errors halves without further calls, so that a replica recovers without probes. */
    constexpr Duration errorShareHalfLife = std::chrono::seconds(3);
    constexpr Duration firstEjection = std::chrono::milliseconds(1000);
    constexpr Duration longestEjection = std::chrono::seconds(4);
    /** A refusal reveals the capacity of a replica; the value expires after this time. */
    constexpr Duration refusalValidity = std::chrono::seconds(4);
    /** Prompt parts that an engine was sent longer ago are assumed to be evicted from its cache. */
    constexpr Duration cachedPartLifetime = std::chrono::seconds(30);
    /** Limits the memory for prompt parts to about 100 KB per replica. */
    constexpr size_t maximumParts = 2000;

} // namespace

ReplicaId waitingAt(const ServiceId& service)
{
    return ReplicaId("waiting/" + service.value());
}

ReplicaWork& ReplicaWork::operator+=(const ReplicaWork& other)
{
    requests += other.requests;
    queued += other.queued;
    decodes += other.decodes;
    return *this;
}

ReplicaWork& ReplicaWork::operator-=(const ReplicaWork& other)
{
    requests -= std::min(requests, other.requests);
    queued -= other.queued;
    decodes -= other.decodes;
    return *this;
}

LoadTracker::LoadTracker(TimerService& timers, Log& log)
    : m_timers(timers)
    , m_log(log)
    , m_capacity(timers, log)
{
}

LoadTracker::InFlightWork::InFlightWork(std::shared_ptr<LoadTracker> loadTracker, ReplicaWork work)
    : m_loadTracker(std::move(loadTracker))
    , m_work(std::move(work))
{
}

LoadTracker::InFlightWork::InFlightWork(InFlightWork&& other) noexcept
    : m_loadTracker(std::exchange(other.m_loadTracker, nullptr))
    , m_work(std::move(other.m_work))
{
}

LoadTracker::InFlightWork& LoadTracker::InFlightWork::operator=(InFlightWork&& other) noexcept
{
    if (this == &other)
        return *this;
    end();
    m_loadTracker = std::exchange(other.m_loadTracker, nullptr);
    m_work = std::move(other.m_work);
    return *this;
}

LoadTracker::InFlightWork::~InFlightWork()
{
    end();
}

void LoadTracker::InFlightWork::end()
{
    if (auto loadTracker = std::exchange(m_loadTracker, nullptr))
        loadTracker->subtract(m_work, &Record::own);
}

void LoadTracker::add(const ReplicaWork& work, ReplicaWork Record::*side)
{
    m_records[work.replica].*side += work;
}

void LoadTracker::subtract(const ReplicaWork& work, ReplicaWork Record::*side)
{
    m_records[work.replica].*side -= work;
}

LoadTracker::InFlightWork LoadTracker::beginWork(ReplicaWork work)
{
    add(work, &Record::own);
    return { shared_from_this(), std::move(work) };
}

LoadTracker::InFlightWork LoadTracker::begin(const ReplicaId& replica)
{
    return beginWork({ replica, 1, {}, {} });
}

LoadTracker::InFlightWork LoadTracker::beginDecode(const ReplicaId& replica, std::optional<EnginePosition> order)
{
    return beginWork({ replica, 1, {}, order ? amountAt(1U, *order) : OrderedRequests {} });
}

LoadTracker::InFlightWork LoadTracker::beginPrefill(const ReplicaId& replica, double tokens, EnginePosition order)
{
    return beginWork({ replica, 1, amountAt(tokens, order), {} });
}

const LoadTracker::Record* LoadTracker::find(const ReplicaId& replica) const
{
    auto found = m_records.find(replica);
    return found == m_records.end() ? nullptr : &found->second;
}

ReplicaObservation LoadTracker::observe(const ReplicaId& replica) const
{
    const auto* record = find(replica);
    if (!record)
        return { { replica, 0, {}, {} } };
    auto now = m_timers.now();
    ReplicaObservation observation;
    observation.work = record->own;
    observation.work += record->peers;
    observation.work.replica = replica;
    observation.peerRequests = record->peers.requests;
    observation.requestsAtRefusal = now - record->refusedAt < refusalValidity ? record->requestsAtRefusal : 0;
    observation.slowdown = record->slowdown;
    observation.errorShare = errorShareOf(*record);
    observation.isEjected = now < record->ejectedUntil;
    observation.completedAt = record->completedAt;
    return observation;
}

std::vector<ReplicaWork> LoadTracker::ownWork() const
{
    std::vector<ReplicaWork> work;
    for (const auto& [replica, record] : m_records) {
        if (record.own.requests > 0)
            work.push_back({ replica, record.own.requests, record.own.queued, record.own.decodes });
    }
    return work;
}

std::vector<ReplicaWork> LoadTracker::workOf(const std::function<bool(const DaemonId&)>& isChosen) const
{
    std::unordered_map<ReplicaId, ReplicaWork> sums;
    auto addAll = [&sums](const std::vector<ReplicaWork>& work) {
        for (const auto& item : work) {
            auto& sum = sums[item.replica];
            sum.replica = item.replica;
            sum += item;
        }
    };
    addAll(ownWork());
    for (const auto& [daemon, peer] : m_peers) {
        if (!isChosen(daemon))
            continue;
        for (const auto& part : peer.parts)
            addAll(part);
    }
    std::vector<ReplicaWork> work;
    work.reserve(sums.size());
    for (auto& [replica, sum] : sums)
        work.push_back(std::move(sum));
    // With a stable order, a replica usually stays in the same part of a split message.
    std::ranges::sort(work, {}, &ReplicaWork::replica);
    return work;
}

void LoadTracker::subtractPeer(const std::vector<ReplicaWork>& work)
{
    for (const auto& item : work)
        subtract(item, &Record::peers);
}

void LoadTracker::setPeerWork(const DaemonId& daemon, std::vector<ReplicaWork> work, MessagePart part)
{
    assert(part.index < part.count);
    auto [peer, isNew] = m_peers.try_emplace(daemon);
    auto& [parts, receivedAt, reportedAt] = peer->second;
    if (part.index == 0) {
        if (!isNew)
            recordReportPeriod(m_timers.now() - reportedAt);
        reportedAt = m_timers.now();
    }
    for (size_t i = part.count; i < parts.size(); ++i)
        subtractPeer(parts[i]);
    parts.resize(part.count);
    auto& partWork = parts[part.index];
    subtractPeer(partWork);
    partWork = std::move(work);
    for (const auto& item : partWork)
        add(item, &Record::peers);
    receivedAt = m_timers.now();
}

void LoadTracker::recordReportPeriod(Duration period)
{
    auto seconds = toSeconds(m_reportPeriod.value_or(period));
    m_reportPeriod = fromSeconds(seconds + (toSeconds(period) - seconds) * sampleWeight);
}

std::optional<UnseenLoad> LoadTracker::unseenLoad(std::optional<Duration> occupancy)
{
    if (m_peers.empty() || !m_reportPeriod)
        return std::nullopt;
    auto age = fromSeconds(toSeconds(*m_reportPeriod) * reportPeriodsOfAge);
    auto draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    return UnseenLoad { occupancy ? replacedShareAfter(age, *occupancy) : 0, draw };
}

void LoadTracker::expirePeers()
{
    auto now = m_timers.now();
    m_capacity.update();
    std::erase_if(m_peers, [&](const auto& entry) {
        const auto& [parts, receivedAt, reportedAt] = entry.second;
        if (now - receivedAt < peerTimeout)
            return false;
        for (const auto& part : parts)
            subtractPeer(part);
        return true;
    });
}

void LoadTracker::recordSuccess(const ReplicaId& replica, double slowdown)
{
    auto& record = m_records[replica];
    record.completedAt = m_timers.now();
    record.consecutiveFailures = 0;
    record.failureShare *= 1 - sampleWeight;
    record.errorShare *= 1 - sampleWeight;
    if (record.failureShare < failureShareToEject / 2)
        record.ejections = 0;
    record.slowdown += (std::clamp(slowdown, 1 / highestSlowdown, highestSlowdown) - record.slowdown) * sampleWeight;
}

double LoadTracker::errorShareOf(const Record& record) const
{
    return record.errorShare * std::exp2(-toSeconds(m_timers.now() - record.errorShareAt) / toSeconds(errorShareHalfLife));
}

void LoadTracker::recordErrorResponse(const ReplicaId& replica)
{
    auto& record = m_records[replica];
    auto share = errorShareOf(record);
    record.errorShare = share + (1 - share) * sampleWeight;
    record.errorShareAt = m_timers.now();
    m_capacity.recordError(replica);
    record.completedAt = m_timers.now();
}

void LoadTracker::recordFailure(const ReplicaId& replica)
{
    auto& record = m_records[replica];
    ++record.consecutiveFailures;
    record.failureShare += (1 - record.failureShare) * sampleWeight;
    auto now = m_timers.now();
    auto isFailing = record.consecutiveFailures >= failuresToEject || record.failureShare >= failureShareToEject;
    if (!isFailing || now < record.ejectedUntil)
        return;
    auto time = std::min(firstEjection * (1U << std::min(record.ejections, 4U)), longestEjection);
    ++record.ejections;
    record.ejectedUntil = now + time;
    // A single failure after its return ejects it again.
    record.consecutiveFailures = failuresToEject - 1;
    record.failureShare = failureShareToEject / 2;
    m_log.write(EventId::ReplicaHealthChanged, { { "replica", replica }, { "state", "ejected" }, { "ms", time.count() / 1000 }, { "in_row", record.ejections } });
}

void LoadTracker::recordRefusal(const ReplicaId& replica, uint32_t slots)
{
    auto requests = requestsAt(replica);
    if (requests < slots) {
        m_capacity.recordRefusal(replica, (requests + 1.0) / slots);
        recordFailure(replica);
        return;
    }
    setRefusal(m_records[replica], requests, m_timers.now());
}

void LoadTracker::setRefusal(Record& record, uint32_t requests, TimePoint refusedAt)
{
    auto isRecent = record.requestsAtRefusal > 0 && refusedAt - record.refusedAt < refusalValidity;
    record.requestsAtRefusal = isRecent ? std::min(record.requestsAtRefusal, requests) : requests;
    record.refusedAt = isRecent ? std::max(record.refusedAt, refusedAt) : refusedAt;
}

std::vector<RefusalReport> LoadTracker::recentRefusals() const
{
    auto now = m_timers.now();
    std::vector<RefusalReport> reports;
    for (const auto& [replica, record] : m_records) {
        if (record.requestsAtRefusal > 0 && now - record.refusedAt < refusalValidity)
            reports.push_back({ replica, record.requestsAtRefusal, now - record.refusedAt });
    }
    std::ranges::sort(reports, {}, [](const RefusalReport& report) { return std::pair(report.age, report.replica); });
    reports.resize(std::min(reports.size(), maximumRefusalReports));
    return reports;
}

void LoadTracker::recordPeerRefusal(const RefusalReport& report)
{
    auto refusedAt = m_timers.now() - report.age;
    auto& record = m_records[report.replica];
    // The same refusal is reported repeatedly, through several peers.
    if (report.requests == 0 || report.age >= refusalValidity || (record.requestsAtRefusal > 0 && refusedAt <= record.refusedAt && report.requests >= record.requestsAtRefusal))
        return;
    setRefusal(record, report.requests, refusedAt);
}

void LoadTracker::recordSentParts(const ReplicaId& replica, const std::vector<uint64_t>& parts)
{
    auto& record = m_records[replica];
    auto now = m_timers.now();
    for (auto part : parts)
        record.parts[part] = now;
    if (record.parts.size() > maximumParts)
        std::erase_if(record.parts, [now](const auto& entry) { return now - entry.second > cachedPartLifetime / 3; });
}

bool LoadTracker::hasPart(const ReplicaId& replica, uint64_t part) const
{
    const auto* record = find(replica);
    if (!record)
        return false;
    auto found = record->parts.find(part);
    return found != record->parts.end() && m_timers.now() - found->second < cachedPartLifetime;
}

void LoadTracker::resetObservations(const ReplicaId& replica)
{
    auto found = m_records.find(replica);
    if (found == m_records.end())
        return;
    auto& record = found->second;
    record.parts.clear();
    m_capacity.reset(replica);
    record.slowdown = 1;
    record.failureShare = 0;
    record.errorShare = 0;
    record.consecutiveFailures = 0;
    record.ejections = 0;
    record.ejectedUntil = {};
}

} // namespace chestnut
