#include "claims/ClaimFleet.h"

#include <algorithm>

namespace chestnut {

namespace {

    const AccountId account("repairer");
    constexpr std::chrono::seconds decisionTimeout(15);

} // namespace

FleetDaemon::FleetDaemon(asio::io_context& context, VirtualTimerService& base, std::shared_ptr<KeyValueModel> model,
    FakePeerNetwork& network, DaemonId id, Incarnation incarnation)
    : timers(base)
    , store(std::move(model), timers)
    , peers(network, timers, std::move(id), incarnation)
    , claims({ context.get_executor(), store, timers, log, metrics }, peers, incarnation)
{
    claims.start();
}

void FleetDaemon::pause(bool isPaused)
{
    timers.isPaused = isPaused;
    store.faults().isPaused = isPaused;
    peers.isUnresponsive = isPaused;
}

ClaimFleet::ClaimFleet(size_t size)
{
    for (size_t index = 0; index < size; ++index)
        m_daemons.push_back(makeDaemon(index));
}

std::unique_ptr<FleetDaemon> ClaimFleet::makeDaemon(size_t index)
{
    return std::make_unique<FleetDaemon>(context, timers, model, m_network, DaemonId("d" + std::to_string(index)), ++m_lastIncarnation);
}

std::shared_ptr<ClaimAttempt> ClaimFleet::claim(size_t index, const std::string& key, const std::string& body)
{
    auto attempt = std::make_shared<ClaimAttempt>(ClaimAttempt { key, {} });
    auto& daemon = *m_daemons[index];
    auto finish = [this, attempt, &daemon](std::exception_ptr exception, Result<ClaimDecision> decision) {
        if (exception)
            std::rethrow_exception(exception);
        attempt->decision = std::move(decision);
        if (!attempt->isGranted() || daemon.isDead)
            return;
        ++m_dispatches[attempt->key];
        m_runningAt[attempt->key] = &daemon;
    };
    asio::co_spawn(context, daemon.claims.claim(account, key, digestOf(body)), finish);
    timers.runReady();
    return attempt;
}

std::shared_ptr<ClaimAttempt> ClaimFleet::claimAndWait(size_t daemon, const std::string& key, const std::string& body)
{
    auto attempt = claim(daemon, key, body);
    advance(decisionTimeout);
    return attempt;
}

void ClaimFleet::complete(size_t daemon, const std::string& key, const std::string& body)
{
    m_daemons[daemon]->claims.complete(account, key, { 200, { { "X-Order", "1" } }, body });
    m_runningAt.erase(key);
}

void ClaimFleet::abandon(size_t daemon, const std::string& key)
{
    auto found = m_runningAt.find(key);
    if (found == m_runningAt.end() || found->second != m_daemons[daemon].get())
        return;
    m_daemons[daemon]->claims.abandon(account, key);
    m_runningAt.erase(found);
    --m_dispatches[key];
}

std::string ClaimFleet::keyOfAge(UnixSeconds age)
{
    return std::to_string((timers.wallClock() - age).count()) + "-" + std::to_string(++m_lastKey);
}

std::string ClaimFleet::keyWithPreferredWriter(size_t daemon)
{
    auto& peers = m_daemons[daemon]->peers;
    while (true) {
        auto key = keyOfAge(UnixSeconds(0));
        auto shard = claimShardOf(claimIdOf(account, key));
        auto log = claimRecordPrefix(claimEpochOf(timers.wallClock()), shard);
        auto score = [&log](const MemberRecord& member) { return rendezvousScore(log, member.id.value()); };
        auto members = peers.members();
        if (std::ranges::max(members, {}, score).id == peers.self())
            return key;
    }
}

void ClaimFleet::kill(size_t index)
{
    auto& daemon = *m_daemons[index];
    daemon.isDead = true;
    daemon.pause(true);
    daemon.peers.isDown = true;
}

void ClaimFleet::restart(size_t index)
{
    kill(index);
    m_dead.push_back(std::move(m_daemons[index]));
    m_daemons[index] = makeDaemon(index);
}

unsigned ClaimFleet::maximumDispatches() const
{
    unsigned most = 0;
    for (const auto& [key, count] : m_dispatches)
        most = std::max(most, count);
    return most;
}

} // namespace chestnut
