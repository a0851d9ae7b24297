#pragma once

#include "frontend/dispatch/FrontendState.h"
#include "kernel/signals/AutoResetEvent.h"

namespace chestnut {

/** Time within which a replica must answer GET /load after a connection to it broke. */
constexpr Duration lossCheckTimeout = std::chrono::milliseconds(500);

/** Checks the replicas whose connections broke under one request. A loss counts against the requests that ran there when
    the replica refuses connections or does not answer. A single cut connection is no loss, nor is the end of a replica
    that drains, changes or leaves. */
class LossChecks {
public:
    /** The signal is notified when a check ends. */
    explicit LossChecks(std::shared_ptr<AutoResetEvent> news);

    /** Starts a check. Call it while the failed attempt's flight still counts. */
    void add(const FrontendStatePointer&, const ReplicaId&);

    /** Waits until all checks have ended, so that the next attempt is routed by their results. */
    asio::awaitable<void> settled(FrontendStatePointer);

private:
    std::shared_ptr<AutoResetEvent> m_news;
    std::shared_ptr<uint32_t> m_pending;
};

} // namespace chestnut
