#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace review {

/** A file descriptor of a socket, closed with the object. */
class Socket {
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    Socket(Socket&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket();

    int descriptor() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }

    /** Sends all bytes; returns false when the peer has closed the connection. */
    bool send(std::string_view bytes) const;

    /** Appends received bytes; returns false at the end of the connection or after the timeout. */
    bool receive(std::string& buffer, int timeoutMilliseconds) const;

    /** Whether the peer has closed or reset the connection. */
    bool isClosedByPeer() const;

private:
    int m_descriptor = -1;
};

/** Names of header fields are in lower case. */
using Headers = std::map<std::string, std::string>;

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }
    std::string header(const std::string& lowerName) const;
    std::string queryValue(const std::string& name) const;
};

/** What a client has received for one request. */
struct Response {
    int status = 0; /**< zero: no response header */
    Headers headers;
    std::string body;
    bool isComplete = false; /**< its framing says that the body has ended */
};

/** Reads one request from a connection; `buffer` keeps the bytes of the next one. Nothing at the end of the connection. */
std::optional<Request> readRequest(const Socket&, std::string& buffer);

std::string responseText(int status, const Headers&, const std::string& body);

/** Sends a request on a new connection and reads the response until its end or the timeout. */
Response call(uint16_t port, const std::string& request, int timeoutMilliseconds);

/** A client's connection that is kept open for many requests. */
class KeptChannel {
public:
    explicit KeptChannel(uint16_t port);

    bool isOpen() const { return m_socket.isOpen(); }

    /** Sends a request and reads the response. After a response that is not complete the channel is closed. */
    Response call(const std::string& request, int timeoutMilliseconds);

private:
    Socket m_socket;
    std::string m_buffer;
};

/** Accepts connections on a free port of the loopback address and serves each in a thread of its own. Connections that are open at
    the end of the program end with it. */
class Listener {
public:
    using Handler = std::function<void(Socket&)>;

    explicit Listener(Handler);

    uint16_t port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    Socket m_socket;
    uint16_t m_port = 0;
};

/** A free TCP port below the range of ephemeral ports. */
uint16_t freePort();

/** Milliseconds of the monotonic clock. */
int64_t nowMilliseconds();

void sleepMilliseconds(int64_t);

} // namespace review
