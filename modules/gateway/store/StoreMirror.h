#pragma once

#include "decisions/outages/StoreAvailability.h"
#include "gateway/store/VersionedStore.h"
#include "kernel/logging/Log.h"
#include "kernel/signals/AutoResetEvent.h"
#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace chestnut {

/** Callbacks for changes below one prefix. */
struct MirrorHandlers {
    std::function<void(const StoreItem&)> onItem;
    std::function<void(const std::string& key)> onRemoval;
};

/** Mirrors one prefix of the store: lists it once and watches it afterwards. During an outage of the store the last state
    is kept; then the watch resumes, or the prefix is listed again if the history has been compacted or the store has been
    restored. */
class StoreMirror : public std::enable_shared_from_this<StoreMirror> {
public:
    /** The mirror waits for `pause` between two watches, so that frequent changes are batched into one call. It re-evaluates
        `pause` while waiting, because it becomes shorter when this daemon has to watch for changes itself. */
    StoreMirror(asio::io_context&, VersionedStore&, TimerService&, Log&, std::string prefix, std::function<Duration()> pause);

    /** Adds handlers for keys with this prefix, which has to begin with the prefix of the mirror. Call this before start(). */
    void subscribe(std::string prefix, MirrorHandlers);

    void start();

    /** Restarts the watch immediately, unless its changes are being received. After an outage of the store, a watch that was
        started before it may never return. */
    void restartWatch();

    /** Whether the prefix has been listed at least once. */
    bool isListed() const { return m_isListed; }

    /** When a restore of the store was last noticed, if ever. */
    std::optional<TimePoint> restoredAt() const { return m_restoredAt; }

    /** Whether the store does not respond to the calls of this mirror. */
    bool isFailing() const { return m_availability.isUnavailable; }

    /** See chestnut::lastUnreachable(). */
    std::optional<TimePoint> lastUnreachableAt() const { return lastUnreachable(m_availability, m_timers.now()); }

private:
    static asio::awaitable<void> follow(std::shared_ptr<StoreMirror>);
    asio::awaitable<Result<void>> listAll();
    asio::awaitable<Result<void>> watchOnce();
    asio::awaitable<void> waitPause();
    /** Whether the store has been restored since the last list, or there was none. */
    bool isStale() const { return m_epoch != m_store.epoch(); }
    /** Forgets the revisions of the epoch before. Called with the first page of a list. */
    void beginEpoch();
    /** Items are then applied whatever their revisions are. */
    void forgetRevisions();
    /** Records that a call was answered, before its response is applied. */
    void recordAnswer();
    /** Waits after a failed call. `sentAt` is when it was sent. */
    asio::awaitable<void> recordOutcome(const Result<void>&, TimePoint sentAt);
    /** Returns whether the item is newer than the one applied before. */
    bool applyItem(const StoreItem&);
    void applyRemoval(const std::string& key);

    asio::io_context& m_context;
    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    std::string m_prefix;
    std::function<Duration()> m_pause;
    std::vector<std::pair<std::string, MirrorHandlers>> m_subscriptions;
    std::shared_ptr<AbortHandle> m_abort = std::make_shared<AbortHandle>();
    AutoResetEvent m_restart;
    std::map<std::string, uint64_t> m_revisions; /**< of the existing keys */
    uint64_t m_revision = 0;
    StoreEpoch m_epoch = 0; /**< that the revisions belong to */
    std::optional<TimePoint> m_restoredAt;
    StoreAvailability m_availability;
    uint32_t m_failures = 0;
    bool m_isListed = false;
    bool m_needsList = true;
    bool m_wasInterrupted = false; /**< the watch was ended by restartWatch(), which is no failure of the store */
    bool m_isCatchingUp = false; /**< large values change faster than they can be watched */
};

} // namespace chestnut
