#pragma once

#include "frontend/dispatch/FrontendState.h"
#include "kernel/signals/AutoResetEvent.h"

namespace chestnut {

/** A replica counts as lost when it does not respond to GET /load within this time after a connection to it broke. */
constexpr Duration lossCheckTimeout = std::chrono::milliseconds(500);

/** Checks whether the replicas whose connections to one request broke are lost: they refuse connections or do not respond.
    A loss counts against all requests that ran there. A single broken connection is no loss, and the end of a replica
    that is draining, changing or leaving is none either. */
class LossChecks {
public:
    /** `wakeup` is notified when a check ends. */
    explicit LossChecks(std::shared_ptr<AutoResetEvent> wakeup);

    /** Starts a check. Call it while the failed attempt still counts as in flight. */
    void add(const FrontendStatePointer&, const ReplicaId&);

    /** Waits until all checks have ended, so that routing of the next attempt takes their results into account. */
    asio::awaitable<void> waitUntilFinished(FrontendStatePointer);

private:
    std::shared_ptr<AutoResetEvent> m_wakeup;
    std::shared_ptr<uint32_t> m_pending;
};

} // namespace chestnut
