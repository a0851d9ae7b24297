#include "decisions/drains/Shutdown.h"

namespace chestnut {

bool mayStart(const ShutdownPlan& plan, TimePoint arrival, TimePoint deadline)
{
    return arrival <= plan.beganAt + shutdownStartTime || deadline <= plan.endsAt;
}

} // namespace chestnut
