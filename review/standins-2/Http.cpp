#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    constexpr int backlog = 256;

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    std::string lower(std::string text)
    {
        std::ranges::transform(text, text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return text;
    }

    std::string trimmed(const std::string& text)
    {
        auto first = text.find_first_not_of(" \t\r");
        auto last = text.find_last_not_of(" \t\r");
        return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
    }

    /** Takes a header with its blank line from the buffer; the first line is returned. */
    std::string takeHeader(std::string& buffer, size_t end, Headers& headers)
    {
        auto text = buffer.substr(0, end);
        buffer.erase(0, end + 4);
        auto firstEnd = std::min(text.find("\r\n"), text.size());
        auto firstLine = text.substr(0, firstEnd);
        for (size_t start = firstEnd; start < text.size();) {
            start += 2;
            auto lineEnd = std::min(text.find("\r\n", start), text.size());
            auto line = text.substr(start, lineEnd - start);
            if (auto colon = line.find(':'); colon != std::string::npos)
                headers[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
            start = lineEnd;
        }
        return firstLine;
    }

    /** Decodes chunks from the buffer. Returns whether the last one was found. */
    bool takeChunks(std::string& buffer, std::string& body)
    {
        while (true) {
            auto lineEnd = buffer.find("\r\n");
            if (lineEnd == std::string::npos)
                return false;
            auto size = std::stoul(buffer.substr(0, lineEnd), nullptr, 16);
            if (buffer.size() < lineEnd + 2 + size + 2)
                return false;
            body += buffer.substr(lineEnd + 2, size);
            buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    bool isChunked(const Headers& headers)
    {
        auto found = headers.find("transfer-encoding");
        return found != headers.end() && lower(found->second) == "chunked";
    }

    Socket connectTo(uint16_t port)
    {
        Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto address = loopback(port);
        if (::connect(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
            return {};
        return socket;
    }

    Response exchange(const Socket& socket, std::string& buffer, const std::string& request, int timeoutMilliseconds)
    {
        Response response;
        if (!socket.isOpen() || !socket.send(request))
            return response;
        auto end = nowMilliseconds() + timeoutMilliseconds;
        auto timeLeft = [end] { return static_cast<int>(std::max<int64_t>(end - nowMilliseconds(), 0)); };
        size_t headerEnd = 0;
        while ((headerEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!socket.receive(buffer, timeLeft()))
                return response;
        }
        auto line = takeHeader(buffer, headerEnd, response.headers);
        response.status = std::stoi(line.substr(line.find(' ') + 1));
        if (isChunked(response.headers)) {
            while (!(response.isComplete = takeChunks(buffer, response.body))) {
                if (!socket.receive(buffer, timeLeft()))
                    return response;
            }
            return response;
        }
        auto length = response.headers.find("content-length");
        auto hasLength = length != response.headers.end();
        auto size = hasLength ? std::stoul(length->second) : std::string::npos;
        while (buffer.size() < size) {
            if (!socket.receive(buffer, timeLeft()))
                break;
        }
        response.isComplete = hasLength ? buffer.size() >= size : timeLeft() > 0;
        response.body = buffer.substr(0, size);
        buffer.erase(0, response.body.size());
        return response;
    }

} // namespace

Socket::~Socket()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

bool Socket::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

bool Socket::receive(std::string& buffer, int timeoutMilliseconds) const
{
    pollfd readable { m_descriptor, POLLIN, 0 };
    if (::poll(&readable, 1, timeoutMilliseconds) <= 0)
        return false;
    char bytes[16384];
    auto received = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
    if (received <= 0)
        return false;
    buffer.append(bytes, static_cast<size_t>(received));
    return true;
}

bool Socket::isClosedByPeer() const
{
    pollfd state { m_descriptor, POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0;
}

std::string Request::header(const std::string& lowerName) const
{
    auto found = headers.find(lowerName);
    return found == headers.end() ? std::string() : found->second;
}

std::string Request::queryValue(const std::string& name) const
{
    auto start = target.find('?');
    while (start != std::string::npos) {
        auto end = target.find('&', start + 1);
        auto pair = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (pair.starts_with(name + "="))
            return pair.substr(name.size() + 1);
        start = end;
    }
    return {};
}

std::optional<Request> readRequest(const Socket& socket, std::string& buffer)
{
    constexpr int idleMilliseconds = 120'000;
    size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!socket.receive(buffer, idleMilliseconds))
            return std::nullopt;
    }
    Request request;
    auto line = takeHeader(buffer, end, request.headers);
    auto methodEnd = line.find(' ');
    auto targetEnd = line.find(' ', methodEnd + 1);
    request.method = line.substr(0, methodEnd);
    request.target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    if (isChunked(request.headers)) {
        while (!takeChunks(buffer, request.body)) {
            if (!socket.receive(buffer, idleMilliseconds))
                return std::nullopt;
        }
        return request;
    }
    auto length = request.header("content-length");
    auto size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (!socket.receive(buffer, idleMilliseconds))
            return std::nullopt;
    }
    request.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return request;
}

std::string responseText(int status, const Headers& headers, const std::string& body)
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

KeptChannel::KeptChannel(uint16_t port)
    : m_socket(connectTo(port))
{
}

Response KeptChannel::call(const std::string& request, int timeoutMilliseconds)
{
    auto response = exchange(m_socket, m_buffer, request, timeoutMilliseconds);
    auto connection = response.headers.find("connection");
    auto isLast = connection != response.headers.end() && lower(connection->second) == "close";
    if (!response.isComplete || isLast)
        m_socket = {};
    return response;
}

Response call(uint16_t port, const std::string& request, int timeoutMilliseconds)
{
    auto socket = connectTo(port);
    std::string buffer;
    return exchange(socket, buffer, request, timeoutMilliseconds);
}

Listener::Listener(Handler handler)
{
    m_port = freePort();
    m_socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int on = 1;
    ::setsockopt(m_socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = loopback(m_port);
    if (::bind(m_socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(m_socket.descriptor(), backlog) != 0)
        std::_Exit(2);
    auto accept = [descriptor = m_socket.descriptor(), handler = std::move(handler)] {
        while (true) {
            auto connection = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            int noDelay = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            std::thread([handler, connection] {
                Socket socket(connection);
                handler(socket);
            }).detach();
        }
    };
    std::thread(accept).detach();
}

uint16_t freePort()
{
    constexpr uint16_t lowest = 12000;
    constexpr uint16_t highest = 31000;
    // Random, so that cases that run at the same time do not choose the same ports.
    static std::mt19937 random { std::random_device {}() };
    std::uniform_int_distribution<uint16_t> choice(lowest, highest);
    while (true) {
        auto port = choice(random);
        Socket probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto address = loopback(port);
        if (::bind(probe.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
            return port;
    }
}

int64_t nowMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepMilliseconds(int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

} // namespace review
