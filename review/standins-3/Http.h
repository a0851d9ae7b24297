#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** A request or a response. Header names are in lower case when received. */
struct Message {
    std::string start; /**< request line or status line */
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
    std::string method() const;
    std::string target() const;
    /** Status of a response, 0 if there is none. */
    int status() const;
};

/** A blocking TCP connection on a loopback address. */
class Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection();

    /** Connects to a port of 127.0.0.1; null if that fails. */
    static std::unique_ptr<Connection> open(uint16_t port);

    bool write(const std::string& bytes);
    /** Reads the start line and the headers. */
    std::optional<Message> readHeader();
    /** Reads a whole message with its body. */
    std::optional<Message> readMessage();
    /** Reads a body of this length and forgets it; the reads are spread over the time. */
    bool skipBody(size_t length, double seconds);
    /** Reads one chunk of a body, empty at its end. */
    std::optional<std::string> readChunk();
    /** Ends all reads and writes, from any thread. */
    void shutDown() const;
    /** Reads fail after this time without a byte. */
    void setReadTimeout(int milliseconds) const;

private:
    bool fill();
    std::optional<std::string> readLine();
    std::optional<std::string> readBytes(size_t count);

    int m_descriptor;
    std::string m_buffer;
};

std::string encodeResponse(int status, const std::map<std::string, std::string>& headers, const std::string& body);

/** Listens on a port of 127.0.0.1 and runs a handler in one thread for each connection. */
class Server {
public:
    using Handler = std::function<bool(const Message&, Connection&)>;
    using RawHandler = std::function<bool(Connection&)>;

    /** The handler answers one request and returns whether the connection stays open. */
    Server(uint16_t port, Handler);
    /** The same with a handler that also reads the request. */
    Server(uint16_t port, RawHandler);
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    ~Server() { stop(); }

    /** Closes the listener and all connections, and waits for their threads. */
    void stop();

private:
    void acceptAll();
    void serve(const std::shared_ptr<Connection>&);

    RawHandler m_handler;
    int m_listener;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** A free TCP and UDP port of 127.0.0.1. */
uint16_t findFreePort();

/** A random name of 16 hexadecimal digits. */
std::string randomName();

/** Seconds on the monotonic clock. */
double now();

void sleepFor(double seconds);

} // namespace review
