#pragma once

/** @module decisions
    Owns no state: free functions over plain structs decide where requests are routed, which are refused, retried or hedged,
    which daemon may send orders and how claims are logged. I/O and Boost are not used, and the clock and random generator
    are passed in, so that the daemon, the benchmarks and the fuzzer run the same code. */

#include "decisions/admission/Admission.h"
#include "decisions/claims/ClaimKey.h"
#include "decisions/claims/ClaimLog.h"
#include "decisions/discovery/Discovery.h"
#include "decisions/drains/Drain.h"
#include "decisions/drains/Shutdown.h"
#include "decisions/ejection/Ejection.h"
#include "decisions/estimates/WorkEstimate.h"
#include "decisions/fairness/FairQueue.h"
#include "decisions/hedging/Hedging.h"
#include "decisions/leases/Lease.h"
#include "decisions/leases/Order.h"
#include "decisions/leases/StoreFencing.h"
#include "decisions/membership/Member.h"
#include "decisions/membership/Membership.h"
#include "decisions/outages/StoreAvailability.h"
#include "decisions/quarantine/CrashingParts.h"
#include "decisions/quarantine/RequestQuarantine.h"
#include "decisions/quarantine/SharedBlocks.h"
#include "decisions/replicas/ReplicaBackoff.h"
#include "decisions/retries/Retries.h"
#include "decisions/roles/Roles.h"
#include "decisions/routing/PrefixIndex.h"
#include "decisions/routing/Routing.h"
#include "decisions/speeds/ServiceSpeed.h"
#include "decisions/speeds/StreamProgress.h"
#include "decisions/speeds/WaitLimits.h"
#include "decisions/streams/StreamPosition.h"
#include "decisions/subsets/Subsets.h"
#include "decisions/tickets/Configuration.h"
#include "decisions/tickets/Ticket.h"
