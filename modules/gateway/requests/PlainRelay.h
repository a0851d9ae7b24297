#pragma once

#include "gateway/requests/RelayContext.h"

namespace chestnut {

/** Relays a request to a backend server and returns the complete response to the client. */
asio::awaitable<void> relayPlain(RelayPointer, HttpResponseWriter&);

} // namespace chestnut
