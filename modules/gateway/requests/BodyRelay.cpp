#include "gateway/requests/BodyRelay.h"

namespace chestnut {

namespace {

    Error overlongError()
    {
        return makeError(ErrorKind::ProtocolError, "response body longer than " + std::to_string(maximumBodyBytes) + " bytes");
    }

    asio::awaitable<Result<void>> relayRest(HttpResponseWriter& writer, HttpBodyStream& body, size_t sentBytes)
    {
        while (true) {
            auto bytes = co_await body.read();
            if (!bytes)
                co_return bytes.error();
            if (!*bytes)
                co_return co_await writer.finish();
            sentBytes += (*bytes)->size();
            if (sentBytes > maximumBodyBytes)
                co_return overlongError();
            if (auto written = co_await writer.write(std::move(**bytes)); !written)
                co_return written;
        }
    }

} // namespace

asio::awaitable<Result<BodyStart>> readBodyStart(HttpBodyStream& body, std::shared_ptr<ByteBudget> budget)
{
    if (auto checked = checkAnnouncedLength(body, maximumBodyBytes); !checked)
        co_return checked.error();
    BodyStart start;
    auto isBounded = budget != nullptr;
    start.reservation = ByteReservation(std::move(budget));
    while (true) {
        auto bytes = co_await body.read();
        if (!bytes)
            co_return bytes.error();
        if (!*bytes) {
            start.isComplete = true;
            co_return std::move(start);
        }
        start.bytes += **bytes;
        if (start.bytes.size() > maximumBodyBytes)
            co_return overlongError();
        if (isBounded && (start.bytes.size() > maximumBufferedBody || !start.reservation.tryGrowTo(start.bytes.size())))
            co_return std::move(start);
    }
}

asio::awaitable<Result<void>> relayBody(HttpResponseWriter& writer, int status, HttpHeaders headers, BodyStart start, HttpBodyStream* rest)
{
    if (start.isComplete)
        co_return co_await writer.send({ status, std::move(headers), std::move(start.bytes) });
    auto relayed = co_await writer.begin(status, std::move(headers));
    auto size = start.bytes.size();
    // The writer reserves what it buffers itself.
    start.reservation.shrinkTo(0);
    if (relayed)
        relayed = co_await writer.write(std::exchange(start.bytes, {}));
    if (relayed)
        relayed = co_await relayRest(writer, *rest, size);
    if (!relayed)
        writer.abort();
    co_return relayed;
}

} // namespace chestnut
