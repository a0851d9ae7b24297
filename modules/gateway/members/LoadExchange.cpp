#include "gateway/members/LoadExchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chestnut {

using asio::ip::udp;
using boost::system::error_code;

namespace {

    constexpr Duration tickPeriod = std::chrono::milliseconds(50);
    /** Time that each daemon from which messages come adds to the period: a collector receives at most 250 a second. */
    constexpr Duration periodPerDaemon = std::chrono::milliseconds(4);
    /** A member that has heard no collector for this long watches the store closely itself; several messages are lost then. */
    constexpr Duration toldTime = std::chrono::milliseconds(700);
    /** Keys of the sums on the load board, beside those of single daemons. */
    const DaemonId fleetKey("fleet");

    DaemonId zoneKey(const AvailabilityZone& zone)
    {
        return DaemonId("zone/" + zone.value());
    }

    bool isSum(const DaemonId& id)
    {
        return id == fleetKey || id.value().starts_with("zone/");
    }

    /** Daemons that a collector has not heard for several periods are left out of its list: the members add their own patience
        with a silent daemon to it. */
    constexpr Duration silenceToOmit = std::chrono::milliseconds(600);

    /** The sum without the part that this daemon told itself. */
    std::vector<ReplicaWork> without(std::vector<ReplicaWork> sum, const std::vector<ReplicaWork>& part)
    {
        for (auto& work : sum) {
            auto own = std::ranges::find(part, work.replica, &ReplicaWork::replica);
            if (own == part.end())
                continue;
            work.requests -= std::min(work.requests, own->requests);
            work.prefillTokens = std::max(work.prefillTokens - own->prefillTokens, 0.0);
            work.deferredTokens = std::max(work.deferredTokens - own->deferredTokens, 0.0);
        }
        return sum;
    }

} // namespace

LoadExchange::LoadExchange(asio::io_context& context, TimerService& timers, Log& log, DaemonDirectory& directory, std::shared_ptr<LoadTracker> board, CrashTracker& losses, ReplicaDirectory& replicas)
    : m_context(context)
    , m_timers(timers)
    , m_log(log)
    , m_directory(directory)
    , m_board(std::move(board))
    , m_losses(losses)
    , m_replicas(replicas)
    , m_socket(context, udp::endpoint(asio::ip::make_address(directory.self().peerEndpoint.address), directory.self().peerEndpoint.port))
{
}

void LoadExchange::start()
{
    m_socket.non_blocking(true);
    asio::co_spawn(m_context, receiveAll(), asio::detached);
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

bool LoadExchange::isTold() const
{
    auto watchesForOthers = m_topology.isMesh || m_topology.isCollector;
    return !watchesForOthers && m_toldAt && m_timers.now() - *m_toldAt < toldTime;
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

void LoadExchange::receive(std::string_view datagram)
{
    auto news = decodeLoadMessage(datagram);
    if (!news) {
        m_log.write(EventId::PeerMessageRefused, { { "detail", news.error().detail } });
        return;
    }
    m_directory.heard(news->sender, news->isLeaving);
    // Collectors hear the members of their zone themselves; believing each other's lists would keep a dead one alive for ever.
    if (!m_topology.isCollector) {
        for (const auto& daemon : news->living)
            m_directory.heardOf(daemon);
    }
    takeWork(*news);
    for (const auto& loss : news->losses)
        m_losses.add(loss);
    for (const auto& served : news->served)
        m_losses.noteServed(served);
    for (const auto& replica : news->leavingReplicas)
        m_replicas.peerSaysLeaving(replica);
    for (const auto& pause : news->pausedReplicas)
        m_replicas.peerSaysPaused(pause);
    for (const auto& entry : news->entries)
        m_replicas.peerSaysEntry(entry);
    if (news->scope == LoadScope::Fleet && news->seesStore)
        m_toldAt = m_timers.now();
}

void LoadExchange::takeWork(const LoadMessage& news)
{
    auto isOwnZone = news.sender.zone == m_directory.self().zone;
    auto collects = m_topology.isMesh || m_topology.isCollector;
    if (news.scope == LoadScope::Daemon && collects)
        m_board->setPeerWork(news.sender.id, news.work, news.part);
    else if (news.scope == LoadScope::Zone && m_topology.isCollector && !isOwnZone)
        m_board->setPeerWork(zoneKey(news.sender.zone), news.work, news.part);
    else if (news.scope == LoadScope::Fleet && !collects)
        m_board->setPeerWork(fleetKey, without(news.work, m_sentWork), news.part);
}

LoadMessage LoadExchange::newsOf(LoadScope scope, std::vector<ReplicaWork> work) const
{
    LoadMessage news { m_directory.self(), scope, m_isLeaving, std::move(work) };
    news.losses = m_losses.recent();
    news.served = m_losses.recentlyServed();
    news.leavingReplicas = m_replicas.leaving();
    news.pausedReplicas = m_replicas.pausedReplicas();
    news.seesStore = !m_directory.isStoreAway();
    return news;
}

std::vector<ReplicaWork> LoadExchange::zoneWork() const
{
    return m_board->workOf([](const DaemonId& daemon) { return !isSum(daemon); });
}

std::vector<DaemonId> LoadExchange::livingDaemons() const
{
    std::vector<DaemonId> living;
    for (const auto& view : m_directory.others()) {
        auto isLiving = isEntryPoint(view) && view.wasHeard && view.silence < silenceToOmit;
        if (isLiving && view.record.zone == m_directory.self().zone)
            living.push_back(view.record.id);
    }
    return living;
}

void LoadExchange::send(const LoadMessage& news, const std::vector<Endpoint>& targets)
{
    if (targets.empty())
        return;
    auto datagrams = encodeLoadMessage(news);
    for (const auto& target : targets) {
        error_code error;
        udp::endpoint address(asio::ip::make_address(target.address, error), target.port);
        for (size_t i = 0; i < datagrams.size() && !error; ++i)
            m_socket.send_to(asio::buffer(datagrams[i]), address, 0, error);
        // A datagram that cannot be sent now is replaced by the next one; the silence is what others act on.
    }
}

void LoadExchange::sendAll()
{
    auto now = m_timers.now();
    m_board->expirePeers();
    if (now - m_sentAt < period() - tickPeriod / 2)
        return;
    m_sentAt = now;
    auto others = m_directory.others();
    m_topology = loadTopologyFor(m_directory.self(), others);
    m_sentWork = m_board->ownWork();
    send(newsOf(LoadScope::Daemon, m_sentWork), m_topology.ownWorkTargets);
    if (m_topology.tellsOtherZones)
        send(newsOf(LoadScope::Zone, zoneWork()), m_topology.zoneSumTargets);
    if (!m_topology.isCollector)
        return;
    auto fleet = newsOf(LoadScope::Fleet, m_board->workOf([](const DaemonId&) { return true; }));
    fleet.living = livingDaemons();
    fleet.entries = m_replicas.changedEntries();
    send(fleet, m_topology.totalTargets);
}

} // namespace chestnut
