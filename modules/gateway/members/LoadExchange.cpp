#include "gateway/members/LoadExchange.h"

#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chestnut {

using asio::ip::udp;
using boost::system::error_code;

namespace {

    constexpr Duration tickPeriod = std::chrono::milliseconds(50);
    /** Added to the send period for each sending daemon, so that a collector receives at most 250 messages a second. */
    constexpr Duration periodPerDaemon = std::chrono::milliseconds(4);
    /** A member without a collector's message for this long, which is several periods, watches the store more often itself. */
    constexpr Duration collectorTimeout = std::chrono::milliseconds(700);
    /** A collector stops reporting a daemon as alive after several periods without a message. The members then still wait for
        entryPointTimeout. */
    constexpr Duration livenessTimeout = std::chrono::milliseconds(600);

    /** Work that was reported longer ago has expired in the load tracker. */
    constexpr Duration workValidity = std::chrono::milliseconds(1500);
    /** Share of the daemons whose work has to be known. A killed daemon remains registered for some seconds. */
    constexpr double leastHeardShare = 0.8;

    /** Subtracts the work that this daemon sent from a sum that it received. */
    std::vector<ReplicaWork> withoutOwnWork(std::vector<ReplicaWork> sum, const std::vector<ReplicaWork>& part)
    {
        for (auto& work : sum) {
            auto own = std::ranges::find(part, work.replica, &ReplicaWork::replica);
            if (own != part.end())
                work -= *own;
        }
        return sum;
    }

} // namespace

LoadExchange::LoadExchange(asio::io_context& context, TimerService& timers, Log& log, DaemonDirectory& directory, std::shared_ptr<LoadTracker> loadTracker, SpeedTracker& speeds, CrashTracker& crashTracker, ReplicaDirectory& replicas)
    : m_context(context)
    , m_timers(timers)
    , m_log(log)
    , m_directory(directory)
    , m_loadTracker(std::move(loadTracker))
    , m_crashTracker(crashTracker)
    , m_replicas(replicas)
    , m_reports(*m_loadTracker, speeds, replicas)
    , m_socket(context, udp::endpoint(asio::ip::make_address(directory.self().peerEndpoint.address), directory.self().peerEndpoint.port))
{
}

void LoadExchange::start()
{
    m_socket.non_blocking(true);
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "load_exchange", [this] { return receiveAll(); });
    m_timer = m_timers.every(tickPeriod, [this] { sendAll(); });
}

asio::awaitable<void> LoadExchange::stop()
{
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    co_return;
}

void LoadExchange::announceLeaving()
{
    m_isLeaving = true;
    m_sentAt = {};
    sendAll();
}

bool LoadExchange::receivesStoreChanges() const
{
    auto watchesForOthers = m_topology.isMesh || m_topology.isCollector;
    return !watchesForOthers && m_lastCollectorMessageAt && m_timers.now() - *m_lastCollectorMessageAt < collectorTimeout;
}

Duration LoadExchange::period() const
{
    auto senders = m_topology.isMesh ? m_topology.ownWorkTargets.size() : std::max(m_topology.totalTargets.size(), collectorsPerZone);
    return std::max(tickPeriod, periodPerDaemon * static_cast<int64_t>(senders));
}

asio::awaitable<void> LoadExchange::receiveAll()
{
    std::array<char, maximumDatagram> buffer {};
    while (m_socket.is_open()) {
        error_code error;
        udp::endpoint sender;
        auto size = co_await m_socket.async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            receive({ buffer.data(), size });
    }
}

void LoadExchange::setReceiver(std::string prefix, std::function<void(std::string_view)> receiver)
{
    m_otherPrefix = std::move(prefix);
    m_otherReceiver = std::move(receiver);
}

void LoadExchange::sendDatagram(const Endpoint& target, std::string_view datagram)
{
    error_code error;
    udp::endpoint address(asio::ip::make_address(target.address, error), target.port);
    if (!error)
        m_socket.send_to(asio::buffer(datagram), address, 0, error);
    // Send errors are ignored: the sender repeats what is not acknowledged.
}

void LoadExchange::receive(std::string_view datagram)
{
    if (m_otherReceiver && datagram.starts_with(m_otherPrefix)) {
        m_otherReceiver(datagram);
        return;
    }
    auto message = decodeLoadMessage(datagram);
    if (!message) {
        m_log.write(EventId::PeerMessageRefused, { { "detail", message.error().detail } });
        return;
    }
    m_directory.recordMessageFrom(message->sender, message->isLeaving);
    // Collectors get messages from their members directly; using each other's lists would keep a stopped daemon listed
    // forever.
    if (!m_topology.isCollector) {
        for (const auto& daemon : message->liveDaemons)
            m_directory.recordReportedAlive(daemon);
    }
    if (m_versions)
        m_versions->record(message->sender.id, message->configuration);
    applyWork(*message);
    m_reports.apply(*message, originOf(*message));
    for (const auto& loss : message->losses)
        m_crashTracker.add(loss);
    for (const auto& success : message->successes)
        m_crashTracker.recordCompletion(success);
    for (const auto& crash : message->engineCrashes)
        m_crashTracker.addPartCrash(crash);
    for (const auto& begin : message->partBegins)
        m_crashTracker.recordPartBegin(begin);
    for (const auto& refusal : message->refusals)
        m_loadTracker->recordPeerRefusal(refusal);
    for (const auto& replica : message->leavingReplicas)
        m_replicas.applyPeerLeaving(replica);
    for (const auto& pause : message->pausedReplicas)
        m_replicas.pauses().applyReport(pause);
    for (const auto& entry : message->entries)
        m_replicas.applyPeerEntry(entry);
    if (message->scope == LoadScope::Fleet && message->isStoreReachable)
        m_lastCollectorMessageAt = m_timers.now();
}

ReportOrigin LoadExchange::originOf(const LoadMessage& message) const
{
    auto collects = m_topology.isMesh || m_topology.isCollector;
    auto isOtherZone = message.sender.zone != m_directory.self().zone;
    switch (message.scope) {
    case LoadScope::Daemon:
        return collects ? ReportOrigin::Daemon : ReportOrigin::Unused;
    case LoadScope::Zone:
        return m_topology.isCollector && isOtherZone ? ReportOrigin::Zone : ReportOrigin::Unused;
    case LoadScope::Fleet:
        break;
    }
    return collects ? ReportOrigin::Unused : ReportOrigin::Fleet;
}

void LoadExchange::applyWork(const LoadMessage& message)
{
    switch (originOf(message)) {
    case ReportOrigin::Unused:
        return;
    case ReportOrigin::Daemon:
        m_loadTracker->setPeerWork(message.sender.id, message.work, message.part);
        return;
    case ReportOrigin::Zone:
        m_loadTracker->setPeerWork(zoneKey(message.sender.zone), message.work, message.part);
        m_zoneWorkAt[message.sender.zone] = m_timers.now();
        return;
    case ReportOrigin::Fleet:
        m_loadTracker->setPeerWork(fleetKey, withoutOwnWork(message.work, m_sentWork), message.part);
        m_fleetWorkAt = m_timers.now();
        return;
    }
}

bool LoadExchange::knowsFleetLoad() const
{
    if (m_topology.isMesh)
        return hearsDaemons(false);
    if (m_topology.isCollector)
        return hearsDaemons(true) && hearsOtherZones();
    return m_fleetWorkAt && m_timers.now() - *m_fleetWorkAt < workValidity;
}

bool LoadExchange::hearsDaemons(bool ofOwnZoneOnly) const
{
    size_t registered = 0;
    size_t heard = 0;
    for (const auto& view : m_directory.others()) {
        if (!view.isRegistered || view.isLeaving || (ofOwnZoneOnly && view.record.zone != m_directory.self().zone))
            continue;
        ++registered;
        heard += view.hasSentMessage && view.timeSinceMessage < workValidity ? 1 : 0;
    }
    return static_cast<double>(heard) >= static_cast<double>(registered) * leastHeardShare;
}

bool LoadExchange::hearsOtherZones() const
{
    return std::ranges::all_of(m_directory.others(), [this](const DaemonView& view) {
        if (!view.isRegistered || view.isLeaving || view.record.zone == m_directory.self().zone)
            return true;
        auto heardAt = m_zoneWorkAt.find(view.record.zone);
        return heardAt != m_zoneWorkAt.end() && m_timers.now() - heardAt->second < workValidity;
    });
}

LoadMessage LoadExchange::composeMessage(LoadScope scope, std::vector<ReplicaWork> work)
{
    LoadMessage message { m_directory.self(), scope, m_isLeaving, std::move(work) };
    m_reports.addTo(message, period());
    message.losses = m_crashTracker.recentLosses();
    message.successes = m_crashTracker.recentSuccesses();
    message.engineCrashes = m_crashTracker.recentPartCrashes();
    message.partBegins = m_crashTracker.recentPartBegins();
    message.refusals = m_loadTracker->recentRefusals();
    // Where all prefill engines count as full, decode engines read the prompts and delay their streams. One refusal must not
    // cause that at all daemons.
    std::erase_if(message.refusals, [this](const RefusalReport& report) {
        const auto* registered = m_replicas.find(report.replica);
        return registered && registered->entry.stage == EngineStage::Prefill;
    });
    message.leavingReplicas = m_replicas.leaving();
    message.pausedReplicas = m_replicas.pauses().pausedReplicas();
    message.isStoreReachable = !m_directory.isStoreUnavailable();
    if (m_versions)
        message.configuration = m_versions->notice(scope == LoadScope::Fleet);
    return message;
}

std::vector<ReplicaWork> LoadExchange::zoneWork() const
{
    return m_loadTracker->workOf([](const DaemonId& daemon) { return !isSum(daemon); });
}

std::vector<DaemonId> LoadExchange::liveDaemonsOfZone() const
{
    std::vector<DaemonId> liveDaemons;
    for (const auto& view : m_directory.others()) {
        auto isLive = isEntryPoint(view) && view.hasSentMessage && view.timeSinceMessage < livenessTimeout;
        if (isLive && view.record.zone == m_directory.self().zone)
            liveDaemons.push_back(view.record.id);
    }
    return liveDaemons;
}

void LoadExchange::send(const LoadMessage& message, const std::vector<Endpoint>& targets)
{
    if (targets.empty())
        return;
    auto datagrams = encodeLoadMessage(message);
    for (const auto& target : targets) {
        error_code error;
        udp::endpoint address(asio::ip::make_address(target.address, error), target.port);
        for (size_t i = 0; i < datagrams.size() && !error; ++i)
            m_socket.send_to(asio::buffer(datagrams[i]), address, 0, error);
        // Send errors are ignored: the next message replaces the failed one, and peers detect missing messages by timeout.
    }
}

void LoadExchange::sendAll()
{
    auto now = m_timers.now();
    m_loadTracker->expirePeers();
    if (now - m_sentAt < period() - tickPeriod / 2)
        return;
    m_sentAt = now;
    auto others = m_directory.others();
    m_topology = loadTopologyFor(m_directory.self(), others);
    m_sentWork = m_loadTracker->ownWork();
    send(composeMessage(LoadScope::Daemon, m_sentWork), m_topology.ownWorkTargets);
    if (m_topology.sendsZoneSum)
        send(composeMessage(LoadScope::Zone, zoneWork()), m_topology.zoneSumTargets);
    if (!m_topology.isCollector)
        return;
    auto fleet = composeMessage(LoadScope::Fleet, m_loadTracker->workOf([](const DaemonId&) { return true; }));
    fleet.liveDaemons = liveDaemonsOfZone();
    fleet.entries = m_replicas.changedEntries();
    send(fleet, m_topology.totalTargets);
}

} // namespace chestnut
