#include "peers/service/NngPeerState.h"

#include "base/errors/MakeResult.h"

#include <boost/asio/co_spawn.hpp>
#include <stdexcept>

namespace chestnut {

namespace {

    using nlohmann::json;

    constexpr auto errorType = "error";
    constexpr size_t maximumLoggedSenders = 1024;
    /** Maximum number of concurrent requests other than heartbeats. The remaining contexts are reserved for heartbeats. */
    constexpr size_t maximumConcurrentRequests = NngTransport::maximumRequests - 16;

} // namespace

void NngPeerService::State::start()
{
    std::weak_ptr<State> weak = weak_from_this();
    auto bound = m_transport.listen(options.listenAddress, [weak](std::string request) -> asio::awaitable<std::string> {
        // This lambda is not a coroutine; the coroutine that it returns owns the state.
        auto state = weak.lock();
        if (!state)
            throw std::runtime_error("the peer service was destroyed");
        return [](std::shared_ptr<State> owner, std::string bytes) -> asio::awaitable<std::string> {
            co_return co_await owner->handleRequest(std::move(bytes));
        }(state, std::move(request));
    });
    if (!bound)
        throw std::runtime_error("cannot listen on " + formatEndpoint(options.listenAddress) + ": " + bound.error().detail);
    table.self.peerAddress = formatEndpoint(*bound);
    log.write(EventId::ListenerStarted, { { "listener", "peers" }, { "address", table.self.peerAddress } });
    m_heartbeats = timers.every(heartbeatPeriod, [weak] {
        if (auto state = weak.lock())
            state->sendHeartbeats();
    });
}

void NngPeerService::State::close()
{
    m_isClosed = true;
    m_heartbeats.cancel();
    m_transport.close();
}

void NngPeerService::State::announceChange()
{
    // Peers replace a record only by one with a larger counter.
    incrementOwnCounter(table);
}

void NngPeerService::State::countMessage(const char* direction, size_t bytes)
{
    metrics.count("chestnut_peer_messages_total", { { "direction", direction } });
    metrics.count("chestnut_peer_bytes_total", { { "direction", direction } }, static_cast<double>(bytes));
}

std::string NngPeerService::State::encode(DaemonId receiver, std::string type, json body) const
{
    return encodePeerMessage({ options.deployment, options.version, table.self.id, table.self.incarnation, std::move(receiver), std::move(type), std::move(body) });
}

std::optional<Error> NngPeerService::State::rejectionReason(const PeerMessage& message) const
{
    if (message.deployment != options.deployment)
        return makeError(ErrorKind::ProtocolError, "message from another deployment: " + message.deployment);
    if (message.version.major != options.version.major)
        return makeError(ErrorKind::ProtocolError, "unsupported major protocol version " + std::to_string(message.version.major));
    if (!message.receiver.empty() && message.receiver != table.self.id)
        return makeError(ErrorKind::NotFound, "message addressed to daemon " + message.receiver.value());
    return std::nullopt;
}

void NngPeerService::State::logRejection(const std::string& sender, const Error& error)
{
    auto now = timers.now();
    if (m_loggedRejections.size() >= maximumLoggedSenders)
        std::erase_if(m_loggedRejections, [&](const auto& entry) { return now - entry.second >= rejectionLogPeriod; });
    auto [logged, isNew] = m_loggedRejections.try_emplace(sender, now);
    metrics.count("chestnut_peer_messages_refused_total");
    if (!isNew && now - logged->second < rejectionLogPeriod)
        return;
    logged->second = now;
    if (m_loggedRejections.size() > maximumLoggedSenders)
        m_loggedRejections.erase(logged);
    log.write(EventId::PeerMessageRefused, { { "sender", sender }, { "reason", error.detail } });
}

std::string NngPeerService::State::encodeReply(DaemonId receiver, Result<json> result) const
{
    if (!result)
        return encode(std::move(receiver), errorType, encodeError(result.error()));
    auto bytes = encode(receiver, "reply", std::move(*result));
    if (bytes.size() <= maximumPeerMessageBytes)
        return bytes;
    // The handler has run, so the error must not say that the request was not executed.
    return encode(std::move(receiver), errorType, encodeError(makeError(ErrorKind::OutcomeUnknown, "the reply is too large")));
}

asio::awaitable<std::string> NngPeerService::State::handleRequest(std::string request)
{
    countMessage("received", request.size());
    auto message = decodePeerMessage(request);
    std::string reply;
    if (!message) {
        logRejection("(malformed)", message.error());
        reply = encodeReply(DaemonId(), message.error());
    } else if (auto rejection = rejectionReason(*message)) {
        logRejection(message->sender.value(), *rejection);
        reply = encodeReply(message->sender, *rejection);
    } else {
        auto sender = message->sender;
        bool isHeartbeat = message->type == heartbeatType;
        auto result = co_await dispatch(sender, message->type, std::move(message->body));
        reply = encodeReply(sender, std::move(result));
        if (isHeartbeat)
            spendHeartbeatBytes(m_budget, reply.size());
    }
    countMessage("sent", reply.size());
    co_return reply;
}

asio::awaitable<Result<json>> NngPeerService::State::dispatch(DaemonId sender, std::string type, json body)
{
    if (m_isClosed)
        co_return makeError(ErrorKind::Leaving, "the daemon is shutting down");
    if (type == heartbeatType) {
        HeartbeatPayload received;
        if (auto accepted = acceptHeartbeat(sender, body, received); !accepted)
            co_return accepted.error();
        co_return makeResult(composeHeartbeatBody(&received));
    }
    if (m_handledRequests >= maximumConcurrentRequests)
        co_return makeError(ErrorKind::Overloaded, "too many concurrent requests from peers");
    co_return co_await runHandler(std::move(sender), std::move(type), std::move(body));
}

asio::awaitable<Result<json>> NngPeerService::State::runHandler(DaemonId sender, std::string type, json body)
{
    auto found = handlers.find(type);
    if (found == handlers.end())
        co_return makeError(ErrorKind::NotFound, "no handler for messages of type " + type);
    auto handler = found->second;
    ++m_handledRequests;
    Result<json> result = makeError(ErrorKind::Internal, "");
    try {
        result = co_await handler(std::move(sender), std::move(body));
    } catch (const std::exception& exception) {
        log.write(EventId::PeerHandlerFailed, { { "type", type }, { "exception", exception.what() } });
        result = makeError(ErrorKind::Internal, exception.what());
    }
    --m_handledRequests;
    co_return result;
}

asio::awaitable<Result<json>> NngPeerService::State::exchange(std::string address, DaemonId receiver, std::string type, json body, Duration timeout)
{
    if (linkFilter && !linkFilter(address))
        co_return makeError(ErrorKind::ConnectFailed, "the link filter blocks the address");
    bool isHeartbeat = type == heartbeatType;
    auto request = encode(receiver, std::move(type), std::move(body));
    if (request.size() > maximumPeerMessageBytes)
        co_return makeError(ErrorKind::BodyTooLarge, "message exceeds the maximum size: " + std::to_string(request.size()) + " bytes");
    countMessage("sent", request.size());
    if (isHeartbeat)
        spendHeartbeatBytes(m_budget, request.size());
    auto bytes = co_await m_transport.call(std::move(address), std::move(request), timeout);
    if (!bytes)
        co_return bytes.error();
    countMessage("received", bytes->size());
    auto reply = decodePeerMessage(*bytes);
    if (!reply)
        co_return makeError(ErrorKind::OutcomeUnknown, "malformed reply: " + reply.error().detail);
    if (reply->type == errorType)
        co_return decodeError(reply->body);
    if (reply->deployment != options.deployment || (!receiver.empty() && reply->sender != receiver))
        co_return makeError(ErrorKind::OutcomeUnknown, "the reply is from another daemon or deployment: daemon " + reply->sender.value());
    co_return makeResult(std::move(reply->body));
}

asio::awaitable<Result<json>> NngPeerService::State::call(DaemonId receiver, std::string type, json body, Duration timeout)
{
    if (receiver == table.self.id)
        co_return co_await dispatch(receiver, std::move(type), std::move(body));
    auto member = table.others.find(receiver);
    if (member == table.others.end())
        co_return makeError(ErrorKind::ConnectFailed, "daemon " + receiver.value() + " is not a member");
    co_return co_await exchange(member->second.record.peerAddress, receiver, std::move(type), std::move(body), timeout);
}

} // namespace chestnut
