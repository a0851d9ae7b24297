#pragma once

#include "decisions/split/StageLoad.h"
#include "gateway/replicas/LoadTracker.h"

namespace chestnut {

/** The work of all daemons at the given replicas, as input of the decisions on their stages and their number. Urgent is the
    work of the most urgent priority of the service, where it has several. */
std::vector<ReplicaLoad> loadsOf(const std::vector<const ReplicaEntry*>&, const LoadTracker&, const ServicePriorities&);

} // namespace chestnut
