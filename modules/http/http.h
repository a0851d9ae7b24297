#pragma once

/** @module http
    Owns HTTP: the server, the client with its connection pool, and server-sent events. Only the source files of this module
    include Boost.Beast. */

#include "http/client/AbortHandle.h"
#include "http/client/ConnectionPool.h"
#include "http/client/HttpBodyStream.h"
#include "http/client/HttpClient.h"
#include "http/message/HttpMessage.h"
#include "http/server/HttpServer.h"
#include "http/sse/SseParser.h"
