#include "claims/FakePeers.h"

#include <boost/asio/co_spawn.hpp>

namespace chestnut {

using Reply = Result<nlohmann::json>;

namespace {

    constexpr std::chrono::milliseconds replyPollPeriod(2);
    constexpr std::chrono::milliseconds oneWayLatency(1);

    Error noReplyError()
    {
        return makeError(ErrorKind::OutcomeUnknown, "the peer did not reply in time");
    }

} // namespace

FakePeers::FakePeers(FakePeerNetwork& network, TimerService& ownTimers, DaemonId id, Incarnation incarnation)
    : m_network(network)
    , m_timers(ownTimers)
{
    m_record.id = std::move(id);
    m_record.incarnation = incarnation;
    m_record.state = MemberState::Ready;
    m_network.daemons[m_record.id] = this;
}

void FakePeers::handle(std::string type, PeerHandler handler)
{
    m_handlers[type] = std::move(handler);
}

asio::awaitable<Reply> FakePeers::call(DaemonId receiver, std::string type, nlohmann::json body, Duration timeout)
{
    co_await m_timers.sleep(oneWayLatency);
    auto found = m_network.daemons.find(receiver);
    if (found == m_network.daemons.end() || found->second->isDown || isDown)
        co_return makeError(ErrorKind::ConnectFailed, "refused");
    auto& peer = *found->second;
    auto end = m_timers.now() + timeout;
    auto reply = std::make_shared<std::optional<Reply>>();
    if (!peer.isUnresponsive) {
        // Encodes and decodes the body as CBOR, as between processes.
        auto decoded = nlohmann::json::from_cbor(nlohmann::json::to_cbor(body));
        auto store = [reply](std::exception_ptr, Reply result) { *reply = std::move(result); };
        asio::co_spawn(m_network.executor, peer.m_handlers.at(type)(m_record.id, std::move(decoded)), store);
    }
    while (!*reply && m_timers.now() < end)
        co_await m_timers.sleep(replyPollPeriod);
    if (!*reply || peer.isDown || peer.isUnresponsive)
        co_return noReplyError();
    if (peer.lostReplies > 0) {
        --peer.lostReplies;
        co_return noReplyError();
    }
    co_return **reply;
}

std::vector<MemberRecord> FakePeers::members() const
{
    std::vector<MemberRecord> records;
    for (const auto& [id, peers] : m_network.daemons) {
        if (!peers->isUndiscovered || peers == this)
            records.push_back(peers->m_record);
    }
    return records;
}

std::optional<MemberRecord> FakePeers::member(const DaemonId& id) const
{
    auto found = m_network.daemons.find(id);
    if (found == m_network.daemons.end())
        return std::nullopt;
    return found->second->m_record;
}

} // namespace chestnut
