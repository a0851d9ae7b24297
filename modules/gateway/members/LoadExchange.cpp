#include "gateway/members/LoadExchange.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace chestnut {

using asio::ip::udp;
using boost::system::error_code;
using nlohmann::json;

namespace {

    constexpr Duration tickPeriod = std::chrono::milliseconds(50);
    /** Time that each other daemon adds to the period, so that a daemon receives at most 100 messages a second. */
    constexpr Duration periodPerDaemon = std::chrono::milliseconds(10);
    constexpr size_t maximumDatagram = 8192;
    constexpr int messageVersion = 1;
    /** A replica that a peer names as paused is left alone for this long; each further message prolongs it. */
    constexpr Duration newsPause = std::chrono::milliseconds(500);

    json encodeWork(const std::vector<ReplicaWork>& work)
    {
        auto list = json::array();
        for (const auto& item : work)
            list.push_back({ item.replica.value(), item.requests, static_cast<int64_t>(item.prefillTokens), static_cast<int64_t>(item.deferredTokens) });
        return list;
    }

    json encodeLosses(const std::vector<CrashLoss>& losses)
    {
        auto list = json::array();
        for (const auto& loss : losses)
            list.push_back({ toHex(loss.content), loss.attempt.value(), loss.replica.value() });
        return list;
    }

    std::vector<ReplicaWork> decodeWork(const json& list)
    {
        std::vector<ReplicaWork> work;
        for (const auto& item : list)
            work.push_back({ ReplicaId(item.at(0).get<std::string>()), item.at(1).get<uint32_t>(), item.at(2).get<double>(), item.at(3).get<double>() });
        return work;
    }

    std::vector<CrashLoss> decodeLosses(const json& list)
    {
        std::vector<CrashLoss> losses;
        for (const auto& item : list) {
            if (auto content = digestFromHex(item.at(0).get<std::string>()))
                losses.push_back({ *content, RequestId(item.at(1).get<std::string>()), ReplicaId(item.at(2).get<std::string>()) });
        }
        return losses;
    }

    std::vector<ReplicaId> decodeReplicas(const json& list)
    {
        std::vector<ReplicaId> replicas;
        for (const auto& item : list)
            replicas.emplace_back(item.get<std::string>());
        return replicas;
    }

    std::vector<std::string> valuesOf(const std::vector<ReplicaId>& replicas)
    {
        std::vector<std::string> values;
        std::ranges::transform(replicas, std::back_inserter(values), &ReplicaId::value);
        return values;
    }

} // namespace

std::string encodeLoadNews(const LoadNews& news)
{
    json document {
        { "v", messageVersion },
        { "from", encodeDaemonRecord(news.sender) },
        { "leaving", news.isLeaving },
        { "work", encodeWork(news.work) },
        { "losses", encodeLosses(news.losses) },
        { "gone", valuesOf(news.leavingReplicas) },
        { "paused", valuesOf(news.pausedReplicas) },
    };
    auto bytes = json::to_cbor(document);
    return { bytes.begin(), bytes.end() };
}

Result<LoadNews> decodeLoadNews(std::string_view datagram)
{
    auto document = json::from_cbor(datagram.begin(), datagram.end(), true, false);
    if (!document.is_object() || document.value("v", 0) != messageVersion)
        return makeError(ErrorKind::ProtocolError, "datagram is no load news of a known version");
    try {
        auto sender = decodeDaemonRecord(document.at("from").get<std::string>());
        if (!sender)
            return sender.error();
        return LoadNews { std::move(*sender), document.at("leaving").get<bool>(), decodeWork(document.at("work")), decodeLosses(document.at("losses")), decodeReplicas(document.at("gone")), decodeReplicas(document.at("paused")) };
    } catch (const json::exception& exception) {
        return makeError(ErrorKind::ProtocolError, exception.what());
    }
}

LoadExchange::LoadExchange(asio::io_context& context, TimerService& timers, Log& log, DaemonDirectory& directory, std::shared_ptr<LoadBoard> board, CrashLosses& losses, ReplicaDirectory& replicas)
    : m_context(context)
    , m_timers(timers)
    , m_log(log)
    , m_directory(directory)
    , m_board(std::move(board))
    , m_losses(losses)
    , m_replicas(replicas)
    , m_socket(context, udp::endpoint(asio::ip::make_address(directory.self().peers.address), directory.self().peers.port))
{
}

void LoadExchange::start()
{
    m_socket.non_blocking(true);
    asio::co_spawn(m_context, receiveAll(), asio::detached);
    m_timer = m_timers.every(tickPeriod, [this] { sendAll(); });
}

void LoadExchange::announceLeaving()
{
    m_isLeaving = true;
    m_sentAt = {};
    sendAll();
}

Duration LoadExchange::period() const
{
    return std::max(tickPeriod, periodPerDaemon * m_directory.activeDaemons());
}

asio::awaitable<void> LoadExchange::receiveAll()
{
    std::array<char, maximumDatagram> buffer {};
    while (m_socket.is_open()) {
        error_code error;
        udp::endpoint sender;
        auto size = co_await m_socket.async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            receive({ buffer.data(), size });
    }
}

void LoadExchange::receive(std::string_view datagram)
{
    auto news = decodeLoadNews(datagram);
    if (!news) {
        m_log.write(EventId::PeerMessageRefused, { { "detail", news.error().detail } });
        return;
    }
    m_directory.heard(news->sender, news->isLeaving);
    m_board->setPeerWork(news->sender.id, std::move(news->work));
    for (const auto& loss : news->losses)
        m_losses.add(loss);
    for (const auto& replica : news->leavingReplicas)
        m_replicas.peerSaysLeaving(replica);
    for (const auto& replica : news->pausedReplicas)
        m_replicas.pause(replica, newsPause);
}

void LoadExchange::sendAll()
{
    auto now = m_timers.now();
    m_board->expirePeers();
    if (now - m_sentAt < period() - tickPeriod / 2)
        return;
    m_sentAt = now;
    auto datagram = encodeLoadNews({ m_directory.self(), m_isLeaving, m_board->ownWork(), m_losses.recent(), m_replicas.leaving(), m_replicas.orderedPauses() });
    for (const auto& view : m_directory.others()) {
        error_code error;
        udp::endpoint target(asio::ip::make_address(view.record.peers.address, error), view.record.peers.port);
        if (!error)
            m_socket.send_to(asio::buffer(datagram), target, 0, error);
        // A datagram that cannot be sent now is replaced by the next one; the peer's silence is what others act on.
    }
}

} // namespace chestnut
