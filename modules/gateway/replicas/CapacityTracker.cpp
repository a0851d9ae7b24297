#include "gateway/replicas/CapacityTracker.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Time in which a sample loses half of its weight. A daemon of a large fleet reports each replica once in a few seconds. */
    constexpr Duration sampleHalfLife = std::chrono::seconds(8);
    constexpr Duration updatePeriod = std::chrono::seconds(1);
    /** Sums below this number of calls are neither sent nor kept. */
    constexpr double fewestCalls = 0.25;
    /** A limit or speed that differs from the last logged one by this factor is logged. */
    constexpr double loggedFactor = 1.25;
    /** Limits the series of the metrics and the work of the operators' system. */
    constexpr size_t maximumPublished = 64;

    double evidenceOf(const CapacitySamples& samples)
    {
        return callsOf(samples) + samples.errors;
    }

    bool differsByMuch(double left, double right)
    {
        return std::max(left, right) >= std::min(left, right) * loggedFactor;
    }

    bool isDefault(const ReplicaCapacity& capacity)
    {
        return capacity.limitShare >= 1 && capacity.speed == 1;
    }

} // namespace

CapacityTracker::CapacityTracker(TimerService& timers, Log& log)
    : m_timers(timers)
    , m_log(log)
{
}

CapacityTracker::Record& CapacityTracker::recordOf(const ReplicaId& replica)
{
    auto [entry, isNew] = m_replicas.try_emplace(replica);
    if (isNew)
        entry->second.own = { { replica }, m_timers.now() };
    return entry->second;
}

CapacitySamples CapacityTracker::aged(const AgingSamples& aging) const
{
    auto samples = aging.samples;
    scale(samples, std::exp2(-toSeconds(m_timers.now() - aging.at) / toSeconds(sampleHalfLife)));
    return samples;
}

CapacitySamples& CapacityTracker::own(const ReplicaId& replica)
{
    auto& aging = recordOf(replica).own;
    aging = { aged(aging), m_timers.now() };
    return aging.samples;
}

void CapacityTracker::record(const ReplicaId& replica, double loadShare, double timeRatio, double weight)
{
    addSample(own(replica), loadShare, timeRatio, weight);
}

void CapacityTracker::recordRefusal(const ReplicaId& replica, double loadShare)
{
    addRefusal(own(replica), loadShare);
}

void CapacityTracker::recordError(const ReplicaId& replica)
{
    addError(own(replica));
}

ReplicaCapacity CapacityTracker::capacityOf(const ReplicaEntry& entry)
{
    auto found = m_replicas.find(entry.id);
    if (found == m_replicas.end())
        return {};
    auto& record = found->second;
    if (!record.group || record.group->first != entry.service || record.group->second != entry.stage)
        record.group = Group { entry.service, entry.stage };
    record.slots = entry.slots;
    return record.capacity;
}

CapacitySamples CapacityTracker::sumOf(const ReplicaId& replica, const Record& record, CapacityScope scope) const
{
    std::vector<CapacitySamples> reports { aged(record.own) };
    if (scope == CapacityScope::Daemon)
        return reports.front();
    for (const auto& [daemon, samples] : record.peers)
        reports.push_back(aged(samples));
    auto sum = sumOfReports(reports);
    if (scope == CapacityScope::Zone || record.zones.empty())
        return sum;
    std::vector<CapacitySamples> zones { sum };
    for (const auto& [zone, samples] : record.zones)
        zones.push_back(aged(samples));
    sum = sumOfReports(zones);
    sum.replica = replica;
    return sum;
}

CapacitySamples CapacityTracker::knownOf(const ReplicaId& replica, const Record& record) const
{
    if (record.fleet) {
        std::vector<CapacitySamples> reports { aged(*record.fleet) };
        if (evidenceOf(reports.front()) >= fewestCalls)
            return sumOfReports(reports);
    }
    return sumOf(replica, record, CapacityScope::Fleet);
}

std::vector<CapacitySamples> CapacityTracker::nextSamples(CapacityScope scope, ReplicaId& cursor, size_t maximum) const
{
    std::vector<CapacitySamples> list;
    auto next = m_replicas.upper_bound(cursor);
    for (size_t visited = 0; visited < m_replicas.size() && list.size() < maximum; ++visited, ++next) {
        if (next == m_replicas.end())
            next = m_replicas.begin();
        cursor = next->first;
        auto samples = sumOf(next->first, next->second, scope);
        if (evidenceOf(samples) >= fewestCalls)
            list.push_back(std::move(samples));
    }
    return list;
}

void CapacityTracker::setPeerSamples(const DaemonId& daemon, const std::vector<CapacitySamples>& list)
{
    for (const auto& samples : list)
        recordOf(samples.replica).peers[daemon] = { samples, m_timers.now() };
}

void CapacityTracker::setZoneSamples(const AvailabilityZone& zone, const std::vector<CapacitySamples>& list)
{
    for (const auto& samples : list)
        recordOf(samples.replica).zones[zone] = { samples, m_timers.now() };
}

void CapacityTracker::setFleetSamples(const std::vector<CapacitySamples>& list)
{
    for (const auto& samples : list)
        recordOf(samples.replica).fleet = { samples, m_timers.now() };
}

void CapacityTracker::reset(const ReplicaId& replica)
{
    auto found = m_replicas.find(replica);
    if (found == m_replicas.end())
        return;
    auto& record = found->second;
    record.own = { { replica }, m_timers.now() };
    record.peers.clear();
    record.zones.clear();
    record.fleet.reset();
    record.capacity = {};
}

void CapacityTracker::forgetOld()
{
    auto isOld = [this](const auto& entry) { return evidenceOf(aged(entry.second)) < fewestCalls / 2; };
    for (auto next = m_replicas.begin(); next != m_replicas.end();) {
        auto& [replica, record] = *next;
        std::erase_if(record.peers, isOld);
        std::erase_if(record.zones, isOld);
        auto isKnown = !record.peers.empty() || !record.zones.empty() || evidenceOf(knownOf(replica, record)) >= fewestCalls / 2;
        if (isKnown) {
            ++next;
            continue;
        }
        record.capacity = {};
        publish(replica, record);
        next = m_replicas.erase(next);
    }
}

void CapacityTracker::update()
{
    if (m_updatedAt && m_timers.now() - *m_updatedAt < updatePeriod)
        return;
    m_updatedAt = m_timers.now();
    forgetOld();
    estimate();
}

void CapacityTracker::estimate()
{
    std::map<Group, std::pair<std::vector<Record*>, std::vector<CapacitySamples>>> groups;
    for (auto& [replica, record] : m_replicas) {
        if (!record.group)
            continue;
        auto& [records, samples] = groups[*record.group];
        records.push_back(&record);
        samples.push_back(knownOf(replica, record));
        samples.back().replica = replica;
    }
    for (const auto& [name, group] : groups) {
        const auto& [records, samples] = group;
        auto capacities = estimateCapacities(samples);
        for (size_t i = 0; i < records.size(); ++i) {
            records[i]->capacity = capacities[i];
            logChange(samples[i].replica, *records[i]);
            publish(samples[i].replica, *records[i]);
        }
    }
}

void CapacityTracker::logChange(const ReplicaId& replica, Record& record)
{
    const auto& [limitShare, speed, errorShare, samples] = record.capacity;
    if (!differsByMuch(limitShare, record.logged.limitShare) && !differsByMuch(speed, record.logged.speed))
        return;
    m_log.write(EventId::ReplicaCapacityChanged, { { "replica", replica }, { "limit", limitShare * record.slots }, { "limit_before", record.logged.limitShare * record.slots }, { "slots", record.slots }, { "weight", speed }, { "weight_before", record.logged.speed }, { "error_share", errorShare }, { "samples", samples } });
    record.logged = record.capacity;
}

void CapacityTracker::publish(const ReplicaId& replica, Record& record)
{
    auto isWanted = !isDefault(record.capacity);
    if (!m_metrics || (!isWanted && !record.isPublished) || (isWanted && !record.isPublished && m_published >= maximumPublished))
        return;
    MetricLabels labels { { "replica", replica.value() } };
    m_published += isWanted ? 1 : 0;
    m_published -= record.isPublished ? 1 : 0;
    record.isPublished = isWanted;
    if (!isWanted) {
        m_metrics->removeGauge("chestnut_replica_limit", labels);
        m_metrics->removeGauge("chestnut_replica_weight", labels);
        return;
    }
    m_metrics->setGauge("chestnut_replica_limit", record.capacity.limitShare * record.slots, labels);
    m_metrics->setGauge("chestnut_replica_weight", record.capacity.speed, labels);
}

} // namespace chestnut
