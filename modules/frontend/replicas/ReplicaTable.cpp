#include "frontend/replicas/ReplicaTable.h"

#include <algorithm>
#include <cassert>

namespace chestnut {

namespace {

    /** Losses of one replica closer together than this are one loss that several requests noticed. */
    constexpr Duration lossWindow = std::chrono::milliseconds(200);
    /** Work sent earlier than this no longer matters beside a report, whose weight fades with 2 s. */
    constexpr Duration keptSentTime = std::chrono::seconds(10);
    /** Plain calls a second that one slot is assumed to serve until measured. */
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

ReplicaTable::ReplicaTable(Locality locality, TimerService& timers, Log& log, ReplicaGates gates)
    : m_locality(std::move(locality))
    , m_timers(timers)
    , m_log(log)
    , m_gates(std::move(gates))
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
    std::erase_if(m_replicas, [](const auto& entry) { return !entry.second.isConfigured && entry.second.flights.empty(); });
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
    group.sharing = sharingOf(group);
    for (auto& [candidate, replica] : replicas) {
        if (std::ranges::find(group.members, candidate.id) == group.members.end())
            continue;
        auto [position, isNew] = m_replicas.try_emplace(candidate.id, replica);
        auto& known = position->second;
        if (isNew) {
            known.view.rates = withRole(known.view.rates, EngineRole::Mixed, known.view.role);
            continue;
        }
        if (known.version != replica.version || known.endpoint != replica.endpoint)
            removeReplica(m_prefixes, candidate.id);
        auto rates = known.view.rates;
        auto report = known.view.report;
        auto blocks = known.view.blocks;
        auto role = known.view.role;
        known.view = replica.view;
        known.view.role = role;
        known.view.rates = rates;
        known.view.report = report;
        known.view.blocks = blocks;
        known.group = replica.group;
        known.endpoint = replica.endpoint;
        known.version = replica.version;
        known.isConfigured = true;
    }
}

void ReplicaTable::updateRoles()
{
    for (auto& [id, replica] : m_replicas) {
        if (!replica.isEngine || !replica.isConfigured)
            continue;
        auto role = m_gates.roleOf(id);
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
        view.daemonShare = shareOf(id, group->second);
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
    for (const auto* flight : replica.flights) {
        const auto& plan = flight->plan();
        auto& count = plan.priorityClass == PriorityClass::Live ? own.liveRequests : own.batchRequests;
        ++count;
        if (plan.isLong || isStraggler(now - flight->startedAt(), plan.estimate.serviceTime))
            ++own.longRequests;
        own.unfinished = sum(own.unfinished, flight->remaining());
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
    bool isIsolated = std::ranges::any_of(replica.flights, [](const InFlightRequest* flight) { return flight->plan().isIsolated; });
    return replica.isConfigured && !isIsolated && !isUnresponsive(replica) && m_gates.acceptsNewWork(replica.view.id);
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

InFlightRequestHandle ReplicaTable::begin(const ReplicaId& id, InFlightRequestInfo plan, std::span<const uint64_t> blocks)
{
    auto* replica = find(id);
    assert(replica);
    auto now = m_timers.now();
    auto flight = std::make_shared<InFlightRequest>(weak_from_this(), id, std::move(plan), now);
    flight->m_wasAlone = replica->flights.empty() && replica->view.report.running == 0;
    replica->flights.push_back(flight.get());
    while (!replica->sent.empty() && replica->sent.front().at < now - keptSentTime)
        replica->sent.pop_front();
    replica->sent.push_back({ now, flight->plan().work });
    if (!blocks.empty())
        recordSentPrefix(m_prefixes, id, blocks);
    return flight;
}

void ReplicaTable::end(InFlightRequest& flight)
{
    learnDecodeRate(flight);
    auto* replica = find(flight.replica());
    assert(replica);
    replica->flights.remove(&flight);
    auto now = m_timers.now();
    while (!replica->ended.empty() && replica->ended.front() < now - keptSentTime)
        replica->ended.pop_front();
    replica->ended.push_back(now);
    auto group = replica->group;
    if (!replica->isConfigured && replica->flights.empty())
        m_replicas.erase(flight.replica());
    if (m_onFlightEnd)
        m_onFlightEnd(group);
}

std::vector<Digest> ReplicaTable::contentsRunningAt(const ReplicaId& id) const
{
    std::vector<Digest> contents;
    if (const auto* replica = find(id)) {
        for (const auto* flight : replica->flights)
            contents.push_back(flight->plan().content);
    }
    return contents;
}

bool ReplicaTable::beginLossCheck(const ReplicaId& id)
{
    auto* replica = find(id);
    if (!replica || replica->isLossUnsettled || !m_gates.acceptsNewWork(id))
        return false;
    if (replica->hasLoss && m_timers.now() - replica->lossNotedAt < lossWindow)
        return false;
    replica->isLossUnsettled = true;
    return true;
}

void ReplicaTable::endLossCheck(const ReplicaId& id, bool isLost)
{
    auto* replica = find(id);
    if (!replica)
        return;
    replica->isLossUnsettled = false;
    if (!isLost)
        return;
    replica->hasLoss = true;
    replica->lossNotedAt = m_timers.now();
    removeReplica(m_prefixes, id);
}

bool ReplicaTable::isLossUnsettled(const ReplicaId& id) const
{
    const auto* replica = find(id);
    return replica && replica->isLossUnsettled;
}

bool ReplicaTable::preemptNewestBatch(const ReplicaId& id)
{
    auto* replica = find(id);
    if (!replica)
        return false;
    for (auto position = replica->flights.rbegin(); position != replica->flights.rend(); ++position) {
        auto& flight = **position;
        // A slot that is already being freed serves the next live request.
        if (flight.wasPreempted())
            return false;
        if (flight.plan().priorityClass != PriorityClass::Batch || !flight.plan().preempt)
            continue;
        if (!canPreempt(flight.plan().deadline, m_timers.now()))
            continue;
        flight.markPreempted();
        auto preempt = flight.plan().preempt;
        preempt();
        return true;
    }
    return false;
}

double ReplicaTable::shareOf(const ReplicaId& id, const Group& group) const
{
    return m_gates.slowStartShare(id) / group.sharing;
}

double ReplicaTable::sharingOf(const Group& group) const
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
        group.sharing = sharingOf(group);
}

std::map<ReplicaGroupId, GroupUse> ReplicaTable::use() const
{
    std::map<ReplicaGroupId, GroupUse> result;
    for (const auto& [id, group] : m_groups) {
        GroupUse use;
        for (const auto& member : group.members) {
            const auto& replica = m_replicas.at(member);
            use.inFlight += static_cast<uint32_t>(replica.flights.size());
            if (acceptsNewWork(replica))
                use.slots += replica.view.slots * shareOf(member, group);
        }
        if (use.slots > 0)
            result[id] = use;
    }
    return result;
}

} // namespace chestnut
