#pragma once

#include "decisions/placement/PromptPlacement.h"
#include "decisions/urgency/DecodeReserve.h"
#include "kernel/timers/TimerService.h"

#include <map>
#include <span>

namespace chestnut {

/** Remembers the recent peaks of urgent work at the decode engines, from which less urgent requests are held back. It is
    rebuilt from load messages after a restart. */
class UrgentWork {
public:
    explicit UrgentWork(TimerService&);

    /** Slots of the service that a request leaves free. `level` is the number of more urgent priorities of the service. */
    uint32_t slotsKeptFree(const ServiceId&, size_t level, std::span<const PlacementView>);

private:
    TimerService& m_timers;
    std::map<std::pair<ServiceId, size_t>, UrgentDemand> m_demands;
};

} // namespace chestnut
