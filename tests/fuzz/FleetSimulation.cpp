#include "FleetSimulationState.h"

#include <algorithm>
#include <ostream>

namespace chestnut::fuzz {

namespace {

    constexpr size_t daemonCount = 3;
    constexpr Duration step = std::chrono::seconds(1);

    Configuration initialConfiguration()
    {
        Configuration configuration;
        configuration.revision = 1;
        configuration.models["m"] = { ModelId("m"), "v0", {}, 1, 0 };
        for (const auto* id : { "checking", "ignoring" }) {
            EngineSpec engine;
            engine.id = EngineId(id);
            engine.address = std::string("10.0.0.1:") + std::to_string(1 + configuration.engines.size());
            engine.zone = AvailabilityZone("a");
            engine.region = Region("r");
            engine.model = ModelId("m");
            engine.rolePolicy = RolePolicy::Fixed;
            engine.checksFencing = engine.id.value() == "checking";
            configuration.engines[id] = engine;
        }
        for (const auto* id : { "s1", "s2" })
            configuration.backendServers[id] = { ReplicaId(id), ServiceId("orders"), "10.0.0.2:" + std::string(id).substr(1), AvailabilityZone("a"), Region("r"), Membership::Joined, 32, false, 0 };
        return configuration;
    }

} // namespace

std::ostream& operator<<(std::ostream& stream, const Command& command)
{
    constexpr std::array<const char*, commandKinds> names { "advance", "call", "generate", "submit", "kill", "restart", "pause", "resume",
        "isolate", "reconnect", "stop", "outage", "lose_response", "delay_orders" };
    return stream << names.at(static_cast<size_t>(command.kind)) << "(" << int { command.a } << "," << int { command.b } << "," << int { command.c } << ")";
}

FleetSimulation::FleetSimulation(Variant variant, uint64_t seed)
    : m_variant(variant)
    , m_random(seed)
    , m_store(std::make_unique<KeyValueModel>())
{
    m_store->configuration = initialConfiguration();
    for (const auto& [id, spec] : m_store->configuration.engines) {
        m_engines.push_back(std::make_unique<Engine>());
        m_engines.back()->id = spec.id;
        m_engines.back()->state = { 0, 0, desiredEngine(m_store->configuration, spec, {}, {}), true };
    }
    for (const auto& [id, spec] : m_store->configuration.backendServers)
        m_servers.push_back(std::make_unique<Server>(Server { id, {}, {} }));
    for (size_t i = 0; i < daemonCount; ++i) {
        auto& daemon = *m_daemons.emplace_back(std::make_unique<Daemon>());
        daemon.table.self.id = DaemonId("d" + std::to_string(i));
        daemon.table.self.zone = AvailabilityZone(i == 0 ? "a" : "b");
        daemon.table.self.region = Region("r");
        start(daemon);
    }
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::start(Daemon& daemon)
{
    auto self = daemon.table.self;
    self.incarnation = std::max<Incarnation>(self.incarnation + 1, static_cast<Incarnation>(m_now.time_since_epoch().count()));
    self.counter = 1;
    self.state = MemberState::Ready;
    self.revision = 0;
    daemon = Daemon();
    daemon.table.self = self;
    daemon.connectedSince = m_now;
    pullConfiguration(daemon);
}

bool FleetSimulation::canReachStore(const Daemon& daemon) const
{
    return m_store->isUp && !daemon.isIsolated && daemon.isActive();
}

bool FleetSimulation::canReach(const Daemon& from, const Daemon& to) const
{
    return from.isActive() && to.isActive() && !from.isIsolated && !to.isIsolated;
}

void FleetSimulation::applyConfiguration(Daemon& daemon, const Configuration& configuration)
{
    bool isNewer = configuration.revision > daemon.configuration.revision;
    if (!isNewer && (m_variant != Variant::RevisionReverts || configuration.revision == 0))
        return;
    daemon.configuration = configuration;
    daemon.table.self.revision = configuration.revision;
    oracle.revisionApplied(daemon.table.self.id.value(), daemon.table.self.incarnation, configuration.revision);
}

void FleetSimulation::pullConfiguration(Daemon& daemon)
{
    std::vector<MemberRecord> members { daemon.table.self };
    for (const auto& [id, member] : daemon.table.others)
        members.push_back(visibleRecord(member));
    // A daemon without a configuration always reads the store; one with a configuration only while it is a watcher.
    if (canReachStore(daemon) && (daemon.configuration.revision == 0 || isConfigurationWatcher(daemon.table.self.id, members)))
        applyConfiguration(daemon, m_store->configuration);
    for (auto& peer : m_daemons) {
        auto member = daemon.table.others.find(peer->table.self.id);
        if (member != daemon.table.others.end() && canReach(daemon, *peer) && member->second.record.revision != daemon.configuration.revision)
            applyConfiguration(daemon, peer->configuration);
    }
}

void FleetSimulation::exchangeHeartbeats(Daemon& daemon)
{
    expireMembers(daemon.table, m_now);
    incrementOwnCounter(daemon.table);
    for (auto& peer : m_daemons) {
        if (peer.get() == &daemon || !canReach(daemon, *peer))
            continue;
        auto request = composeHeartbeatPayload(daemon.table, m_now, m_random, payloadBytesPerHeartbeat);
        auto peerOutcome = mergeHeartbeatPayload(peer->table, request, m_now);
        auto reply = composeHeartbeatPayload(peer->table, m_now, m_random, payloadBytesPerHeartbeat, &request);
        auto outcome = mergeHeartbeatPayload(daemon.table, reply, m_now);
        if (outcome.conflict != IncarnationConflict::None)
            renewIncarnation(daemon.table, 0, outcome.conflictingRecord);
        if (peerOutcome.conflict != IncarnationConflict::None)
            renewIncarnation(peer->table, 0, peerOutcome.conflictingRecord);
    }
}

void FleetSimulation::tick()
{
    m_now += step;
    for (auto& [index, record] : std::exchange(m_store->delayedClaims, {})) {
        if (index == m_store->claims.size())
            m_store->claims.push_back(record);
    }
    for (auto& engine : m_engines) {
        std::erase_if(engine->running, [&](const auto& request) { return request.second <= m_now; });
        deliverOrders(*engine);
    }
    for (auto& daemon : m_daemons) {
        if (!daemon->isActive())
            continue;
        exchangeHeartbeats(*daemon);
        pullConfiguration(*daemon);
        for (auto& call : daemon->calls)
            continueCall(*daemon, call);
        std::erase_if(daemon->calls, [](const PendingCall& call) { return call.isDone; });
        maintainLease(*daemon);
        orderEngines(*daemon);
        exitWhenDone(*daemon);
    }
    checkRevisions();
}

void FleetSimulation::checkRevisions()
{
    // During an outage of the store, the other daemons can get the newest revision of any reachable daemon.
    Revision available = m_store->isUp ? m_store->configuration.revision : 0;
    for (const auto& daemon : m_daemons)
        available = std::max(available, daemon->isActive() && !daemon->isIsolated ? daemon->configuration.revision : 0);
    if (std::exchange(m_available, available) < available)
        m_availableSince = m_now;
    for (auto& server : m_servers) {
        if (!server->leavingRevision || *server->leavingRevision > available)
            server->leavingSince.reset();
        else if (!server->leavingSince)
            server->leavingSince = m_now;
    }
    for (const auto& daemon : m_daemons) {
        if (daemon->isActive() && !daemon->isIsolated)
            oracle.revisionLags(daemon->table.self.id.value(), daemon->configuration.revision, available,
                std::min(m_now - m_availableSince, m_now - daemon->connectedSince));
    }
    for (const auto& accepted : m_store->accepted) {
        auto isKept = [&](const AcceptedTicket& ticket) { return ticket.number == accepted.first && ticket.revision == accepted.second; };
        if (std::ranges::none_of(m_store->configuration.recentTickets, isKept))
            oracle.acceptedTicketLost(accepted.first);
    }
}

void FleetSimulation::submit(Daemon& daemon, const Command& command)
{
    if (!canReachStore(daemon) || daemon.leavingSince)
        return;
    Ticket ticket;
    // Some numbers are reused, as when an operator resubmits a ticket or two operators submit at the same time.
    ticket.number = command.c % 4 == 0 ? std::max<TicketNumber>(m_lastTicketNumber, 1) : ++m_lastTicketNumber;
    const auto& configuration = m_store->configuration;
    auto engine = configuration.engines.at(command.b % 2 == 0 ? "checking" : "ignoring");
    engine.role = static_cast<EngineRole>(command.c % 3);
    auto server = configuration.backendServers.at(command.b % 2 == 0 ? "s1" : "s2");
    server.membership = command.c % 2 == 0 ? Membership::Leaving : Membership::Joined;
    if (command.b % 4 < 2)
        ticket.engines[engine.id.value()] = engine;
    else
        ticket.backendServers[server.id.value()] = server;
    auto content = digestOf(std::to_string(command.b) + "/" + std::to_string(command.c));
    if (evaluateTicket(configuration, ticket, content).status != TicketStatus::New || !validateTicket(configuration, ticket).empty())
        return;
    m_store->configuration = withTicket(configuration, ticket, content);
    applyConfiguration(daemon, m_store->configuration);
    m_store->accepted[ticket.number] = m_store->configuration.revision;
    for (auto& [id, spec] : ticket.backendServers) {
        auto& server = **std::ranges::find(m_servers, id, [](const auto& entry) { return entry->id; });
        if (spec.membership == Membership::Joined) {
            server.leavingRevision.reset();
            server.leavingSince.reset();
        } else if (!server.leavingRevision)
            server.leavingRevision = m_store->configuration.revision;
    }
}

size_t FleetSimulation::inFlight(const Daemon& daemon) const
{
    size_t count = daemon.calls.size();
    for (const auto& engine : m_engines)
        count += static_cast<size_t>(std::ranges::count(engine->running, daemon.table.self.id, [](const auto& request) { return request.first; }));
    return count;
}

void FleetSimulation::stop(Daemon& daemon)
{
    daemon.leavingSince = m_now;
    daemon.table.self.state = MemberState::Leaving;
    exitWhenDone(daemon);
}

void FleetSimulation::exitWhenDone(Daemon& daemon)
{
    if (!daemon.leavingSince)
        return;
    auto waited = m_now - *daemon.leavingSince;
    bool isDone = inFlight(daemon) == 0 && waited >= std::chrono::seconds(10);
    if (!isDone && m_variant != Variant::UngracefulStop)
        return;
    oracle.daemonExited(daemon.table.self.id.value(), inFlight(daemon), waited);
    daemon.isRunning = false;
}

void FleetSimulation::generate(Daemon& daemon, const Command& command)
{
    auto& engine = *m_engines[command.b % m_engines.size()];
    if (!daemon.isActive() || daemon.leavingSince || daemon.isIsolated || daemon.drainingEngines.contains(engine.id) || !engine.state.isReady)
        return;
    engine.running.emplace_back(daemon.table.self.id, m_now + std::chrono::seconds(1 + command.c % 30));
}

void FleetSimulation::apply(const Command& command)
{
    auto& daemon = *m_daemons[command.a % m_daemons.size()];
    switch (command.kind) {
    case CommandKind::Advance:
        for (int i = 0; i <= command.a % 20; ++i)
            tick();
        return;
    case CommandKind::Call:
        return call(daemon, command);
    case CommandKind::Generate:
        return generate(daemon, command);
    case CommandKind::Submit:
        return submit(daemon, command);
    case CommandKind::Kill:
        daemon.isRunning = false;
        return;
    case CommandKind::Restart:
        if (!daemon.isRunning)
            start(daemon);
        return;
    case CommandKind::Pause:
        daemon.isPaused = true;
        return;
    case CommandKind::Resume:
        if (std::exchange(daemon.isPaused, false))
            daemon.connectedSince = m_now;
        return;
    case CommandKind::Isolate:
        daemon.isIsolated = true;
        return;
    case CommandKind::Reconnect:
        if (std::exchange(daemon.isIsolated, false))
            daemon.connectedSince = m_now;
        return;
    case CommandKind::Stop:
        if (daemon.isActive() && !daemon.leavingSince)
            stop(daemon);
        return;
    case CommandKind::Outage:
        m_store->isUp = command.c % 2 == 0;
        return;
    case CommandKind::LoseResponse:
        m_store->losesResponse = true;
        m_store->isWriteLate = command.b % 2 == 0;
        return;
    case CommandKind::DelayOrders:
        m_orderDelay = std::chrono::seconds(command.a % 7);
        return;
    }
}

void FleetSimulation::settle()
{
    m_store->isUp = true;
    m_orderDelay = Duration(0);
    for (auto& daemon : m_daemons) {
        daemon->isPaused = daemon->isIsolated = false;
        if (!daemon->isRunning)
            start(*daemon);
        daemon->connectedSince = m_now;
    }
    constexpr int settlingSeconds = 100;
    for (int i = 0; i < settlingSeconds; ++i)
        tick();
}

} // namespace chestnut::fuzz
