#pragma once

#include "base/errors/Result.h"
#include "http/message/HttpMessage.h"
#include "kernel/registry/Service.h"

#include <optional>
#include <string>

namespace chestnut {

/** The body of a response that is still arriving. Destroying it before its end closes the connection. */
class HttpBodyStream {
public:
    virtual ~HttpBodyStream() = default;

    virtual int status() const = 0;
    virtual const HttpHeaders& headers() const = 0;

    /** The next bytes of the body, or nothing at its regular end. Fails with BackendFailed when the connection breaks
        before the end, and with DeadlineExceeded when the read times out. */
    virtual asio::awaitable<Result<std::optional<std::string>>> read() = 0;
};

/** Reads the rest of a body, at most maximumBody bytes; a longer one is ProtocolError. */
asio::awaitable<Result<std::string>> readWholeBody(HttpBodyStream&, size_t maximumBody);

} // namespace chestnut
