#pragma once

#include "decisions/streams/ConnectionEnd.h"
#include "http/client/HttpBodyStream.h"

#include <functional>
#include <memory>

namespace chestnut {

/** The response body of an attempt. Where it ends with its connection and is not isWholeBody(), the end is an error of kind
    BackendFailed, so that no reader takes it for a complete response. */
class AttemptBody final : public HttpBodyStream {
public:
    /** `connectionEnd` is called when the connection has ended. */
    AttemptBody(std::unique_ptr<HttpBodyStream>, std::function<ConnectionEnd()> connectionEnd);

    int status() const override { return m_body->status(); }
    const HttpHeaders& headers() const override { return m_body->headers(); }
    bool endsWithConnection() const override { return m_body->endsWithConnection(); }
    std::optional<uint64_t> announcedLength() const override { return m_body->announcedLength(); }
    asio::awaitable<Result<std::optional<std::string>>> read() override;

private:
    std::unique_ptr<HttpBodyStream> m_body;
    std::function<ConnectionEnd()> m_connectionEnd;
};

} // namespace chestnut
