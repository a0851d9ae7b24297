#pragma once

#include "base/errors/Result.h"
#include "base/time/TimePoint.h"
#include "http/client/AbortHandle.h"
#include "kernel/registry/Service.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnut {

/** Number of a store's history. It changes when the store is restored from a copy: revisions go back and are assigned again, and
    what was written after the copy is lost, leases included. */
using StoreEpoch = uint64_t;

/** One key of the store. */
struct StoreItem {
    std::string key;
    std::string value;
    uint64_t revision = 0; /**< of its last change */
    uint64_t createdAt = 0; /**< revision of its creation */

    bool operator==(const StoreItem&) const = default;
};

struct StorePage {
    std::vector<StoreItem> items;
    bool hasMore = false;
    uint64_t revision = 0; /**< of the store; a watch continues from it */
};

struct StoreChange {
    StoreItem item;
    bool isRemoval = false;

    bool operator==(const StoreChange&) const = default;
};

struct StoreChanges {
    std::vector<StoreChange> changes;
    uint64_t revision = 0;
    bool isHistoryLost = false; /**< the changes since the given revision were compacted; list again */
    bool isTooLong = false; /**< the changes have more than maximumWatchBytes and were not read; list again */
};

struct StoreCondition {
    std::string key;
    uint64_t revision = 0; /**< zero: the key must not exist */
};

struct StoreWrite {
    std::string key;
    std::string value;
    uint64_t lease = 0; /**< zero: none */
};

/** A granted lease. After a restore of the store its id may be granted again, to another daemon. */
struct StoreLease {
    uint64_t id = 0; /**< zero: none */
    StoreEpoch epoch = 0; /**< in which it was granted */

    auto operator<=>(const StoreLease&) const = default;
};

/** Longest encoded response to a watch that is read. A watch returns every version of a key, a list only the newest one. */
constexpr size_t maximumWatchBytes = 512 << 10;

/** A key-value store with a global revision counter, leases and watches of prefixes.
    Errors: PlatformUnavailable when the call had no effect, PlatformAnswerLost when it may have had or may still get one,
    PlatformConflict when a condition does not hold, NotFound when a lease has expired or is of an earlier epoch. */
class VersionedStore : public Service {
public:
    static constexpr std::string_view serviceName = "versionedstore";
    std::string_view name() const final { return serviceName; }

    /** Returns one page of the keys with the prefix that sort after `after`. */
    virtual asio::awaitable<Result<StorePage>> list(std::string prefix, std::string after) = 0;

    /** Returns the changes after the revision as soon as there are any, or none after `wait`. The handle cancels the
        wait, but not the transfer of changes once that has begun. */
    virtual asio::awaitable<Result<StoreChanges>> watch(std::string prefix, uint64_t revision, Duration wait, std::shared_ptr<AbortHandle>) = 0;

    /** Applies all writes and removals, or none. Returns the new revision. */
    virtual asio::awaitable<Result<uint64_t>> transact(std::vector<StoreCondition>, std::vector<StoreWrite>, std::vector<std::string> removals) = 0;

    asio::awaitable<Result<StoreLease>> grantLease(Duration timeToLive);
    asio::awaitable<Result<void>> renewLease(StoreLease);
    asio::awaitable<Result<void>> endLease(StoreLease);

    /** The newest epoch that a response has shown; zero before that. A result belongs to the epoch that is current when the call
        returns. */
    StoreEpoch epoch() const { return m_epoch.value_or(0); }

    /** Registers the only receiver of epoch changes. It is called before the call whose response shows the change returns, and
        not for the first epoch. */
    void onEpochChange(std::function<void()> receiver) { m_epochReceiver = std::move(receiver); }

    /** Registers the only receiver of lost responses of all calls but watches, which may be cut at any time. It is called before
        the call returns. */
    void onResponseLost(std::function<void()> receiver) { m_lostResponseReceiver = std::move(receiver); }

protected:
    virtual asio::awaitable<Result<uint64_t>> grant(Duration timeToLive) = 0;
    virtual asio::awaitable<Result<void>> renew(uint64_t lease) = 0;
    virtual asio::awaitable<Result<void>> end(uint64_t lease) = 0;

    /** Records the epoch of a response. `sentIn` is the epoch that was current when the call was sent. Returns false for a
        response from before a restore that is already known: what it says may no longer hold. */
    bool recordEpoch(StoreEpoch ofResponse, StoreEpoch sentIn);

    /** Calls the receiver of lost responses. */
    void reportLostResponse()
    {
        if (m_lostResponseReceiver)
            m_lostResponseReceiver();
    }

private:
    std::optional<StoreEpoch> m_epoch;
    std::function<void()> m_lostResponseReceiver;
    std::function<void()> m_epochReceiver;
};

} // namespace chestnut
