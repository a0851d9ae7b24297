#pragma once

#include "gateway/requests/CrashTracker.h"
#include "gateway/store/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>

namespace chestnut {

/** Keeps the blocks of requests that crash replicas in the store, each under a lease that ends with the block. The reports between
    daemons last for seconds only, so that a daemon that starts later learns of the blocks here. */
class BlockDirectory : public Service {
public:
    static constexpr std::string_view serviceName = "blockdirectory";
    std::string_view name() const final { return serviceName; }

    /** `mirror` covers the keys of the blocks. `daemons` returns the number of daemons that may write the same block. */
    BlockDirectory(asio::io_context&, VersionedStore&, TimerService&, Log&, std::shared_ptr<StoreMirror> mirror, CrashTracker&, std::function<uint32_t()> daemons);

    void start() override;

private:
    asio::awaitable<void> writeBlocks();
    asio::awaitable<void> write(BlockWrite);
    void addObserved();
    /** Differs between daemons, so that mostly one of them writes a block. */
    Duration writeDelay();
    void onItem(const StoreItem&);
    void onRemoval(const std::string& key);
    void logUnreadable(const std::string& key, const Error&) const;

    asio::io_context& m_context;
    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    std::shared_ptr<StoreMirror> m_mirror;
    CrashTracker& m_crashTracker;
    std::function<uint32_t()> m_daemons;
    std::mt19937 m_random { std::random_device {}() };
    size_t m_refused = 0; /**< blocks that do not fit, at the last check */
};

} // namespace chestnut
