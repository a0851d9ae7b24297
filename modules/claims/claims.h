#pragma once

/** @module claims
    Grants each call that is not idempotent to at most one daemon through a claim log in the key-value service, and
    returns recorded responses to duplicate calls. */

#include "claims/log/ClaimCodec.h"
#include "claims/log/EpochCleaner.h"
#include "claims/log/ShardReader.h"
#include "claims/log/ShardWriter.h"
#include "claims/log/ShardWriters.h"
#include "claims/responses/RecordedResponses.h"
#include "claims/service/ClaimRouter.h"
#include "claims/service/ClaimService.h"
#include "claims/service/DaemonClaims.h"
#include "claims/service/SharedClaimService.h"
