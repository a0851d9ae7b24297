#pragma once

/** @module backends
    Owns the connections to engines and backend servers: interfaces, HTTP adapters and the JSON forms of their bodies. */

#include "backends/engines/CompletionBody.h"
#include "backends/engines/EngineClient.h"
#include "backends/engines/HttpEngineClient.h"
#include "backends/servers/BackendServerClient.h"
#include "backends/servers/HttpBackendServerClient.h"
