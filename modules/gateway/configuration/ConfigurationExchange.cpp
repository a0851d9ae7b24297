#include "gateway/configuration/ConfigurationExchange.h"

#include "base/digest/Digest.h"
#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr Duration idlePeriod = std::chrono::seconds(1);
    /** Between two checks whether the wait for the store is over, or a starting daemon may serve. */
    constexpr Duration checkPeriod = std::chrono::milliseconds(50);
    /** After a failed fetch from a peer; doubled with each further one. */
    constexpr Duration firstRetryPause = std::chrono::milliseconds(400);
    constexpr uint32_t maximumDoublings = 6;
    /** Announcements older than this are forgotten. */
    constexpr Duration retentionTime = std::chrono::seconds(60);
    /** Collectors name other daemons with their version for this long after a change. */
    constexpr Duration holderReportTime = std::chrono::seconds(10);

    uint64_t seedOf(const DaemonId& self)
    {
        return hash64(self.value(), std::random_device {}());
    }

} // namespace

ConfigurationExchange::ConfigurationExchange(asio::io_context& context, TimerService& timers, Log& log, Metrics& metrics, RoutingSource& routing, DaemonDirectory& directory, std::shared_ptr<StoreMirror> ownKeys, ConfigurationClient* client)
    : m_context(context)
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_routing(routing)
    , m_directory(directory)
    , m_ownKeys(std::move(ownKeys))
    , m_client(client)
    , m_random(seedOf(directory.self().id))
    , m_heardHigher(context)
    , m_isSettled(client == nullptr)
{
}

void ConfigurationExchange::start()
{
    if (!m_client)
        return;
    m_settleTimer = m_timers.every(checkPeriod, [this] { trySettle(); });
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "configuration_exchange", [this] { return fetchAll(); });
}

void ConfigurationExchange::record(const DaemonId& sender, const ConfigurationNotice& notice)
{
    if (sender == m_directory.self().id || notice.version == 0)
        return;
    auto now = m_timers.now();
    auto& peer = m_peers[sender].announced;
    peer.daemon = sender;
    peer.version = notice.version;
    peer.isSettled = notice.isSettled;
    peer.heardAt = now;
    for (const auto& holder : notice.holders) {
        auto& reported = m_peers[holder].announced;
        reported.daemon = holder;
        reported.version = std::max(reported.version, notice.version);
        reported.heardAt = now;
    }
    m_peers.erase(m_directory.self().id);
    std::erase_if(m_peers, [now](const auto& item) { return now - item.second.announced.heardAt > retentionTime; });
    trackVersion();
    if (m_higherSince)
        m_heardHigher.notify();
}

ConfigurationNotice ConfigurationExchange::notice(bool withHolders)
{
    trackVersion();
    ConfigurationNotice notice { m_ownVersion, m_isSettled, {} };
    if (!withHolders || m_ownVersion == 0 || m_timers.now() - m_ownVersionSince > holderReportTime)
        return notice;
    for (const auto& [id, peer] : m_peers) {
        auto isAlive = m_timers.now() - peer.announced.heardAt < announcementTimeout;
        if (isAlive && peer.announced.version == m_ownVersion)
            notice.holders.push_back(id);
    }
    std::ranges::shuffle(notice.holders, m_random);
    notice.holders.resize(std::min(notice.holders.size(), maximumHolders));
    return notice;
}

bool ConfigurationExchange::knowsHigherVersion() const
{
    auto now = m_timers.now();
    return std::ranges::any_of(m_peers, [this, now](const auto& item) {
        const auto& announced = item.second.announced;
        return announced.version > m_ownVersion && now - announced.heardAt < announcementTimeout;
    });
}

void ConfigurationExchange::trackVersion()
{
    auto now = m_timers.now();
    if (m_routing.version() != m_ownVersion) {
        m_ownVersion = m_routing.version();
        m_ownVersionSince = now;
        m_higherSince.reset();
    }
    if (!knowsHigherVersion()) {
        m_higherSince.reset();
        return;
    }
    if (m_higherSince)
        return;
    m_higherSince = now;
    std::uniform_int_distribution<Duration::rep> spread(0, peerFetchSpread.count());
    m_spread = Duration(spread(m_random));
}

PeerVersionsView ConfigurationExchange::view() const
{
    PeerVersionsView view { m_ownVersion, m_routing.isStoreFailing(), m_isSettled, m_higherSince.value_or(m_timers.now()), m_spread, {} };
    for (const auto& [id, peer] : m_peers) {
        if (m_directory.configurationEndpointOf(id))
            view.peers.push_back(peer.announced);
    }
    return view;
}

void ConfigurationExchange::trySettle()
{
    if (!m_ownKeys->isListed())
        return;
    auto now = m_timers.now();
    m_listedAt = m_listedAt.value_or(now);
    trackVersion();
    if (!hasSettled(view(), *m_listedAt, now))
        return;
    m_isSettled = true;
    m_settleTimer.cancel();
}

asio::awaitable<void> ConfigurationExchange::fetchAll()
{
    while (true) {
        trackVersion();
        if (!m_higherSince) {
            co_await m_heardHigher.waitFor(m_timers, idlePeriod);
            continue;
        }
        auto present = view();
        if (auto choice = choosePeerToFetchFrom(present, m_timers.now(), m_random))
            co_await fetchFrom(present.peers[*choice].daemon);
        else
            co_await m_timers.sleep(checkPeriod);
    }
}

asio::awaitable<void> ConfigurationExchange::fetchFrom(DaemonId daemon)
{
    auto announced = m_peers[daemon].announced.version;
    auto endpoint = m_directory.configurationEndpointOf(daemon);
    if (!endpoint)
        co_return;
    auto value = co_await m_client->fetch(*endpoint, m_routing.version());
    if (!value) {
        recordFailure(daemon, announced, value.error());
        co_return;
    }
    auto applied = *value ? m_routing.applyFromPeer(std::move(**value), daemon) : Result<bool>(false);
    if (!applied)
        recordFailure(daemon, announced, applied.error());
    else if (m_routing.version() < announced)
        recordFailure(daemon, announced, makeError(ErrorKind::ProtocolError, "the daemon does not have the version that it announced"));
    else
        m_peers[daemon].failures = 0;
    if (applied && *applied) {
        m_metrics.count("chestnut_configuration_fetches_total", { { "result", "applied" } });
        m_log.write(EventId::ConfigurationFetched, { { "version", m_routing.version() }, { "daemon", daemon }, { "after_ms", (m_timers.now() - m_higherSince.value_or(m_timers.now())).count() / 1000 } });
    }
}

void ConfigurationExchange::recordFailure(const DaemonId& daemon, uint64_t version, const Error& error)
{
    auto& peer = m_peers[daemon];
    peer.announced.daemon = daemon;
    peer.announced.retryAt = m_timers.now() + firstRetryPause * (1U << std::min(peer.failures, maximumDoublings));
    // A daemon that sends to others has the version; it is asked again soon.
    if (error.kind != ErrorKind::Overloaded)
        ++peer.failures;
    m_metrics.count("chestnut_configuration_fetches_total", { { "result", "failed" } });
    m_log.write(EventId::ConfigurationFetchFailed, { { "daemon", daemon }, { "version", version }, { "kind", describe(error.kind).name }, { "detail", error.detail } });
}

} // namespace chestnut
