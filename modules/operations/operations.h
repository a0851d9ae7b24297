#pragma once

/** @module operations
    Owns the operators' listener and the client behind the operators' program. */

#include "operations/api/OperatorApi.h"
#include "operations/cli/OperatorCommand.h"
