#include "http/client/HttpBodyStream.h"

namespace chestnut {

namespace {

    Error overlongError(size_t maximumBody)
    {
        return makeError(ErrorKind::ProtocolError, "response body longer than " + std::to_string(maximumBody) + " bytes");
    }

} // namespace

Result<void> checkAnnouncedLength(const HttpBodyStream& stream, size_t maximumBody)
{
    if (stream.announcedLength().value_or(0) > maximumBody)
        return overlongError(maximumBody);
    return Result<void>();
}

asio::awaitable<Result<std::string>> readWholeBody(HttpBodyStream& stream, size_t maximumBody)
{
    if (auto checked = checkAnnouncedLength(stream, maximumBody); !checked)
        co_return checked.error();
    std::string body;
    while (true) {
        auto bytes = co_await stream.read();
        if (!bytes)
            co_return bytes.error();
        if (!*bytes)
            co_return body;
        if (body.size() + (*bytes)->size() > maximumBody)
            co_return overlongError(maximumBody);
        body += **bytes;
    }
}

} // namespace chestnut
