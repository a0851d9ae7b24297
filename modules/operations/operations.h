#pragma once

/** @module operations
    Owns the operators' HTTP interface and the client behind the operators' command-line program. */

#include "operations/api/OperatorApi.h"
#include "operations/cli/OperatorCommand.h"
