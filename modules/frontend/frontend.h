#pragma once

/** @module frontend
    Owns the callers' requests in flight: admission, routing, attempts and failover, the streams that callers may resume,
    and what this daemon has learned about its replicas. */

#include "frontend/listener/Frontend.h"
