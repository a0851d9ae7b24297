#include "soak/FaultInjector.h"

#include "platform/Names.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <csignal>

namespace chestnut::soak {

namespace {

    constexpr Duration processCheckPeriod = std::chrono::milliseconds(100);
    /** A process must have exited this long after its grace period; the margin covers the delivery of the signal. */
    constexpr Duration exitMargin = std::chrono::milliseconds(500);
    /** Time from the start of a process until its main function runs. */
    constexpr Duration processStartTime = std::chrono::milliseconds(100);
    /** Time until clients see in discovery that a daemon is leaving. */
    constexpr Duration discoveryTime = std::chrono::milliseconds(1500);
    /** Time between the end of a replica and the reuse of its address; the platform's addr_reuse_s. */
    constexpr Duration addressReuse = std::chrono::milliseconds(2200);
    /** Replicas that must stay in service while another one drains. */
    constexpr int minimumRemainingReplicas = 5;

    /** Marks parts of the fleet as disturbed while it exists. */
    class Disturbance {
    public:
        explicit Disturbance(std::vector<DisturbanceTracker*> parts)
            : m_parts(std::move(parts))
        {
            for (auto* part : m_parts)
                part->begin();
        }
        Disturbance(const Disturbance&) = delete;
        Disturbance& operator=(const Disturbance&) = delete;
        ~Disturbance()
        {
            for (auto* part : m_parts)
                part->end();
        }

    private:
        std::vector<DisturbanceTracker*> m_parts;
    };

    /** Marks a daemon's process as faulty while it exists, so that it gets no second fault. */
    class ProcessFault {
    public:
        explicit ProcessFault(SoakDaemon& daemon)
            : m_daemon(daemon)
            , m_disturbance({ &daemon.disturbances })
        {
            m_daemon.hasProcessFault = true;
        }
        ProcessFault(const ProcessFault&) = delete;
        ProcessFault& operator=(const ProcessFault&) = delete;
        ~ProcessFault() { m_daemon.hasProcessFault = false; }

    private:
        SoakDaemon& m_daemon;
        Disturbance m_disturbance;
    };

} // namespace

const std::vector<FaultInjector::NamedFault>& FaultInjector::allFaults()
{
    static const std::vector<NamedFault> faults {
        { "terminate", &FaultInjector::terminate, true },
        { "hang_up", &FaultInjector::sendHangup, true },
        { "manifest", &FaultInjector::changeManifest, true },
        { "drain_replica", &FaultInjector::drainReplica, true },
        { "silence", &FaultInjector::silenceReplicas, true, &FaultProfile::includesSilence },
        { "leave_in_responses", &FaultInjector::leaveInResponses, true, &FaultProfile::includesNotices },
        { "shed", &FaultInjector::shedRequests, true, &FaultProfile::includesNotices },
        { "limit", &FaultInjector::limitRequests, true, &FaultProfile::includesLimits },
        { "without_length", &FaultInjector::omitLengths, true, &FaultProfile::includesFraming },
        { "replace_version", &FaultInjector::replaceVersion, true, &FaultProfile::includesVersions },
        { "refusals_copied", &FaultInjector::copyRefusals, true, &FaultProfile::includesCopies },
        // It excuses no lost requests, as planned work does not: requests do not need the store.
        { "restored_store", &FaultInjector::restoreStore, true, &FaultProfile::includesRestore },
        { "broken_response", &FaultInjector::breakResponses, false, &FaultProfile::includesFraming },
        { "refusal_repeated", &FaultInjector::repeatRefusals, false, &FaultProfile::includesFraming },
        { "restart_all", &FaultInjector::restartAll, false, &FaultProfile::includesVersions },
        { "streams_break_off", &FaultInjector::breakOffStreams, false, &FaultProfile::includesVersions },
        { "kill", &FaultInjector::killDaemon, false },
        { "kill_all", &FaultInjector::killAll, false },
        { "pause", &FaultInjector::pauseDaemon, false },
        { "store_down", &FaultInjector::takeStoreDown, false },
        { "store_silent", &FaultInjector::makeStoreUnresponsive, false },
        { "store_slow", &FaultInjector::slowStore, false },
        { "store_answers_lost", &FaultInjector::loseStoreResponses, false },
        { "store_compacted", &FaultInjector::compactStore, false },
        { "store_clock", &FaultInjector::disturbStoreClock, false },
        { "store_link", &FaultInjector::disturbStoreLink, false },
        { "front_link", &FaultInjector::disturbClientLink, false },
        { "replica_link", &FaultInjector::disturbReplicaLink, false },
        { "replica_crash", &FaultInjector::crashReplica, false },
        { "replica_fails", &FaultInjector::failRequests, false },
        { "replica_truncates", &FaultInjector::truncateResponses, false },
    };
    return faults;
}

FaultInjector::FaultInjector(SoakFleet& fleet, FaultProfile profile, uint32_t seed)
    : m_fleet(fleet)
    , m_profile(profile)
    , m_startedAt(fleet.timers.now())
    , m_random(seed)
    , m_processTimer(fleet.timers.every(processCheckPeriod, [this] { checkProcesses(); }))
{
}

asio::awaitable<void> FaultInjector::run(Duration time)
{
    auto end = m_fleet.timers.now() + time;
    std::vector<NamedFault> eligible;
    std::ranges::copy_if(allFaults(), std::back_inserter(eligible), [this](const NamedFault& fault) { return isEligible(fault); });
    while (m_fleet.timers.now() < end) {
        begin(eligible[pickIndex(eligible.size())]);
        // Faults come in bursts: mostly short pauses and some long ones.
        co_await m_fleet.timers.sleep(pick(0, 4) == 0 ? between(1500, 3500) : between(50, 700));
    }
    while (m_active > 0)
        co_await m_fleet.timers.sleep(processCheckPeriod);
}

bool FaultInjector::isEligible(const NamedFault& fault) const
{
    if (!m_profile.only.empty())
        return fault.name == m_profile.only;
    auto isIncluded = !fault.option || m_profile.*fault.option;
    return isIncluded && (fault.isPlanned || !m_profile.isPlannedOnly);
}

void FaultInjector::begin(const NamedFault& fault)
{
    auto seconds = std::to_string(toSeconds(m_fleet.timers.now() - m_startedAt));
    m_history.push_back(seconds + " s " + fault.name);
    spawn((this->*fault.fault)());
}

void FaultInjector::spawn(asio::awaitable<void> fault)
{
    ++m_active;
    asio::co_spawn(m_fleet.context, std::move(fault), [this](const std::exception_ptr& exception) {
        --m_active;
        if (exception)
            std::rethrow_exception(exception);
    });
}

void FaultInjector::checkProcesses()
{
    for (auto& daemon : m_fleet.daemons) {
        if (daemon->hasProcessFault || daemon->process->isRunning())
            continue;
        m_fleet.ledger.reportViolation("EXIT", daemon->name + " exited unexpectedly with code " + std::to_string(daemon->process->wait(0).value_or(-1)));
        m_fleet.startProcess(*daemon);
    }
}

SoakDaemon* FaultInjector::randomDaemonWithoutFault()
{
    std::vector<SoakDaemon*> candidates;
    for (auto& daemon : m_fleet.daemons) {
        if (!daemon->hasProcessFault)
            candidates.push_back(daemon.get());
    }
    return candidates.empty() ? nullptr : candidates[pickIndex(candidates.size())];
}

asio::awaitable<void> FaultInjector::terminate()
{
    auto* daemon = randomDaemonWithoutFault();
    if (!daemon)
        co_return;
    ProcessFault fault(*daemon);
    auto endsAt = m_fleet.timers.now() + SoakFleet::graceTime + exitMargin;
    daemon->process->signal(SIGTERM);
    co_await m_fleet.timers.sleep(discoveryTime);
    daemon->isDiscoverable = false;
    while (daemon->process->isRunning() && m_fleet.timers.now() < endsAt)
        co_await m_fleet.timers.sleep(processCheckPeriod);
    if (daemon->process->isRunning())
        m_fleet.ledger.reportViolation("END", daemon->name + " is still running after its grace period");
    m_fleet.startProcess(*daemon);
}

asio::awaitable<void> FaultInjector::sendHangup()
{
    auto* daemon = randomDaemonWithoutFault();
    if (!daemon)
        co_return;
    // Before its main function runs, a program cannot handle SIGHUP, which ends it by default.
    while (m_fleet.timers.now() < daemon->startedAt + processStartTime)
        co_await m_fleet.timers.sleep(processCheckPeriod);
    if (!daemon->hasProcessFault)
        daemon->process->signal(SIGHUP);
}

asio::awaitable<void> FaultInjector::changeManifest()
{
    if (!m_fleet.store.faults.isDown && !m_fleet.store.faults.isUnresponsive)
        m_fleet.writeManifest();
    co_return;
}

bool FaultInjector::canLeave(const ReplicaStandin& replica) const
{
    auto remaining = std::ranges::count_if(m_fleet.replicas, [](const auto& candidate) { return !candidate->isLeavingOrDown(); });
    return remaining > minimumRemainingReplicas && !replica.isLeavingOrDown();
}

asio::awaitable<void> FaultInjector::drainReplica()
{
    auto& replica = randomReplica();
    if (canLeave(replica) && !m_fleet.store.faults.isDown && !m_fleet.store.faults.isUnresponsive)
        co_await drain(replica);
}

asio::awaitable<void> FaultInjector::drain(ReplicaStandin& replica)
{
    // Daemons that have read the entry are bound by it, also when the store is disturbed or restored later.
    auto isRead = std::make_shared<bool>(false);
    auto announcedAt = m_fleet.timers.now();
    replica.drain([this, isRead](const std::string& name, TimePoint since) {
        auto* daemon = m_fleet.findDaemon(name);
        if (!daemon)
            return false;
        return m_fleet.isStableSince(*daemon, since) || (*isRead && daemon->disturbances.isUndisturbedSince(since - SoakFleet::stabilizationTime));
    });
    constexpr Duration maximumDrainTime = std::chrono::seconds(4);
    co_await m_fleet.timers.sleep(ReplicaStandin::drainTime);
    *isRead = m_fleet.storeDisturbances.isUndisturbedSince(announcedAt - SoakFleet::stabilizationTime);
    co_await m_fleet.timers.sleep(maximumDrainTime - ReplicaStandin::drainTime + addressReuse);
    replica.restart();
}

asio::awaitable<void> FaultInjector::leaveInResponses()
{
    static const std::vector<NamedFault> companions {
        { "store_down beside it", &FaultInjector::takeStoreDown, false },
        { "pause beside it", &FaultInjector::pauseDaemon, false },
        { "kill beside it", &FaultInjector::killDaemon, false },
    };
    auto& replica = randomReplica();
    if (!canLeave(replica))
        co_return;
    replica.announceDeparture();
    if (!m_profile.isPlannedOnly && pick(0, 1) == 0)
        begin(companions[pickIndex(companions.size())]);
    // Its entry says "ready" for a time that may be longer than the time in which it accepts requests.
    co_await m_fleet.timers.sleep(between(0, 6000));
    co_await drain(replica);
}

asio::awaitable<void> FaultInjector::shedRequests()
{
    auto& single = randomReplica();
    auto isAlone = pick(0, 2) > 0;
    auto duration = between(300, 3000);
    for (auto& replica : m_fleet.replicas) {
        if (isAlone ? replica.get() == &single : replica->isEngine() == single.isEngine())
            replica->shed(duration);
    }
    co_await m_fleet.timers.sleep(duration);
}

asio::awaitable<void> FaultInjector::limitRequests()
{
    static const std::vector<NamedFault> companions {
        { "terminate beside it", &FaultInjector::terminate, true },
        { "manifest beside it", &FaultInjector::changeManifest, true },
        { "pause beside it", &FaultInjector::pauseDaemon, false },
        { "kill beside it", &FaultInjector::killDaemon, false },
        { "store_link beside it", &FaultInjector::disturbStoreLink, false },
    };
    constexpr int tenths = 10;
    auto& single = randomReplica();
    auto isAlone = pick(0, 1) == 0;
    std::vector<ReplicaStandin*> limited;
    for (auto& replica : m_fleet.replicas) {
        auto isIncluded = isAlone ? replica.get() == &single : replica->isEngine() == single.isEngine() && pick(0, 4) > 0;
        if (isIncluded && !replica->hasLimit() && !replica->isLeavingOrDown())
            limited.push_back(replica.get());
    }
    if (limited.empty())
        co_return;
    for (auto changes = pick(1, 3); changes > 0; --changes) {
        for (auto* replica : limited)
            replica->limitRequests(static_cast<double>(pick(5, 80)) / tenths);
        co_await m_fleet.timers.sleep(between(1500, 5000));
        if (const auto& companion = companions[pickIndex(companions.size())]; companion.isPlanned || !m_profile.isPlannedOnly)
            begin(companion);
        co_await m_fleet.timers.sleep(between(500, 3000));
    }
    for (auto* replica : limited)
        replica->limitRequests(0);
}

asio::awaitable<void> FaultInjector::replaceVersion()
{
    static const std::vector<NamedFault> companions {
        { "restart_all beside it", &FaultInjector::restartAll, false },
        { "streams_break_off beside it", &FaultInjector::breakOffStreams, false },
    };
    constexpr int initialVersions = 2;
    if (!m_profile.isPlannedOnly && pick(0, 3) > 0)
        begin(companions[pickIndex(companions.size())]);
    // One at a time, so that engines of another version go on serving.
    if (m_leavingEngines > 0)
        co_return;
    std::vector<ReplicaStandin*> engines;
    for (auto& replica : m_fleet.replicas) {
        if (replica->isEngine())
            engines.push_back(replica.get());
    }
    auto version = engines[pickIndex(engines.size())]->version();
    ++m_replacements;
    auto nextVersion = pick(0, 1) == 0 ? "v" + std::to_string(initialVersions + m_replacements) : version;
    for (auto* engine : engines) {
        if (engine->version() != version || pick(0, 3) == 0)
            continue;
        if (canLeave(*engine)) {
            ++m_leavingEngines;
            spawn(replaceEngine(*engine, nextVersion));
        }
        co_await m_fleet.timers.sleep(between(0, 500));
    }
}

asio::awaitable<void> FaultInjector::replaceEngine(ReplicaStandin& engine, std::string version)
{
    engine.changeVersion(std::move(version));
    auto isAnnounced = m_profile.isPlannedOnly || (pick(0, 1) == 0 && !m_fleet.store.faults.isDown && !m_fleet.store.faults.isUnresponsive);
    if (isAnnounced) {
        co_await drain(engine);
    } else {
        Disturbance disturbance({ &m_fleet.unplannedDisturbances });
        engine.crash();
        co_await m_fleet.timers.sleep(addressReuse + between(0, 1500));
        engine.restart();
    }
    --m_leavingEngines;
}

asio::awaitable<void> FaultInjector::silenceReplicas()
{
    auto isAlone = pick(0, 1) == 0;
    auto includesAllEngines = pick(0, 1) == 0;
    auto startsTogether = pick(0, 1) == 0;
    auto& single = randomReplica();
    auto duration = between(800, 1500);
    for (auto& replica : m_fleet.replicas) {
        auto isIncluded = isAlone ? replica.get() == &single : pick(0, 1) == 0 || (includesAllEngines && replica->isEngine());
        if (isIncluded)
            replica->beSilent(duration, pick(0, 1) == 0);
        if (isIncluded && !startsTogether)
            co_await m_fleet.timers.sleep(between(0, 400));
    }
    if (pick(0, 1) == 0)
        co_return;
    co_await m_fleet.timers.sleep(between(0, 800));
    co_await changeManifest();
}

asio::awaitable<void> FaultInjector::kill(SoakDaemon& daemon)
{
    ProcessFault fault(daemon);
    Disturbance disturbance({ &m_fleet.unplannedDisturbances });
    daemon.process->signal(SIGKILL);
    daemon.process->wait(1);
    co_await m_fleet.timers.sleep(between(200, 1500));
    m_fleet.startProcess(daemon);
}

asio::awaitable<void> FaultInjector::killDaemon()
{
    if (auto* daemon = randomDaemonWithoutFault())
        co_await kill(*daemon);
}

asio::awaitable<void> FaultInjector::killAll()
{
    for (auto& daemon : m_fleet.daemons) {
        if (!daemon->hasProcessFault) {
            ++m_active;
            asio::co_spawn(m_fleet.context, kill(*daemon), [this](const std::exception_ptr&) { --m_active; });
        }
    }
    co_return;
}

asio::awaitable<void> FaultInjector::restartAll()
{
    // Streams begin between two of these faults.
    if (m_fleet.timers.now() < m_nextRestartAt)
        co_return;
    m_nextRestartAt = m_fleet.timers.now() + between(3000, 6000);
    Disturbance disturbance({ &m_fleet.unplannedDisturbances });
    std::vector<SoakDaemon*> killed;
    std::vector<std::unique_ptr<ProcessFault>> faults;
    for (auto& daemon : m_fleet.daemons) {
        if (daemon->hasProcessFault)
            continue;
        faults.push_back(std::make_unique<ProcessFault>(*daemon));
        killed.push_back(daemon.get());
        daemon->process->signal(SIGKILL);
    }
    for (auto* daemon : killed)
        daemon->process->wait(1);
    co_await m_fleet.timers.sleep(between(500, 2000));
    for (auto* daemon : killed)
        m_fleet.startProcess(*daemon);
}

asio::awaitable<void> FaultInjector::pauseDaemon()
{
    auto* daemon = randomDaemonWithoutFault();
    if (!daemon)
        co_return;
    ProcessFault fault(*daemon);
    Disturbance disturbance({ &m_fleet.unplannedDisturbances });
    daemon->process->signal(SIGSTOP);
    co_await m_fleet.timers.sleep(between(300, 4000));
    daemon->process->signal(SIGCONT);
    m_fleet.notices.excuse(daemon->name);
}

asio::awaitable<void> FaultInjector::takeStoreDown()
{
    auto& faults = m_fleet.store.faults;
    if (faults.isDown)
        co_return;
    Disturbance disturbance({ &m_fleet.unplannedDisturbances, &m_fleet.storeDisturbances });
    faults.isDown = true;
    faults.pausesLeases = pick(0, 1) == 0;
    co_await m_fleet.timers.sleep(between(500, 5000));
    if (!faults.pausesLeases)
        std::ranges::for_each(m_fleet.replicas, [](const auto& replica) { replica->expireEntry(); });
    faults.isDown = false;
    // Heartbeats restore the expired entries within two seconds.
    co_await m_fleet.timers.sleep(std::chrono::seconds(2));
}

asio::awaitable<void> FaultInjector::restoreStore()
{
    static const std::vector<NamedFault> companions {
        { "stages beside it", &FaultInjector::changeStages, true },
        { "terminate beside it", &FaultInjector::terminate, true },
        { "kill beside it", &FaultInjector::killDaemon, false },
    };
    // Mostly far enough from the one before for a new role holder to send orders.
    if (m_fleet.timers.now() < m_nextRestoreAt)
        co_return;
    m_nextRestoreAt = m_fleet.timers.now() + between(0, 8000);
    Disturbance disturbance({ &m_fleet.storeDisturbances });
    if (const auto& companion = companions[pickIndex(companions.size())]; companion.isPlanned || !m_profile.isPlannedOnly)
        begin(companion);
    co_await restoreOnce();
    if (pick(0, 3) > 0)
        co_return;
    co_await m_fleet.timers.sleep(between(0, 2000));
    co_await restoreOnce();
}

asio::awaitable<void> FaultInjector::changeStages()
{
    constexpr int rounds = 3;
    for (int i = 0; i < rounds; ++i) {
        for (auto& replica : m_fleet.replicas) {
            if (pick(0, 1) == 0)
                replica->leaveDecodeStage();
        }
        co_await m_fleet.timers.sleep(between(1000, 4000));
    }
}

asio::awaitable<void> FaultInjector::restoreOnce()
{
    auto& store = m_fleet.store;
    auto age = pick(0, 1) == 0 ? between(500, 4000) : between(5000, 12'000);
    if (pick(0, 1) == 0 && !store.faults.isDown) {
        store.faults.isDown = true;
        co_await m_fleet.timers.sleep(between(50, 3000));
        store.faults.isDown = false;
    }
    auto entries = store.keysBelow(std::string(platform::names::replicaPrefix));
    auto revision = store.revision();
    store.restore(age);
    if (pick(0, 1) == 0)
        store.compact();
    m_fleet.rewriteManifest();
    // So that the revision from which daemons watch exists again before their watches return.
    if (pick(0, 2) == 0) {
        while (store.revision() <= revision)
            m_fleet.rewriteManifest();
    }
    if (pick(0, 1) == 0)
        m_fleet.writeManifest();
    co_await writeAgain(std::move(entries));
}

asio::awaitable<void> FaultInjector::writeAgain(std::vector<std::string> entriesBefore)
{
    for (auto& replica : m_fleet.replicas) {
        co_await m_fleet.timers.sleep(between(0, 150));
        replica->renewEntry();
    }
    // The platform removes the entries of replicas that are gone.
    for (const auto& key : m_fleet.store.keysBelow(std::string(platform::names::replicaPrefix))) {
        auto isLive = std::ranges::any_of(m_fleet.replicas, [&key](const auto& replica) { return !replica->isDown() && replica->key() == key; });
        if (!isLive && std::ranges::find(entriesBefore, key) == entriesBefore.end())
            m_fleet.store.erase(key);
    }
}

asio::awaitable<void> FaultInjector::makeStoreUnresponsive()
{
    Disturbance disturbance({ &m_fleet.unplannedDisturbances, &m_fleet.storeDisturbances });
    m_fleet.store.faults.isUnresponsive = true;
    co_await m_fleet.timers.sleep(between(500, 5000));
    m_fleet.store.faults.isUnresponsive = false;
}

asio::awaitable<void> FaultInjector::slowStore()
{
    Disturbance disturbance({ &m_fleet.unplannedDisturbances, &m_fleet.storeDisturbances });
    m_fleet.store.faults.latency = between(50, 400);
    co_await m_fleet.timers.sleep(between(500, 4000));
    m_fleet.store.faults.latency = Duration::zero();
}

asio::awaitable<void> FaultInjector::loseStoreResponses()
{
    Disturbance disturbance({ &m_fleet.unplannedDisturbances, &m_fleet.storeDisturbances });
    constexpr double share = 0.4;
    m_fleet.store.faults.lostResponseShare = share;
    co_await m_fleet.timers.sleep(between(500, 4000));
    m_fleet.store.faults.lostResponseShare = 0;
}

asio::awaitable<void> FaultInjector::compactStore()
{
    Disturbance disturbance({ &m_fleet.unplannedDisturbances, &m_fleet.storeDisturbances });
    m_fleet.store.compact();
    co_return;
}

asio::awaitable<void> FaultInjector::disturbStoreClock()
{
    Disturbance disturbance({ &m_fleet.unplannedDisturbances, &m_fleet.storeDisturbances });
    constexpr double fast = 2;
    constexpr double slow = 0.4;
    m_fleet.store.faults.leaseSpeed = pick(0, 1) == 0 ? fast : slow;
    for (auto& replica : m_fleet.replicas)
        replica->clockError = between(-5000, 5000);
    co_await m_fleet.timers.sleep(between(1000, 5000));
    m_fleet.store.faults.leaseSpeed = 1;
}

asio::awaitable<void> FaultInjector::injectLinkFault(LinkPointer link)
{
    switch (pick(0, 4)) {
    case 0:
        link->setFault(LinkFault::Delay, between(20, 300));
        break;
    case 1:
        link->setFault(LinkFault::HoldRequests);
        break;
    case 2:
        link->setFault(LinkFault::HoldResponses);
        break;
    case 3:
        link->stallOpenConnections();
        break;
    default:
        link->resetAll();
        break;
    }
    co_await m_fleet.timers.sleep(between(200, 4000));
    link->setFault(LinkFault::None);
}

asio::awaitable<void> FaultInjector::disturbStoreLink()
{
    auto& daemon = *m_fleet.daemons[pickIndex(m_fleet.daemons.size())];
    Disturbance disturbance({ &m_fleet.unplannedDisturbances, &daemon.disturbances });
    co_await injectLinkFault(daemon.storeLink);
}

asio::awaitable<void> FaultInjector::disturbClientLink()
{
    auto& daemon = m_fleet.randomDaemon();
    Disturbance disturbance({ &m_fleet.unplannedDisturbances, &daemon.disturbances });
    co_await injectLinkFault(daemon.clientLink);
}

asio::awaitable<void> FaultInjector::disturbReplicaLink()
{
    auto index = pickIndex(m_fleet.replicas.size());
    if (m_fleet.replicas[index]->isLeavingOrDown())
        co_return;
    Disturbance disturbance({ &m_fleet.unplannedDisturbances });
    m_fleet.notices.excuseAll(m_fleet.replicas[index]->id());
    co_await injectLinkFault(m_fleet.replicaLinks[index]);
    m_fleet.notices.excuseAll(m_fleet.replicas[index]->id());
}

asio::awaitable<void> FaultInjector::crashReplica()
{
    auto& replica = randomReplica();
    if (replica.isLeavingOrDown())
        co_return;
    Disturbance disturbance({ &m_fleet.unplannedDisturbances });
    replica.crash();
    co_await m_fleet.timers.sleep(addressReuse + between(0, 2500));
    replica.restart();
}

asio::awaitable<void> FaultInjector::failRequests()
{
    return injectReplicaFault(&ReplicaFaults::failShare);
}

asio::awaitable<void> FaultInjector::truncateResponses()
{
    return injectReplicaFault(&ReplicaFaults::truncateShare);
}

asio::awaitable<void> FaultInjector::breakOffStreams()
{
    constexpr int percent = 100;
    Disturbance disturbance({ &m_fleet.unplannedDisturbances });
    auto setShare = [this](double share) {
        for (auto& replica : m_fleet.replicas) {
            if (replica->isEngine())
                replica->faults.truncateShare = share;
        }
    };
    setShare(static_cast<double>(pick(20, 60)) / percent);
    co_await m_fleet.timers.sleep(between(500, 4000));
    setShare(0);
}

asio::awaitable<void> FaultInjector::omitLengths()
{
    return injectResponseFault(pickIndex(m_fleet.replicas.size()), ResponseFault::WithoutLength);
}

asio::awaitable<void> FaultInjector::breakResponses()
{
    Disturbance disturbance({ &m_fleet.unplannedDisturbances });
    auto fault = pick(0, 1) == 0 ? ResponseFault::CutWithoutLength : ResponseFault::CutHeader;
    co_await injectResponseFault(pickIndex(m_fleet.replicas.size()), fault);
}

asio::awaitable<void> FaultInjector::repeatRefusals()
{
    Disturbance disturbance({ &m_fleet.unplannedDisturbances });
    auto index = pickIndex(m_fleet.replicas.size());
    auto refusalTime = between(100, 500);
    m_fleet.replicas[index]->refuse(refusalTime);
    co_await m_fleet.timers.sleep(refusalTime);
    co_await injectResponseFault(index, ResponseFault::RepeatedRefusal);
}

asio::awaitable<void> FaultInjector::copyRefusals()
{
    constexpr int percent = 100;
    auto& single = randomReplica();
    auto isAlone = pick(0, 2) == 0;
    auto share = static_cast<double>(pick(30, 90)) / percent;
    std::vector<size_t> refusing;
    for (size_t i = 0; i < m_fleet.replicas.size(); ++i) {
        const auto& replica = *m_fleet.replicas[i];
        if (isAlone ? &replica == &single : replica.isEngine() == single.isEngine())
            refusing.push_back(i);
    }
    for (auto index : refusing) {
        m_fleet.replicas[index]->faults.refuseShare = share;
        m_fleet.replicaLinks[index]->setResponseFault(ResponseFault::CopiedRefusal);
    }
    co_await m_fleet.timers.sleep(between(500, 4000));
    for (auto index : refusing) {
        m_fleet.replicas[index]->faults.refuseShare = 0;
        m_fleet.replicaLinks[index]->setResponseFault(ResponseFault::None);
    }
}

asio::awaitable<void> FaultInjector::injectResponseFault(size_t replica, ResponseFault fault)
{
    m_fleet.replicaLinks[replica]->setResponseFault(fault);
    co_await m_fleet.timers.sleep(between(500, 3000));
    m_fleet.replicaLinks[replica]->setResponseFault(ResponseFault::None);
}

asio::awaitable<void> FaultInjector::injectReplicaFault(double ReplicaFaults::*share)
{
    Disturbance disturbance({ &m_fleet.unplannedDisturbances });
    auto& replica = randomReplica();
    constexpr double faultShare = 0.3;
    replica.faults.*share = faultShare;
    co_await m_fleet.timers.sleep(between(500, 4000));
    replica.faults.*share = 0;
}

} // namespace chestnut::soak
