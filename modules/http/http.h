#pragma once

/** @module http
    Owns HTTP connections. Boost.Beast is included only in the source files of this module. */

#include "http/client/AbortHandle.h"
#include "http/client/ConnectionPool.h"
#include "http/client/HttpBodyStream.h"
#include "http/client/HttpClient.h"
#include "http/message/HttpMessage.h"
#include "http/server/HttpServer.h"
#include "http/sse/SseParser.h"
