#pragma once

#include "gateway/requests/RelayContext.h"

namespace chestnut {

/** Relays a request to a plain service and its whole answer back. */
asio::awaitable<void> relayPlain(RelayPointer, HttpResponseWriter&);

} // namespace chestnut
