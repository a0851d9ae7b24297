#pragma once

#include "frontend/dispatch/FrontendState.h"

namespace chestnut {

/** Polls load reports and cache events of the replicas in use, at a rate that does not grow with their number. */
class ReplicaPoller {
public:
    explicit ReplicaPoller(FrontendStatePointer);

    void start();

private:
    FrontendStatePointer m_state;
    TimerSubscription m_pollTimer;
    TimerSubscription m_healthTimer;
};

} // namespace chestnut
