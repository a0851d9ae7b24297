#include "frontend/replicas/ReplicaTable.h"

#include <algorithm>
#include <cassert>

namespace chestnut {

namespace {

    /** Losses of one replica within this time are the same loss, detected by several requests. */
    constexpr Duration lossWindow = std::chrono::milliseconds(200);
    /** Older work is dropped: load reports, whose weight decays with a time constant of 2 s, supersede it. */
    constexpr Duration sentWorkRetention = std::chrono::seconds(10);
    /** Initial estimate of the plain service calls per second of one slot. */
    constexpr double initialCallsPerSecond = 20;

    WorkEstimate sum(const WorkEstimate& a, const WorkEstimate& b)
    {
        return { a.prefillTokens + b.prefillTokens, a.decodeTokens + b.decodeTokens };
    }

} // namespace

ReplicaGroupId groupOf(const ModelId& model)
{
    return ReplicaGroupId("model/" + model.value());
}

ReplicaGroupId groupOf(const ServiceId& service)
{
    return ReplicaGroupId("service/" + service.value());
}

ReplicaTable::ReplicaTable(Locality locality, TimerService& timers, Log& log, ReplicaStatusSource statusSource)
    : m_locality(std::move(locality))
    , m_timers(timers)
    , m_log(log)
    , m_statusSource(std::move(statusSource))
{
}

void ReplicaTable::apply(const Configuration& configuration)
{
    std::map<ReplicaGroupId, std::vector<std::pair<SubsetCandidate, Replica>>> groups;
    for (const auto& [key, engine] : configuration.engines) {
        auto endpoint = parseEndpoint(engine.address);
        if (!endpoint || engine.membership != Membership::Joined)
            continue;
        Replica replica;
        replica.group = groupOf(engine.model);
        replica.endpoint = *endpoint;
        replica.view = { ReplicaId(engine.id.value()), engine.zone, engine.role, engine.slots };
        replica.view.networkDelay = delayTo(engine.zone, engine.region);
        auto model = configuration.models.find(engine.model.value());
        replica.version = engine.model.value() + "/" + (model == configuration.models.end() ? "" : model->second.version);
        groups[replica.group].emplace_back(SubsetCandidate { replica.view.id, engine.zone, engine.region }, std::move(replica));
    }
    for (const auto& [key, server] : configuration.backendServers) {
        auto endpoint = parseEndpoint(server.address);
        if (!endpoint || server.membership != Membership::Joined)
            continue;
        Replica replica;
        replica.group = groupOf(server.service);
        replica.endpoint = *endpoint;
        replica.isEngine = false;
        replica.view = { server.id, server.zone, EngineRole::Mixed, server.slots };
        replica.view.rates.decodeTokensPerSecond = initialCallsPerSecond;
        replica.view.networkDelay = delayTo(server.zone, server.region);
        groups[replica.group].emplace_back(SubsetCandidate { server.id, server.zone, server.region }, std::move(replica));
    }
    for (auto& [id, replica] : m_replicas)
        replica.isConfigured = false;
    for (auto& [id, group] : m_groups) {
        group.members.clear();
        group.candidates.clear();
    }
    for (const auto& [key, model] : configuration.models)
        m_groups[groupOf(model.id)];
    for (const auto& [key, server] : configuration.backendServers)
        m_groups[groupOf(server.service)];
    for (auto& [id, replicas] : groups)
        addSubset(id, std::move(replicas));
    std::erase_if(m_replicas, [](const auto& entry) { return !entry.second.isConfigured && entry.second.inFlightRequests.empty(); });
    updateRoles();
    std::erase_if(m_prefixes.replicas, [this](const auto& entry) { return !m_replicas.contains(entry.first); });
}

void ReplicaTable::addSubset(const ReplicaGroupId& groupId, std::vector<std::pair<SubsetCandidate, Replica>> replicas)
{
    std::vector<SubsetCandidate> candidates;
    candidates.reserve(replicas.size());
    for (const auto& [candidate, replica] : replicas)
        candidates.push_back(candidate);
    auto& group = m_groups[groupId];
    group.members = chooseSubset(m_locality.self, m_locality.zone, m_locality.region, candidates);
    group.candidates = std::move(candidates);
    group.daemonsPerReplica = daemonsPerReplicaOf(group);
    for (auto& [candidate, replica] : replicas) {
        if (std::ranges::find(group.members, candidate.id) == group.members.end())
            continue;
        auto [position, isNew] = m_replicas.try_emplace(candidate.id, replica);
        auto& existing = position->second;
        if (isNew) {
            existing.view.rates = withRole(existing.view.rates, EngineRole::Mixed, existing.view.role);
            continue;
        }
        if (existing.version != replica.version || existing.endpoint != replica.endpoint)
            removeReplica(m_prefixes, candidate.id);
        auto rates = existing.view.rates;
        auto report = existing.view.report;
        auto blocks = existing.view.blocks;
        auto role = existing.view.role;
        existing.view = replica.view;
        existing.view.role = role;
        existing.view.rates = rates;
        existing.view.report = report;
        existing.view.blocks = blocks;
        existing.group = replica.group;
        existing.endpoint = replica.endpoint;
        existing.version = replica.version;
        existing.isConfigured = true;
    }
}

void ReplicaTable::updateRoles()
{
    for (auto& [id, replica] : m_replicas) {
        if (!replica.isEngine || !replica.isConfigured)
            continue;
        auto role = m_statusSource.roleOf(id);
        replica.view.rates = withRole(replica.view.rates, replica.view.role, role);
        replica.view.role = role;
    }
}

Duration ReplicaTable::delayTo(const AvailabilityZone& zone, const Region& region) const
{
    if (region != m_locality.region)
        return m_locality.otherRegionDelay;
    return zone == m_locality.zone ? m_locality.sameZoneDelay : m_locality.sameRegionDelay;
}

bool ReplicaTable::hasGroup(const ReplicaGroupId& group) const
{
    return m_groups.contains(group);
}

ReplicaTable::Replica* ReplicaTable::find(const ReplicaId& id)
{
    auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : &found->second;
}

const ReplicaTable::Replica* ReplicaTable::find(const ReplicaId& id) const
{
    auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : &found->second;
}

std::vector<ReplicaView> ReplicaTable::views(const ReplicaGroupId& groupId) const
{
    std::vector<ReplicaView> result;
    auto group = m_groups.find(groupId);
    if (group == m_groups.end())
        return result;
    for (const auto& id : group->second.members) {
        const auto& replica = m_replicas.at(id);
        auto view = replica.view;
        view.own = ownWork(replica);
        view.acceptsNewWork = acceptsNewWork(replica);
        view.concurrencyLimit = static_cast<uint32_t>(std::max(1.0, replica.limit.limit));
        view.daemonShare = capacityShareOf(id, group->second);
        auto latency = group->second.latency.replicas.find(id);
        if (latency != group->second.latency.replicas.end())
            view.health = latency->second.health;
        result.push_back(std::move(view));
    }
    return result;
}

OwnWork ReplicaTable::ownWork(const Replica& replica) const
{
    OwnWork own;
    auto now = m_timers.now();
    for (const auto* inFlight : replica.inFlightRequests) {
        const auto& info = inFlight->info();
        auto& count = info.priorityClass == PriorityClass::Live ? own.liveRequests : own.batchRequests;
        ++count;
        if (info.isLong || isStraggler(now - inFlight->startedAt(), info.estimate.serviceTime))
            ++own.longRequests;
        own.unfinished = sum(own.unfinished, inFlight->remaining());
    }
    auto measuredAt = replica.view.report.measuredAt;
    for (const auto& sent : replica.sent) {
        if (sent.at <= measuredAt)
            continue;
        own.sentSinceReport = sum(own.sentSinceReport, sent.work);
        ++own.netRequestsSinceReport;
    }
    own.netRequestsSinceReport -= static_cast<int32_t>(std::ranges::count_if(replica.ended, [measuredAt](TimePoint at) { return at > measuredAt; }));
    return own;
}

bool ReplicaTable::isUnresponsive(const Replica& replica) const
{
    if (replica.failures == 0)
        return false;
    return replica.failures >= unresponsiveFailures || m_timers.now() - replica.firstFailureAt >= unresponsiveTime;
}

bool ReplicaTable::isResponsive(const ReplicaId& id) const
{
    const auto* replica = find(id);
    return !replica || !isUnresponsive(*replica);
}

bool ReplicaTable::acceptsNewWork(const Replica& replica) const
{
    bool isIsolated = std::ranges::any_of(replica.inFlightRequests, [](const InFlightRequest* inFlight) { return inFlight->info().isIsolated; });
    return replica.isConfigured && !isIsolated && !isUnresponsive(replica) && m_statusSource.acceptsNewWork(replica.view.id);
}

std::vector<double> ReplicaTable::cachedTokens(std::span<const ReplicaView> replicas, std::span<const uint64_t> blocks) const
{
    std::vector<double> tokens;
    for (const auto& view : replicas)
        tokens.push_back(blocks.empty() ? 0 : chestnut::cachedTokens(m_prefixes, view.id, blocks));
    return tokens;
}

std::optional<Endpoint> ReplicaTable::endpoint(const ReplicaId& id) const
{
    const auto* replica = find(id);
    return replica ? std::optional(replica->endpoint) : std::nullopt;
}

InFlightRequestHandle ReplicaTable::beginRequest(const ReplicaId& id, InFlightRequestInfo info, std::span<const uint64_t> blocks)
{
    auto* replica = find(id);
    assert(replica);
    auto now = m_timers.now();
    auto inFlight = std::make_shared<InFlightRequest>(weak_from_this(), id, std::move(info), now);
    inFlight->m_wasOnlyRequest = replica->inFlightRequests.empty() && replica->view.report.running == 0;
    replica->inFlightRequests.push_back(inFlight.get());
    while (!replica->sent.empty() && replica->sent.front().at < now - sentWorkRetention)
        replica->sent.pop_front();
    replica->sent.push_back({ now, inFlight->info().work });
    if (!blocks.empty())
        recordSentPrefix(m_prefixes, id, blocks);
    return inFlight;
}

void ReplicaTable::endRequest(InFlightRequest& inFlight)
{
    learnDecodeRate(inFlight);
    auto* replica = find(inFlight.replica());
    assert(replica);
    replica->inFlightRequests.remove(&inFlight);
    auto now = m_timers.now();
    while (!replica->ended.empty() && replica->ended.front() < now - sentWorkRetention)
        replica->ended.pop_front();
    replica->ended.push_back(now);
    auto group = replica->group;
    if (!replica->isConfigured && replica->inFlightRequests.empty())
        m_replicas.erase(inFlight.replica());
    if (m_onRequestEnd)
        m_onRequestEnd(group);
}

std::vector<Digest> ReplicaTable::contentsRunningAt(const ReplicaId& id) const
{
    std::vector<Digest> contents;
    if (const auto* replica = find(id)) {
        for (const auto* inFlight : replica->inFlightRequests)
            contents.push_back(inFlight->info().content);
    }
    return contents;
}

bool ReplicaTable::beginLossCheck(const ReplicaId& id)
{
    auto* replica = find(id);
    if (!replica || replica->isLossCheckPending || !m_statusSource.acceptsNewWork(id))
        return false;
    if (replica->hasLoss && m_timers.now() - replica->lossDetectedAt < lossWindow)
        return false;
    replica->isLossCheckPending = true;
    return true;
}

void ReplicaTable::endLossCheck(const ReplicaId& id, bool isLost)
{
    auto* replica = find(id);
    if (!replica)
        return;
    replica->isLossCheckPending = false;
    if (!isLost)
        return;
    replica->hasLoss = true;
    replica->lossDetectedAt = m_timers.now();
    removeReplica(m_prefixes, id);
}

bool ReplicaTable::isLossCheckPending(const ReplicaId& id) const
{
    const auto* replica = find(id);
    return replica && replica->isLossCheckPending;
}

bool ReplicaTable::preemptNewestBatch(const ReplicaId& id)
{
    auto* replica = find(id);
    if (!replica)
        return false;
    for (auto position = replica->inFlightRequests.rbegin(); position != replica->inFlightRequests.rend(); ++position) {
        auto& inFlight = **position;
        // A preempted request is already freeing a slot for the next live request.
        if (inFlight.wasPreempted())
            return false;
        if (inFlight.info().priorityClass != PriorityClass::Batch || !inFlight.info().preempt)
            continue;
        if (!canPreempt(inFlight.info().deadline, m_timers.now()))
            continue;
        inFlight.markPreempted();
        auto preempt = inFlight.info().preempt;
        preempt();
        return true;
    }
    return false;
}

double ReplicaTable::capacityShareOf(const ReplicaId& id, const Group& group) const
{
    return m_statusSource.slowStartShare(id) / group.daemonsPerReplica;
}

double ReplicaTable::daemonsPerReplicaOf(const Group& group) const
{
    MemberRecord self;
    self.id = m_locality.self;
    self.zone = m_locality.zone;
    self.region = m_locality.region;
    return daemonsSharing(m_daemons, self, group.candidates);
}

void ReplicaTable::setMembers(std::vector<MemberRecord> members)
{
    m_daemons = std::move(members);
    for (auto& [id, group] : m_groups)
        group.daemonsPerReplica = daemonsPerReplicaOf(group);
}

std::map<ReplicaGroupId, GroupUtilization> ReplicaTable::utilization() const
{
    std::map<ReplicaGroupId, GroupUtilization> result;
    for (const auto& [id, group] : m_groups) {
        GroupUtilization utilization;
        for (const auto& member : group.members) {
            const auto& replica = m_replicas.at(member);
            utilization.inFlightRequests += static_cast<uint32_t>(replica.inFlightRequests.size());
            if (acceptsNewWork(replica))
                utilization.slots += replica.view.slots * capacityShareOf(member, group);
        }
        if (utilization.slots > 0)
            result[id] = utilization;
    }
    return result;
}

} // namespace chestnut
