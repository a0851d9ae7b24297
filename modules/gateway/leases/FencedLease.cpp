#include "gateway/leases/FencedLease.h"

#include "decisions/leases/StoreFencing.h"
#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>
#include <random>

namespace chestnut {

namespace {

    /** Short, so that a killed holder is replaced quickly. */
    constexpr Duration leaseTime = std::chrono::seconds(3);
    constexpr Duration renewalPeriod = std::chrono::milliseconds(900);
    /** Covers the transit time of a call and differences between clock rates. */
    constexpr Duration leaseMargin = std::chrono::milliseconds(600);
    constexpr Duration electionPeriod = std::chrono::milliseconds(500);
    /** Spreads the attempts of the candidates: a failed one costs two calls, and the others see the first success only a
        second later. */
    constexpr Duration electionSpread = std::chrono::milliseconds(50);
    /** The least spread: a daemon that has just started knows few of the others. */
    constexpr Duration leastElectionSpread = std::chrono::seconds(1);
    /** Pause after a failed attempt because another daemon holds the lease. It is longer than the pause between two watches
        of a daemon that relies on its collectors, after which that daemon knows the holder. */
    constexpr Duration conflictPause = std::chrono::seconds(12);

} // namespace

FencedLease::FencedLease(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::shared_ptr<StoreMirror> mirror, FencedLeaseSettings settings)
    : m_context(context)
    , m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_mirror(std::move(mirror))
    , m_settings(std::move(settings))
{
    m_mirror->subscribe(m_settings.key, { [this](const StoreItem& item) { onHolder(item); }, [this](const std::string&) { onRemoval(); } });
}

void FencedLease::start()
{
    m_startedAt = m_timers.now();
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "lease " + m_settings.key, [this] { return maintain(); });
}

asio::awaitable<void> FencedLease::stop()
{
    m_isStopped = true;
    if (auto lease = std::exchange(m_lease, {}); lease.id != 0) {
        auto ended = co_await m_store.endLease(lease);
        m_log.write(EventId::LeaseReleased, { { "key", key() }, { "fencing", m_fencingNumber }, { "answered", ended ? 1 : 0 } });
    }
}

void FencedLease::onHolder(const StoreItem& item)
{
    auto isOwn = item.value == m_settings.self.value();
    auto isOfThisLease = isOwn && item.createdAt == m_acquiredAt;
    // The mirror may still show the key of an earlier holder. A later one exists if the own key was removed, which another process
    // with the same name does.
    auto isSuperseded = m_lease.id != 0 && m_lease.epoch == m_store.epoch() && item.createdAt > m_acquiredAt;
    if (isSuperseded)
        lose("the key has a later holder");
    m_isKeySeen = m_lease.id != 0 && isOfThisLease;
    recordHolder(!isOfThisLease);
    // Such a key is left when the response to the write is lost, by a process before a restart, or by a restore of the store. Its
    // lease may be that of another daemon, so it might never expire.
    m_strayRevision = isOwn && m_lease.id == 0 ? item.revision : 0;
}

void FencedLease::onRemoval()
{
    if (m_lease.id != 0 && m_isKeySeen)
        lose("the key was removed");
    recordHolder(false);
}

void FencedLease::recordHolder(bool isAnother)
{
    m_strayRevision = 0;
    m_isHeldByAnother = isAnother;
    m_nextAttemptAt = {};
}

void FencedLease::lose(std::string detail)
{
    m_log.write(EventId::LeaseLost, { { "key", key() }, { "fencing", m_fencingNumber }, { "detail", detail } });
    m_lease = {};
    m_isKeySeen = false;
}

asio::awaitable<void> FencedLease::maintain()
{
    while (!m_isStopped) {
        if (m_lease.id != 0)
            co_await renew();
        else
            co_await campaign();
    }
}

asio::awaitable<void> FencedLease::renew()
{
    auto sentAt = m_timers.nowIncludingSuspend();
    auto lease = m_lease;
    auto renewed = co_await m_store.renewLease(lease);
    if (lease != m_lease)
        co_return;
    if (renewed)
        m_renewedAt = sentAt;
    else if (renewed.error().kind == ErrorKind::NotFound || m_timers.nowIncludingSuspend() - m_renewedAt > leaseTime)
        lose(renewed.error().detail);
    co_await m_timers.sleep(renewalPeriod);
}

asio::awaitable<void> FencedLease::campaign()
{
    std::mt19937 random { std::random_device {}() };
    std::uniform_int_distribution<Duration::rep> jitter(0, std::max(leastElectionSpread, Duration(electionSpread * m_settings.candidates())).count());
    co_await m_timers.sleep(electionPeriod + Duration(jitter(random)));
    if (m_strayRevision != 0 && !m_isStopped) {
        co_await removeStrayKey();
        co_return;
    }
    auto mayTry = m_mirror->isListed() && !m_mirror->isFailing() && !m_isHeldByAnother && m_timers.now() >= m_nextAttemptAt;
    if (!mayTry || m_isStopped)
        co_return;
    auto acquired = co_await acquire();
    if (acquired)
        co_return;
    if (acquired.error().kind == ErrorKind::PlatformConflict)
        m_nextAttemptAt = m_timers.now() + conflictPause;
    m_log.write(EventId::LeaseNotAcquired, { { "key", key() }, { "kind", describe(acquired.error().kind).name }, { "detail", acquired.error().detail } });
}

asio::awaitable<Result<void>> FencedLease::acquire()
{
    auto sentAt = m_timers.nowIncludingSuspend();
    auto lease = co_await m_store.grantLease(leaseTime);
    if (!lease)
        co_return lease.error();
    auto revision = co_await m_store.transact({ { key(), 0 } }, { { key(), m_settings.self.value(), lease->id } }, {});
    if (!revision)
        co_return revision.error();
    if (lease->epoch != m_store.epoch())
        co_return makeError(ErrorKind::NotFound, "the store was restored during the acquisition");
    m_lease = *lease;
    m_acquiredAt = *revision;
    m_fencingNumber = fencingNumberAt(lease->epoch, *revision);
    m_renewedAt = sentAt;
    m_isKeySeen = false;
    m_strayRevision = 0;
    m_allowedFrom = m_timers.now() + m_settings.takeoverWait;
    m_log.write(EventId::LeaseAcquired, { { "key", key() }, { "fencing", m_fencingNumber } });
    co_return Result<void>();
}

asio::awaitable<void> FencedLease::removeStrayKey()
{
    auto removed = co_await m_store.transact({ { key(), m_strayRevision } }, {}, { key() });
    m_log.write(EventId::LeaseReleased, { { "key", key() }, { "revision", m_strayRevision }, { "answered", removed ? 1 : 0 } });
}

TimePoint FencedLease::formerLeaseEnd() const
{
    // A restore removes the lease of a holder that may have renewed it just before, and that acts until it ends.
    auto restoredAt = m_mirror->restoredAt();
    auto end = restoredAt ? *restoredAt + leaseTime : TimePoint();
    return m_settings.waitsAfterStart ? std::max(end, m_startedAt + leaseTime) : end;
}

bool FencedLease::mayAct(Duration callTime) const
{
    auto isCurrent = m_lease.id != 0 && m_lease.epoch == m_store.epoch() && !m_isStopped;
    if (!isCurrent || m_timers.now() < std::max(m_allowedFrom, formerLeaseEnd() + m_settings.takeoverWait))
        return false;
    auto leaseLeft = m_renewedAt + leaseTime - leaseMargin - m_timers.nowIncludingSuspend();
    // The next holder's first call comes a takeover wait after the end of this lease, so a call may last into that wait.
    return leaseLeft > Duration::zero() && callTime < leaseLeft + m_settings.takeoverWait;
}

} // namespace chestnut
