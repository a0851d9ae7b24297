#pragma once

#include "gateway/store/VersionedStore.h"
#include "kernel/logging/Log.h"
#include "kernel/signals/AutoResetEvent.h"
#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

namespace chestnut {

/** What a part of the daemon does with the changes below one prefix. */
struct MirrorHandlers {
    std::function<void(const StoreItem&)> onItem;
    std::function<void(const std::string& key)> onRemoval;
};

/** Follows one prefix of the store: lists it once and watches it from then on. While the store is away the last state
    stays; afterwards the watch goes on where it was, or the prefix is listed again when the history is gone. */
class StoreMirror : public std::enable_shared_from_this<StoreMirror> {
public:
    /** The pause is waited between two watches, so that frequent changes are collected into one call. It is asked again while
        it is waited: it becomes short when this daemon must see changes itself. */
    StoreMirror(asio::io_context&, VersionedStore&, TimerService&, Log&, std::string prefix, std::function<Duration()> pause);

    /** Handles the keys that begin with a part of the mirror's prefix. Call it before start(). */
    void subscribe(std::string prefix, MirrorHandlers);

    void start();

    /** Begins the watch anew at once: the store was away, and a watch from before may never be answered. */
    void restartWatch();

    /** Whether the prefix has been listed at least once. */
    bool isListed() const { return m_isListed; }

    /** Whether calls fail. Still true while the first changes after an outage are applied. */
    bool isFailing() const { return m_isFailing; }

private:
    static asio::awaitable<void> follow(std::shared_ptr<StoreMirror>);
    asio::awaitable<Result<void>> listAll();
    asio::awaitable<Result<void>> watchOnce();
    asio::awaitable<void> waitPause();
    asio::awaitable<void> recordOutcome(const Result<void>&);
    void applyItem(const StoreItem&);
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
    std::map<std::string, uint64_t> m_revisions; /**< of the present keys */
    uint64_t m_revision = 0;
    uint32_t m_failures = 0;
    bool m_isListed = false;
    bool m_needsList = true;
    bool m_isFailing = false;
};

} // namespace chestnut
