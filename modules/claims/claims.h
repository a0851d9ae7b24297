#pragma once

/** @module claims
    Owns the claim log of calls that are not idempotent: which daemon may dispatch a call, once, and the recorded
    responses for duplicates. */

#include "claims/answers/RecordedResponses.h"
#include "claims/log/ClaimCodec.h"
#include "claims/log/EpochCleaner.h"
#include "claims/log/ShardReader.h"
#include "claims/log/ShardWriter.h"
#include "claims/log/ShardWriters.h"
#include "claims/service/ClaimRouter.h"
#include "claims/service/ClaimService.h"
#include "claims/service/DaemonClaims.h"
#include "claims/service/SharedClaimService.h"
