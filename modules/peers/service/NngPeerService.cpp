#include "peers/service/NngPeerService.h"

#include "peers/service/NngPeerState.h"

#include <cassert>

namespace chestnut {

NngPeerService::NngPeerService(asio::io_context& context, TimerService& timers, Log& log, Metrics& metrics, NngPeerOptions options, Bootstrap bootstrap, LinkFilter linkFilter)
    : m_state(std::make_shared<State>(context, timers, log, metrics, std::move(options), std::move(bootstrap), std::move(linkFilter)))
{
}

NngPeerService::~NngPeerService()
{
    m_state->close();
}

void NngPeerService::start()
{
    m_state->start();
}

asio::awaitable<void> NngPeerService::stop()
{
    auto state = m_state;
    co_await state->announceDeparture();
    state->close();
}

void NngPeerService::handle(std::string type, PeerHandler handler)
{
    [[maybe_unused]] bool isNew = m_state->handlers.emplace(std::move(type), std::move(handler)).second;
    assert(isNew);
}

void NngPeerService::extendHeartbeat(HeartbeatExtension extension)
{
    m_state->extensions.push_back(std::move(extension));
}

asio::awaitable<Result<nlohmann::json>> NngPeerService::call(DaemonId receiver, std::string type, nlohmann::json body, Duration timeout)
{
    auto state = m_state;
    co_return co_await state->call(std::move(receiver), std::move(type), std::move(body), timeout);
}

std::vector<MemberRecord> NngPeerService::members() const
{
    std::map<DaemonId, MemberRecord> byId { { m_state->table.self.id, m_state->table.self } };
    for (const auto& [id, member] : m_state->table.others)
        byId.emplace(id, visibleRecord(member));
    std::vector<MemberRecord> records;
    records.reserve(byId.size());
    for (auto& [id, record] : byId)
        records.push_back(std::move(record));
    return records;
}

std::optional<MemberRecord> NngPeerService::member(const DaemonId& id) const
{
    if (id == m_state->table.self.id)
        return m_state->table.self;
    auto entry = m_state->table.others.find(id);
    if (entry == m_state->table.others.end())
        return std::nullopt;
    return visibleRecord(entry->second);
}

const DaemonId& NngPeerService::self() const
{
    return m_state->table.self.id;
}

Incarnation NngPeerService::incarnation() const
{
    return m_state->table.self.incarnation;
}

void NngPeerService::announceState(MemberState state)
{
    m_state->table.self.state = state;
    m_state->announceChange();
}

void NngPeerService::announceRevision(Revision revision)
{
    assert(revision >= m_state->table.self.revision);
    m_state->table.self.revision = revision;
    m_state->announceChange();
}

void NngPeerService::announceLoad(uint32_t loadPermille)
{
    // No announceChange(): the next heartbeat increases the counter and contains the load.
    m_state->table.self.loadPermille = loadPermille;
}

void NngPeerService::onMemberChange(std::function<void(const MemberRecord&)> subscriber)
{
    m_state->subscribers.push_back(std::move(subscriber));
}

} // namespace chestnut
