#pragma once

/** @module base
    Owns the vocabulary shared by all modules: identifiers, time points, digests, the closed list of error kinds with
    its table of answers, and the catalogue of numbered log events. Only Result.h needs Boost. */

#include "base/digest/Digest.h"
#include "base/errors/Error.h"
#include "base/errors/ErrorKind.h"
#include "base/errors/Result.h"
#include "base/events/EventId.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
