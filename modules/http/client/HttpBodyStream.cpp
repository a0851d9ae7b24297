#include "http/client/HttpBodyStream.h"

namespace chestnut {

asio::awaitable<Result<std::string>> readWholeBody(HttpBodyStream& stream, size_t maximumBody)
{
    std::string body;
    while (true) {
        auto bytes = co_await stream.read();
        if (!bytes)
            co_return bytes.error();
        if (!*bytes)
            co_return body;
        if (body.size() + (*bytes)->size() > maximumBody)
            co_return makeError(ErrorKind::ProtocolError, "response body longer than " + std::to_string(maximumBody) + " bytes");
        body += **bytes;
    }
}

} // namespace chestnut
