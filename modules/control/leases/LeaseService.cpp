#include "control/leases/LeaseService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

namespace chestnut {

namespace {

    /** Lease value that shows the successor that no order of the former holder can be in progress. */
    constexpr auto releasedValue = R"({"released":true})";
    constexpr auto notReleasedValue = R"({"released":false})";

    std::string leaseKey(const EngineGroupId& group)
    {
        return "leases/" + group.value();
    }

    struct Tenure {
        FencingNumber number = 0;
        TimePoint ordersAllowedFrom;
        std::optional<TimePoint> notPreferredSince;
    };

} // namespace

struct LeaseService::State {
    KeyValueStore& store;
    PeerService& peers;
    ConfigurationService& configuration;
    TimerService& timers;
    Log& log;
    std::string session {};
    TimePoint renewedAt {};
    TimePoint renewalDue {};
    std::map<EngineGroupId, Tenure> held {};
    /** Groups whose key the session may have locked, as the response to an acquisition or a release was lost. While the
        session is renewed, such a key would stay locked although no daemon acts as the group's holder. */
    std::set<EngineGroupId> possiblyLocked {};
    std::function<bool(const EngineGroupId&)> isBusy {};
    bool isTicking = false;
    bool isStopped = false;

    std::optional<Lease> leaseOf(const EngineGroupId& group) const
    {
        auto found = held.find(group);
        if (found == held.end())
            return std::nullopt;
        Lease lease { group, found->second.number, renewedAt, found->second.ordersAllowedFrom };
        return isHeld(lease, timers.now()) ? std::optional(lease) : std::nullopt;
    }

    std::map<EngineGroupId, Region> groups() const
    {
        std::map<EngineGroupId, Region> found;
        if (auto current = configuration.current()) {
            for (const auto& [id, engine] : current->engines)
                found.emplace(groupOf(engine), engine.region);
        }
        return found;
    }

    void dropAllLeases(std::string_view reason)
    {
        for (const auto& [group, tenure] : held)
            log.write(EventId::LeaseLost, { { "group", group }, { "fencing_number", tenure.number }, { "reason", reason } });
        held.clear();
        possiblyLocked.clear();
        session.clear();
    }

    asio::awaitable<void> renew()
    {
        if (session.empty())
            co_return;
        if (timers.now() >= renewedAt + leaseDuration) {
            dropAllLeases("the lease was not renewed in time");
            co_return;
        }
        if (timers.now() < renewalDue)
            co_return;
        auto sentAt = timers.now();
        auto renewedSession = session;
        auto result = co_await store.renewSession(renewedSession);
        if (session != renewedSession)
            co_return;
        if (result) {
            // The service counts from the arrival of the renewal, so a lease that is counted from before the
            // send never ends later than the session.
            renewedAt = sentAt;
            renewalDue = sentAt + leaseRenewalPeriod;
        } else if (result.error().kind == ErrorKind::NotFound) {
            dropAllLeases("the session has ended");
        }
    }

    asio::awaitable<bool> ensureSession()
    {
        if (!session.empty())
            co_return true;
        auto sentAt = timers.now();
        auto created = co_await store.createSession(leaseDuration);
        if (!created)
            co_return false;
        session = *created;
        renewedAt = sentAt;
        renewalDue = sentAt + leaseRenewalPeriod;
        co_return true;
    }

    void beginTenure(const EngineGroupId& group, FencingNumber number, Duration wait)
    {
        held[group] = { number, timers.now() + wait, std::nullopt };
        possiblyLocked.erase(group);
        log.write(EventId::LeaseAcquired, { { "group", group }, { "fencing_number", number }, { "wait_seconds", toSeconds(wait) } });
    }

    asio::awaitable<void> acquire(EngineGroupId group)
    {
        auto before = co_await store.read(leaseKey(group));
        if (!before)
            co_return;
        const auto& entry = before->entry;
        if (entry && !entry->session.empty() && entry->session != session)
            co_return;
        if (!co_await ensureSession())
            co_return;
        if (entry && entry->session == session) {
            // The response to an earlier acquisition was lost, so the previous holder of the lease is unknown.
            beginTenure(group, entry->lockIndex, successorWait);
            co_return;
        }
        auto value = R"({"released":false,"holder":")" + peers.self().value() + R"("})";
        auto ownSession = session;
        possiblyLocked.insert(group);
        auto acquired = co_await store.acquire(leaseKey(group), value, ownSession);
        if (acquired && !*acquired && session == ownSession)
            possiblyLocked.erase(group);
        if (!acquired || !*acquired)
            co_return;
        auto after = co_await store.read(leaseKey(group));
        if (!after || !after->entry || after->entry->session != ownSession || session != ownSession)
            co_return;
        auto previous = entry ? entry->lockIndex : 0;
        bool wasFree = !entry || entry->lockIndex == 0 || entry->value == releasedValue;
        bool isDirectSuccessor = after->entry->lockIndex == previous + 1;
        beginTenure(group, after->entry->lockIndex, wasFree && isDirectSuccessor ? Duration::zero() : successorWait);
    }

    asio::awaitable<void> release(EngineGroupId group)
    {
        auto ended = held.extract(group);
        // A holder that has not completed the successor's wait must leave the wait to the next holder.
        bool hasWaited = !ended.empty() && timers.now() >= ended.mapped().ordersAllowedFrom;
        if (!ended.empty())
            log.write(EventId::LeaseReleased, { { "group", group }, { "fencing_number", ended.mapped().number } });
        auto ownSession = session;
        possiblyLocked.insert(group);
        auto released = co_await store.release(leaseKey(group), hasWaited ? releasedValue : notReleasedValue, ownSession);
        if (released && session == ownSession)
            possiblyLocked.erase(group);
    }

    /** Whether another member has been preferred for long enough to hand the group over to it. */
    bool shouldHandOver(const EngineGroupId& group, bool isPreferred)
    {
        auto& tenure = held.at(group);
        if (isPreferred) {
            tenure.notPreferredSince.reset();
            return false;
        }
        if (!tenure.notPreferredSince)
            tenure.notPreferredSince = timers.now();
        return timers.now() - *tenure.notPreferredSince >= handoverDelay && !(isBusy && isBusy(group));
    }

    asio::awaitable<void> updateLease(EngineGroupId group, std::optional<DaemonId> preferred)
    {
        bool isPreferred = preferred == peers.self();
        if (held.contains(group)) {
            if (shouldHandOver(group, isPreferred))
                co_await release(group);
        } else if (isPreferred) {
            co_await acquire(group);
        } else if (possiblyLocked.contains(group)) {
            co_await release(group);
        }
    }
};

LeaseService::LeaseService(asio::io_context& context, KeyValueStore& store, PeerService& peers, ConfigurationService& configuration, TimerService& timers, Log& log)
    : m_context(context)
    , m_state(std::make_shared<State>(State { store, peers, configuration, timers, log }))
{
}

LeaseService::~LeaseService()
{
    m_state->isStopped = true;
}

void LeaseService::start()
{
    m_timer = m_state->timers.every(tickPeriod, [this] { asio::co_spawn(m_context, tick(m_state), asio::detached); });
}

asio::awaitable<void> LeaseService::tick(std::shared_ptr<State> state)
{
    if (state->isTicking || state->isStopped)
        co_return;
    state->isTicking = true;
    auto groups = state->groups();
    auto removedGroups = state->possiblyLocked;
    for (const auto& [group, tenure] : state->held)
        removedGroups.insert(group);
    std::erase_if(removedGroups, [&groups](const EngineGroupId& group) { return groups.contains(group); });
    co_await state->renew();
    for (const auto& group : removedGroups)
        co_await state->updateLease(group, std::nullopt);
    for (const auto& [group, region] : groups) {
        if (state->isStopped)
            break;
        co_await state->updateLease(group, preferredHolder(group, region, state->peers.members()));
        co_await state->renew();
    }
    state->isTicking = false;
}

asio::awaitable<void> LeaseService::stop()
{
    auto state = m_state;
    state->isStopped = true;
    m_timer.cancel();
    while (!state->held.empty())
        co_await state->release(state->held.begin()->first);
    if (!state->session.empty())
        co_await state->store.destroySession(state->session);
    state->session.clear();
}

std::optional<Lease> LeaseService::leaseOf(const EngineGroupId& group) const
{
    return m_state->leaseOf(group);
}

std::string LeaseService::tenureOf(const Lease& lease) const
{
    const auto& peers = m_state->peers;
    return peers.self().value() + "/" + std::to_string(peers.incarnation()) + "/" + lease.group.value() + "/" + std::to_string(lease.number);
}

std::string LeaseService::session() const
{
    return m_state->session;
}

void LeaseService::setBusyCheck(std::function<bool(const EngineGroupId&)> check)
{
    m_state->isBusy = std::move(check);
}

} // namespace chestnut
