#pragma once

/** @module frontend
    Owns the callers' requests in flight: admission, routing, attempts and failover, the streams that callers may resume,
    and the rates, loads and health that this daemon measures for its replicas. */

#include "frontend/listener/Frontend.h"
