#pragma once

#include "gateway/requests/ReplicaClient.h"
#include "http/server/ByteBudget.h"
#include "http/server/HttpServer.h"

namespace chestnut {

/** The start of a response body: all of it, or as much as may be kept while the client reads. */
struct BodyStart {
    std::string bytes;
    bool isComplete = false;
    ByteReservation reservation;
};

/** Reads a body until its end, `maximumBufferedBody` or the end of the budget. Without a budget a body is always read whole. Fails with
    ProtocolError when it is longer than `maximumBodyBytes`, or is announced to be. */
asio::awaitable<Result<BodyStart>> readBodyStart(HttpBodyStream&, std::shared_ptr<ByteBudget>);

/** Sends a response. What is missing of its body is read as fast as the client reads it; the response is broken off when that fails.
    `rest` is not used for a complete body. */
asio::awaitable<Result<void>> relayBody(HttpResponseWriter&, int status, HttpHeaders, BodyStart, HttpBodyStream* rest);

constexpr size_t maximumBodyBytes = 8 << 20;
/** A longer body is sent before its end is known, so that its request is not repeated elsewhere when it breaks off. */
constexpr size_t maximumBufferedBody = 256 << 10;

} // namespace chestnut
