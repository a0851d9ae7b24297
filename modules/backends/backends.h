#pragma once

/** @module backends
    Owns the calls to engines and backend servers: client interfaces, HTTP adapters and the JSON formats of their bodies. */

#include "backends/engines/CompletionBody.h"
#include "backends/engines/EngineClient.h"
#include "backends/engines/HttpEngineClient.h"
#include "backends/servers/BackendServerClient.h"
#include "backends/servers/HttpBackendServerClient.h"
