#include "gateway/store/StoreMirror.h"

#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Maximum duration of one watch. Each watch is a billed call. An outage of the store during a watch is detected by the
        renewal of the daemon's registration, which then restarts the watches. */
    constexpr Duration watchTime = std::chrono::seconds(29);
    constexpr Duration pauseCheckPeriod = std::chrono::milliseconds(250);
    /** A watch returns every version of a key. While large values change in quick succession, the prefix is listed after
        pauses instead, which returns only the newest version. Otherwise the versions could occupy a slow link and delay the
        renewals of leases. */
    constexpr size_t largeChange = 64 << 10; /**< bytes */
    constexpr Duration pauseAfterLargeChange = std::chrono::milliseconds(500);
    constexpr Duration firstBackoff = std::chrono::milliseconds(100);
    /** Failed calls are billed as well. The renewal of the registration detects the end of an outage and restarts the mirrors. */
    constexpr Duration longestBackoff = std::chrono::seconds(4);

} // namespace

StoreMirror::StoreMirror(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::string prefix, std::function<Duration()> pause)
    : m_context(context)
    , m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_prefix(std::move(prefix))
    , m_pause(std::move(pause))
    , m_restart(context)
{
}

void StoreMirror::subscribe(std::string prefix, MirrorHandlers handlers)
{
    m_subscriptions.emplace_back(std::move(prefix), std::move(handlers));
}

void StoreMirror::restartWatch()
{
    m_wasInterrupted = m_abort->isAttached();
    m_abort->interrupt();
    if (std::exchange(m_failures, 0) > 0)
        m_restart.notify();
}

void StoreMirror::start()
{
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "mirror of " + m_prefix, [self = shared_from_this()] { return follow(self); });
}

asio::awaitable<void> StoreMirror::follow(std::shared_ptr<StoreMirror> self)
{
    while (true) {
        auto sentAt = self->m_timers.now();
        self->m_wasInterrupted = false;
        auto outcome = self->m_needsList || self->isStale() ? co_await self->listAll() : co_await self->watchOnce();
        if (outcome || !self->m_wasInterrupted)
            co_await self->recordOutcome(outcome, sentAt);
    }
}

asio::awaitable<Result<void>> StoreMirror::listAll()
{
    std::map<std::string, uint64_t> present;
    std::optional<uint64_t> revision;
    std::string after;
    size_t newBytes = 0;
    while (true) {
        auto page = co_await m_store.list(m_prefix, after);
        if (!page)
            co_return page.error();
        recordAnswer();
        if (revision && isStale())
            co_return makeError(ErrorKind::PlatformAnswerLost, "the store was restored between two pages");
        if (isStale() || (!revision && page->revision < m_revision))
            beginEpoch();
        // The pages are not a snapshot; watching from the revision of the first page returns the changes between them.
        revision = revision.value_or(page->revision);
        for (const auto& item : page->items) {
            present[item.key] = item.revision;
            newBytes += applyItem(item) ? item.value.size() : 0;
        }
        if (!page->hasMore || page->items.empty())
            break;
        after = page->items.back().key;
    }
    std::vector<std::string> missing;
    for (const auto& [key, appliedRevision] : m_revisions) {
        if (!present.contains(key))
            missing.push_back(key);
    }
    std::ranges::for_each(missing, [this](const auto& key) { applyRemoval(key); });
    m_revision = *revision;
    m_needsList = false;
    m_isListed = true;
    m_isCatchingUp = m_isCatchingUp && newBytes >= largeChange;
    if (m_isCatchingUp) {
        co_await m_timers.sleep(pauseAfterLargeChange);
        m_needsList = true;
    }
    co_return Result<void>();
}

asio::awaitable<Result<void>> StoreMirror::watchOnce()
{
    // After a failure, a watch that returns immediately detects the end of the outage before the next one waits for a change.
    auto wait = m_failures > 0 || isFailing() ? Duration::zero() : watchTime;
    auto changes = co_await m_store.watch(m_prefix, m_revision, wait, m_abort);
    // A restore that another call has shown interrupts the watch, which is not an outage.
    if (isStale())
        co_return co_await listAll();
    if (!changes)
        co_return changes.error();
    recordAnswer();
    if (changes->isHistoryLost) {
        m_needsList = true;
        forgetRevisions();
        m_log.write(EventId::StoreHistoryLost, { { "prefix", m_prefix }, { "revision", m_revision } });
        co_return co_await listAll();
    }
    if (changes->isTooLong) {
        m_needsList = true;
        m_isCatchingUp = true;
        co_return co_await listAll();
    }
    size_t bytes = 0;
    for (const auto& change : changes->changes) {
        bytes += change.item.value.size();
        if (change.isRemoval)
            applyRemoval(change.item.key);
        else if (!applyItem(change.item))
            m_log.write(EventId::StoreChangeIgnored, { { "key", change.item.key }, { "revision", change.item.revision }, { "applied", m_revisions[change.item.key] } });
        m_revision = std::max(m_revision, change.item.revision);
    }
    m_revision = std::max(m_revision, changes->revision);
    if (!changes->changes.empty())
        co_await waitPause();
    if (bytes >= largeChange) {
        co_await m_timers.sleep(pauseAfterLargeChange);
        m_isCatchingUp = changes->changes.size() > 1;
        m_needsList = m_isCatchingUp;
    }
    co_return Result<void>();
}

void StoreMirror::forgetRevisions()
{
    for (auto& [key, appliedRevision] : m_revisions)
        appliedRevision = 0;
}

void StoreMirror::beginEpoch()
{
    forgetRevisions();
    m_epoch = m_store.epoch();
    if (m_isListed)
        m_restoredAt = m_timers.now();
    m_needsList = true;
}

asio::awaitable<void> StoreMirror::waitPause()
{
    auto since = m_timers.now();
    for (auto left = m_pause(); left > Duration::zero() && !isStale(); left = m_pause() - (m_timers.now() - since))
        co_await m_timers.sleep(std::min(left, pauseCheckPeriod));
}

void StoreMirror::recordAnswer()
{
    if (recordResponse(m_availability, m_timers.now()))
        m_log.write(EventId::PlatformRestored, { { "prefix", m_prefix } });
}

asio::awaitable<void> StoreMirror::recordOutcome(const Result<void>& outcome, TimePoint sentAt)
{
    if (outcome) {
        m_failures = 0;
        co_return;
    }
    auto wasFailing = isFailing();
    recordFailure(m_availability, outcome.error().kind, sentAt);
    if (!wasFailing)
        m_log.write(isFailing() ? EventId::PlatformLost : EventId::StoreResponseLost, { { "prefix", m_prefix }, { "detail", outcome.error().detail } });
    auto backoff = std::min(firstBackoff * (1U << m_failures), longestBackoff);
    m_failures = std::min(m_failures + 1, 8U);
    co_await m_restart.waitFor(m_timers, backoff);
}

bool StoreMirror::applyItem(const StoreItem& item)
{
    auto& appliedRevision = m_revisions[item.key];
    if (item.revision <= appliedRevision)
        return false;
    appliedRevision = item.revision;
    for (const auto& [prefix, handlers] : m_subscriptions) {
        if (item.key.starts_with(prefix))
            handlers.onItem(item);
    }
    return true;
}

void StoreMirror::applyRemoval(const std::string& key)
{
    if (m_revisions.erase(key) == 0)
        return;
    for (const auto& [prefix, handlers] : m_subscriptions) {
        if (key.starts_with(prefix))
            handlers.onRemoval(key);
    }
}

} // namespace chestnut
