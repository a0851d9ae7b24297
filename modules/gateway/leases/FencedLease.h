#pragma once

#include "base/ids/StrongId.h"
#include "gateway/store/StoreMirror.h"
#include "gateway/store/VersionedStore.h"

namespace chestnut {

/** Settings of one candidate for a lease. */
struct FencedLeaseSettings {
    std::string key; /**< names the holder */
    DaemonId self;
    /** No call is sent for this long after a takeover, so that none of the previous holder is still in transit. */
    Duration takeoverWait = std::chrono::seconds(3);
    /** The number of daemons that may try to acquire the lease at the same time. */
    std::function<uint32_t()> candidates = [] { return 1; };
    /** Whether a former holder may be able to act although neither the store nor this process knows of its lease: the store was
        restored shortly before this process started. The first call then waits until such a lease has ended. */
    bool waitsAfterStart = false;
};

/** A lease in the store that one daemon at a time holds. Its fencing number is that of the epoch and the revision of the store at
    which it was acquired, and increases with each holder. */
class FencedLease : public Service {
public:
    static constexpr std::string_view serviceName = "fencedlease";
    std::string_view name() const final { return serviceName; }

    /** `mirror` covers the key of the lease. */
    FencedLease(asio::io_context&, VersionedStore&, TimerService&, Log&, std::shared_ptr<StoreMirror> mirror, FencedLeaseSettings);

    /** Campaigns for the lease from here on. */
    void start() override;

    /** Gives the lease up. The caller first ends its calls in flight. */
    asio::awaitable<void> stop() override;

    /** Whether the store named this daemon as the holder when last asked; for display. */
    bool isHeld() const { return m_lease.id != 0; }

    /** Whether a call that takes at most `callTime` may be sent now: it ends before another holder's first call. */
    bool mayAct(Duration callTime) const;

    FencingNumber fencingNumber() const { return m_fencingNumber; }

    /** Revision of the key, for transactions that must fail after a takeover. */
    uint64_t acquiredAt() const { return m_acquiredAt; }

    const std::string& key() const { return m_settings.key; }
    const DaemonId& self() const { return m_settings.self; }

    /** A takeover wait that has started keeps its duration. */
    void setTakeoverWait(Duration wait) { m_settings.takeoverWait = wait; }

private:
    asio::awaitable<void> maintain();
    asio::awaitable<void> renew();
    asio::awaitable<void> campaign();
    asio::awaitable<Result<void>> acquire();
    /** Removes a key that names this daemon although it does not hold the lease, unless the key has changed. */
    asio::awaitable<void> removeStrayKey();
    void onHolder(const StoreItem&);
    void onRemoval();
    /** Records whether another daemon holds the lease, as read from the store. */
    void recordHolder(bool isAnother);
    void lose(std::string detail);
    /** The end of a lease that a restore of the store may have removed before its time; in the past if there was no restore. */
    TimePoint formerLeaseEnd() const;

    asio::io_context& m_context;
    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    std::shared_ptr<StoreMirror> m_mirror;
    FencedLeaseSettings m_settings;
    bool m_isHeldByAnother = false;
    TimePoint m_nextAttemptAt; /**< no earlier attempt to acquire the lease */
    StoreLease m_lease;
    uint64_t m_acquiredAt = 0; /**< revision of the store */
    bool m_isKeySeen = false; /**< the mirror has shown the key since it was acquired */
    uint64_t m_strayRevision = 0; /**< of a key that names this daemon without a lease; zero: none */
    FencingNumber m_fencingNumber = 0;
    TimePoint m_renewedAt; /**< time including suspend, just before the last successful renewal was sent */
    TimePoint m_allowedFrom; /**< no earlier call */
    TimePoint m_startedAt;
    bool m_isStopped = false;
};

} // namespace chestnut
