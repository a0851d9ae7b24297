#pragma once

/** @module base
    Owns the types that all modules share: identifiers, time points, digests, percent-encoding, the closed list of error
    kinds with their HTTP status codes, and the catalogue of numbered log events. Only Result.h needs Boost. */

#include "base/digest/Digest.h"
#include "base/errors/Error.h"
#include "base/errors/ErrorKind.h"
#include "base/errors/MakeResult.h"
#include "base/errors/Result.h"
#include "base/events/EventId.h"
#include "base/ids/StrongId.h"
#include "base/text/PercentEncoding.h"
#include "base/time/TimePoint.h"
