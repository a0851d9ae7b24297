#include "peers/transport/NngTransport.h"

#include "peers/codec/PeerMessage.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstring>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

namespace chestnut {

namespace {

    constexpr nng_duration minimumReconnectDelay = 100; // milliseconds
    constexpr nng_duration maximumReconnectDelay = 1000;
    /** A reply that the peer does not receive is discarded after this time, which frees its context. */
    constexpr nng_duration replySendTimeout = 1000;
    /** The port of a closed listener is free within this time, unless nng does not end one of its connections. */
    constexpr Duration maximumListenerCloseTime = std::chrono::milliseconds(100);
    /** Reconnects after this many calls in a row without a reply, because the peer's address may belong to a new VM. */
    constexpr uint32_t timeoutsUntilReconnect = 3;

    Error transportError(ErrorKind kind, int code)
    {
        return makeError(kind, nng_strerror(code));
    }

    nng_msg* messageOf(std::string_view bytes)
    {
        nng_msg* message = nullptr;
        if (nng_msg_alloc(&message, bytes.size()) != 0)
            throw std::bad_alloc();
        std::memcpy(nng_msg_body(message), bytes.data(), bytes.size());
        return message;
    }

    std::string takeBytes(nng_aio* operation)
    {
        auto* message = nng_aio_get_msg(operation);
        std::string bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
        nng_msg_free(message);
        nng_aio_set_msg(operation, nullptr);
        return bytes;
    }

    void freeMessage(nng_aio* operation)
    {
        if (auto* message = nng_aio_get_msg(operation))
            nng_msg_free(message);
        nng_aio_set_msg(operation, nullptr);
    }

    std::string urlOf(const std::string& address)
    {
        return "tcp://" + address;
    }

    /** An nng context with its asynchronous operation. onCompletion() runs on the io_context. */
    class Operation : public std::enable_shared_from_this<Operation> {
    public:
        Operation(asio::io_context& context, nng_socket socket)
            : m_context(context)
        {
            if (nng_aio_alloc(&m_operation, &Operation::completed, this) != 0)
                throw std::bad_alloc();
            m_openResult = nng_ctx_open(&m_nngContext, socket);
        }
        Operation(const Operation&) = delete;
        Operation& operator=(const Operation&) = delete;
        virtual ~Operation()
        {
            nng_aio_stop(m_operation);
            // A message that arrived during the shutdown, or one that was not sent.
            freeMessage(m_operation);
            nng_aio_free(m_operation);
            if (m_openResult == 0)
                nng_ctx_close(m_nngContext);
        }

        void cancel() { nng_aio_cancel(m_operation); }

    protected:
        virtual void onCompletion() = 0;

        asio::io_context& m_context;
        nng_aio* m_operation = nullptr;
        nng_ctx m_nngContext = NNG_CTX_INITIALIZER;
        int m_openResult = 0;

    private:
        /** Called on a thread of nng. */
        static void completed(void* argument)
        {
            auto* operation = static_cast<Operation*>(argument);
            if (auto self = operation->weak_from_this().lock())
                asio::post(operation->m_context, [self = std::move(self)] { self->onCompletion(); });
        }
    };

} // namespace

/** The REQ socket to one peer. */
class NngTransport::PeerSocket {
public:
    explicit PeerSocket(SocketCloser closer)
        : m_closer(std::move(closer))
    {
    }
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;
    ~PeerSocket()
    {
        if (m_isOpen)
            m_closer.close([socket = socket] { nng_close(socket); }, Duration::zero());
    }

    int open(const std::string& address)
    {
        if (int code = nng_req0_open(&socket); code != 0)
            return code;
        m_isOpen = true;
        // A request that is sent again could be executed twice.
        nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, minimumReconnectDelay);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, maximumReconnectDelay);
        nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, maximumPeerMessageBytes);
        return nng_dial(socket, urlOf(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }

    nng_socket socket = NNG_SOCKET_INITIALIZER;
    TimePoint lastUsed;
    size_t calls = 0;
    uint32_t timeouts = 0; /**< in a row */

private:
    SocketCloser m_closer;
    bool m_isOpen = false;
};

/** A request that waits for its reply. */
class NngTransport::PendingCall final : public Operation {
public:
    enum class Phase : uint8_t {
        Sending,
        Receiving,
        Done,
    };

    PendingCall(asio::io_context& context, std::shared_ptr<PeerSocket> socket)
        : Operation(context, socket->socket)
        , m_socket(std::move(socket))
        , m_wakeUp(context, asio::steady_timer::time_point::max())
    {
        ++m_socket->calls;
    }
    ~PendingCall() override
    {
        // The operation must end before the socket that its context belongs to is closed.
        cancel();
        nng_aio_wait(m_operation);
        --m_socket->calls;
    }

    void send(std::string_view request)
    {
        if (m_openResult != 0) {
            finish(transportError(ErrorKind::ConnectFailed, m_openResult));
            return;
        }
        nng_aio_set_msg(m_operation, messageOf(request));
        nng_ctx_send(m_nngContext, m_operation);
    }

    /** Cancels the call. While the request is being sent, the result of the send determines whether it may have been executed. */
    void expire()
    {
        m_isExpired = true;
        cancel();
    }

    asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        while (m_phase != Phase::Done)
            co_await m_wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    const Result<std::string>& result() const { return m_result; }

protected:
    void onCompletion() override
    {
        int code = nng_aio_result(m_operation);
        if (m_phase == Phase::Sending)
            onSent(code);
        else if (m_phase == Phase::Receiving)
            onReceived(code);
    }

private:
    void onSent(int code)
    {
        if (code != 0) {
            freeMessage(m_operation);
            finish(transportError(ErrorKind::ConnectFailed, code));
            return;
        }
        nng_aio_set_msg(m_operation, nullptr);
        if (m_isExpired) {
            finish(transportError(ErrorKind::OutcomeUnknown, NNG_ETIMEDOUT));
            return;
        }
        m_phase = Phase::Receiving;
        nng_ctx_recv(m_nngContext, m_operation);
    }

    void onReceived(int code)
    {
        if (code != 0)
            finish(transportError(ErrorKind::OutcomeUnknown, m_isExpired ? int { NNG_ETIMEDOUT } : code));
        else
            finish(takeBytes(m_operation));
    }

    void finish(Result<std::string> result)
    {
        m_result = std::move(result);
        m_phase = Phase::Done;
        m_wakeUp.cancel();
    }

    std::shared_ptr<PeerSocket> m_socket;
    asio::steady_timer m_wakeUp;
    Phase m_phase = Phase::Sending;
    bool m_isExpired = false;
    Result<std::string> m_result { std::string() };
};

/** The REP socket and its contexts, each of which handles one request at a time. */
class NngTransport::Listener {
public:
    Listener(asio::io_context& context, SocketCloser closer, RequestHandler handler)
        : m_context(context)
        , m_closer(std::move(closer))
        , m_handler(std::make_shared<RequestHandler>(std::move(handler)))
    {
    }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    ~Listener()
    {
        for (auto& slot : m_slots)
            slot->close();
        m_slots.clear();
        m_closer.close([socket = m_socket] { nng_close(socket); }, maximumListenerCloseTime);
    }

    Result<Endpoint> open(const Endpoint& endpoint)
    {
        if (int code = nng_rep0_open(&m_socket); code != 0)
            return transportError(ErrorKind::ConnectFailed, code);
        nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, maximumPeerMessageBytes);
        nng_listener listener = NNG_LISTENER_INITIALIZER;
        if (int code = nng_listen(m_socket, urlOf(formatEndpoint(endpoint)).c_str(), &listener, 0); code != 0)
            return transportError(ErrorKind::ConnectFailed, code);
        for (size_t i = 0; i < maximumRequests; ++i) {
            m_slots.push_back(std::make_shared<Slot>(m_context, m_socket, m_handler));
            m_slots.back()->receive();
        }
        int port = endpoint.port;
        nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
        return Endpoint { endpoint.address, static_cast<uint16_t>(port) };
    }

private:
    class Slot final : public Operation {
    public:
        Slot(asio::io_context& context, nng_socket socket, std::shared_ptr<RequestHandler> handler)
            : Operation(context, socket)
            , m_handler(std::move(handler))
        {
            nng_aio_set_timeout(m_operation, NNG_DURATION_INFINITE);
        }

        void receive()
        {
            if (m_isClosed || m_openResult != 0)
                return;
            m_isSending = false;
            nng_aio_set_timeout(m_operation, NNG_DURATION_INFINITE);
            nng_ctx_recv(m_nngContext, m_operation);
        }

        void close()
        {
            m_isClosed = true;
            cancel();
        }

    protected:
        void onCompletion() override
        {
            int code = nng_aio_result(m_operation);
            if (m_isSending && code != 0)
                freeMessage(m_operation);
            if (!m_isSending && code == 0) {
                handle(takeBytes(m_operation));
                return;
            }
            bool isStopped = !m_isSending && (code == NNG_ECLOSED || code == NNG_ECANCELED);
            if (!isStopped)
                receive();
        }

    private:
        void handle(std::string request)
        {
            if (m_isClosed)
                return;
            auto self = std::static_pointer_cast<Slot>(shared_from_this());
            asio::co_spawn(m_context, (*m_handler)(std::move(request)), [self](const std::exception_ptr& exception, const std::string& reply) {
                if (exception)
                    self->receive();
                else
                    self->send(reply);
            });
        }

        void send(const std::string& reply)
        {
            if (m_isClosed)
                return;
            m_isSending = true;
            nng_aio_set_msg(m_operation, messageOf(reply));
            nng_aio_set_timeout(m_operation, replySendTimeout);
            nng_ctx_send(m_nngContext, m_operation);
        }

        std::shared_ptr<RequestHandler> m_handler;
        bool m_isSending = false;
        bool m_isClosed = false;
    };

    asio::io_context& m_context;
    SocketCloser m_closer;
    std::shared_ptr<RequestHandler> m_handler;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    std::vector<std::shared_ptr<Slot>> m_slots;
};

NngTransport::NngTransport(asio::io_context& context, TimerService& timers)
    : m_context(context)
    , m_timers(timers)
{
}

NngTransport::~NngTransport()
{
    close();
}

Result<Endpoint> NngTransport::listen(const Endpoint& endpoint, RequestHandler handler)
{
    m_listener = std::make_unique<Listener>(m_context, m_closer, std::move(handler));
    return m_listener->open(endpoint);
}

Result<std::shared_ptr<NngTransport::PeerSocket>> NngTransport::socketFor(const std::string& address)
{
    auto& socket = m_sockets[address];
    if (!socket) {
        auto created = std::make_shared<PeerSocket>(m_closer);
        if (int code = created->open(address); code != 0) {
            m_sockets.erase(address);
            return transportError(ErrorKind::ConnectFailed, code);
        }
        socket = std::move(created);
    }
    socket->lastUsed = m_timers.now();
    return socket;
}

size_t NngTransport::activeCalls()
{
    std::erase_if(m_calls, [](const auto& call) { return call.expired(); });
    return m_calls.size();
}

asio::awaitable<Result<std::string>> NngTransport::call(std::string address, std::string request, Duration timeout)
{
    if (m_isClosed)
        co_return makeError(ErrorKind::ConnectFailed, "the transport is closed");
    auto socket = socketFor(address);
    if (!socket)
        co_return socket.error();
    if (activeCalls() >= maximumCalls || (*socket)->calls >= maximumCallsPerPeer)
        co_return makeError(ErrorKind::Overloaded, "too many outstanding calls to peers");
    auto pending = std::make_shared<PendingCall>(m_context, *socket);
    m_calls.push_back(pending);
    std::weak_ptr<PendingCall> weak = pending;
    auto deadline = m_timers.once(timeout, [weak] {
        if (auto call = weak.lock())
            call->expire();
    });
    pending->send(request);
    co_await pending->wait();
    co_return concludeCall(address, *pending);
}

Result<std::string> NngTransport::concludeCall(const std::string& address, const PendingCall& call)
{
    auto result = call.result();
    auto socket = m_sockets.find(address);
    if (socket == m_sockets.end())
        return result;
    bool isTimeout = result.has_error() && result.error().kind == ErrorKind::OutcomeUnknown;
    socket->second->timeouts = isTimeout ? socket->second->timeouts + 1 : 0;
    if (socket->second->timeouts >= timeoutsUntilReconnect)
        m_sockets.erase(socket);
    return result;
}

void NngTransport::closeIdle()
{
    if (pendingCloses() >= maximumPendingCloses)
        return;
    auto idleSince = m_timers.now() - idleTime;
    std::erase_if(m_sockets, [&](const auto& entry) { return entry.second->calls == 0 && entry.second->lastUsed < idleSince; });
}

void NngTransport::disconnect(const std::string& address)
{
    m_sockets.erase(address);
}

void NngTransport::close()
{
    m_isClosed = true;
    m_listener.reset();
    for (auto& weak : m_calls) {
        if (auto call = weak.lock())
            call->expire();
    }
    m_sockets.clear();
}

} // namespace chestnut
