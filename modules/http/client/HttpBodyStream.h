#pragma once

#include "base/errors/Result.h"
#include "http/message/HttpMessage.h"
#include "kernel/registry/Service.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chestnut {

/** A response whose body is still being received. Destroying it before the end of the body closes the connection. */
class HttpBodyStream {
public:
    virtual ~HttpBodyStream() = default;

    virtual int status() const = 0;
    virtual const HttpHeaders& headers() const = 0;

    /** Whether the body has neither a length nor chunks, so that it ends with its connection. */
    virtual bool endsWithConnection() const { return false; }

    /** The length in bytes that the header announces for the body; absent without one, or without a body. The server may be wrong. */
    virtual std::optional<uint64_t> announcedLength() const { return std::nullopt; }

    /** Returns the next bytes of the body, or nothing at its end. Fails with BackendFailed when the connection is lost
        before the end, and with DeadlineExceeded when the read times out. */
    virtual asio::awaitable<Result<std::optional<std::string>>> read() = 0;
};

/** Fails with ProtocolError when the header announces more than maximumBody bytes. */
Result<void> checkAnnouncedLength(const HttpBodyStream&, size_t maximumBody);

/** Reads the rest of a body. Fails with ProtocolError when it is longer than maximumBody bytes, or is announced to be. */
asio::awaitable<Result<std::string>> readWholeBody(HttpBodyStream&, size_t maximumBody);

} // namespace chestnut
