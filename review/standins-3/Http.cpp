#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <netinet/tcp.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    bool bindTo(int descriptor, uint16_t port)
    {
        auto address = loopback(port);
        return ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    }

    std::string trimmed(const std::string& text)
    {
        auto first = text.find_first_not_of(" \t\r");
        auto last = text.find_last_not_of(" \t\r");
        return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
    }

    std::string lowerCase(std::string text)
    {
        std::ranges::transform(text, text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return text;
    }

    std::string word(const std::string& line, int index)
    {
        std::istringstream words(line);
        std::string found;
        for (int i = 0; i <= index; ++i)
            words >> found;
        return found;
    }

} // namespace

std::string Message::header(const std::string& name) const
{
    auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::method() const
{
    return word(start, 0);
}

std::string Message::target() const
{
    return word(start, 1);
}

int Message::status() const
{
    return std::atoi(word(start, 1).c_str());
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

std::unique_ptr<Connection> Connection::open(uint16_t port)
{
    auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
        return nullptr;
    int enabled = 1;
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return connection;
}

bool Connection::write(const std::string& bytes)
{
    for (size_t sent = 0; sent < bytes.size();) {
        auto count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

bool Connection::fill()
{
    char bytes[1 << 16];
    auto count = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine()
{
    size_t end = 0;
    while ((end = m_buffer.find('\n')) == std::string::npos) {
        if (!fill())
            return std::nullopt;
    }
    auto line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 1);
    return trimmed(line);
}

std::optional<std::string> Connection::readBytes(size_t count)
{
    while (m_buffer.size() < count) {
        if (!fill())
            return std::nullopt;
    }
    auto bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

bool Connection::skipBody(size_t length, double seconds)
{
    constexpr size_t blockBytes = 64 << 10;
    auto pause = seconds * blockBytes / static_cast<double>(std::max(length, blockBytes));
    for (auto left = length; left > 0;) {
        auto block = std::min(left, blockBytes);
        if (!readBytes(block))
            return false;
        left -= block;
        if (pause > 0)
            sleepFor(pause);
    }
    return true;
}

std::optional<Message> Connection::readHeader()
{
    Message message;
    auto start = readLine();
    if (!start)
        return std::nullopt;
    message.start = *start;
    while (true) {
        auto line = readLine();
        if (!line)
            return std::nullopt;
        if (line->empty())
            return message;
        auto colon = line->find(':');
        if (colon != std::string::npos)
            message.headers[lowerCase(line->substr(0, colon))] = trimmed(line->substr(colon + 1));
    }
}

std::optional<std::string> Connection::readChunk()
{
    auto line = readLine();
    if (!line)
        return std::nullopt;
    auto size = std::strtoul(line->c_str(), nullptr, 16);
    auto bytes = readBytes(size);
    if (!bytes || !readLine())
        return std::nullopt;
    return bytes;
}

std::optional<Message> Connection::readMessage()
{
    auto message = readHeader();
    if (!message)
        return std::nullopt;
    if (message->header("transfer-encoding") == "chunked") {
        while (true) {
            auto chunk = readChunk();
            if (!chunk)
                return std::nullopt;
            if (chunk->empty())
                return message;
            message->body += *chunk;
        }
    }
    auto body = readBytes(std::strtoul(message->header("content-length").c_str(), nullptr, 10));
    if (!body)
        return std::nullopt;
    message->body = std::move(*body);
    return message;
}

void Connection::shutDown() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

void Connection::setReadTimeout(int milliseconds) const
{
    timeval time { milliseconds / 1000, (milliseconds % 1000) * 1000 };
    (void)::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

std::string encodeResponse(int status, const std::map<std::string, std::string>& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(uint16_t port, Handler handler)
    : Server(port, [handler = std::move(handler)](Connection& connection) {
        auto request = connection.readMessage();
        return request && handler(*request, connection);
    })
{
}

Server::Server(uint16_t port, RawHandler handler)
    : m_handler(std::move(handler))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    int enabled = 1;
    (void)::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (!bindTo(m_listener, port) || ::listen(m_listener, 1024) != 0)
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    m_acceptor = std::thread([this] { acceptAll(); });
}

void Server::acceptAll()
{
    while (!m_isStopped) {
        auto descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        int enabled = 1;
        (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        auto connection = std::make_shared<Connection>(descriptor);
        std::scoped_lock lock(m_mutex);
        if (m_isStopped)
            return;
        m_connections.insert(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void Server::serve(const std::shared_ptr<Connection>& connection)
{
    auto isOpen = true;
    while (isOpen && !m_isStopped)
        isOpen = m_handler(*connection);
    connection->shutDown();
    std::scoped_lock lock(m_mutex);
    m_connections.erase(connection);
}

void Server::stop()
{
    if (m_isStopped.exchange(true))
        return;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        std::scoped_lock lock(m_mutex);
        for (const auto& connection : m_connections)
            connection->shutDown();
    }
    for (auto& thread : m_threads)
        thread.join();
}

uint16_t findFreePort()
{
    while (true) {
        auto stream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        auto isBound = bindTo(stream, 0) && ::getsockname(stream, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        auto port = ntohs(address.sin_port);
        isBound = isBound && bindTo(datagrams, port);
        ::close(stream);
        ::close(datagrams);
        if (isBound)
            return port;
    }
}

std::string randomName()
{
    static std::mutex mutex;
    static std::mt19937_64 random { std::random_device {}() };
    std::scoped_lock lock(mutex);
    std::ostringstream text;
    text << std::hex << (random() | (uint64_t(1) << 63));
    return text.str();
}

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

} // namespace review
