#pragma once

#include "base/errors/Result.h"
#include "base/time/TimePoint.h"
#include "http/message/HttpMessage.h"
#include "kernel/registry/Service.h"
#include "kernel/settings/SettingsReader.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

namespace chestnut {

/** Time limits of one HTTP exchange. */
struct HttpTimeouts {
    Duration connect = std::chrono::milliseconds(500);
    /** From the end of the request to the end of the response header, and between two reads of the body. */
    Duration read = std::chrono::seconds(30);
};

/** The body of a response that is still arriving. Destroying it closes the connection. */
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

/** HTTP/1.1 client. Errors tell whether the server can have seen the request:
    ConnectFailed means that no byte was sent; BackendFailed and DeadlineExceeded that bytes may have arrived. */
class HttpClient {
public:
    explicit HttpClient(asio::io_context&);
    ~HttpClient();

    /** Sends a request and reads the whole response, at most maximumBody bytes. Reuses idle connections for GET and HEAD
        only, because a broken idle connection leaves it unknown whether the server saw the request. */
    asio::awaitable<Result<HttpResponse>> exchange(Endpoint, HttpRequest, HttpTimeouts, size_t maximumBody = 8 << 20);

    /** Sends a request and returns after the response header. */
    asio::awaitable<Result<std::unique_ptr<HttpBodyStream>>> open(Endpoint, HttpRequest, HttpTimeouts);

private:
    struct Pool;

    asio::io_context& m_context;
    std::shared_ptr<Pool> m_pool;
};

} // namespace chestnut
