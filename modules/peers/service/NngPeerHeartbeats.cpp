#include "peers/service/NngPeerState.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    using nlohmann::json;

    constexpr Duration heartbeatTimeout = std::chrono::seconds(1);
    /** How often the end of the farewell heartbeats is checked. */
    constexpr Duration farewellCheck = std::chrono::milliseconds(20);
    /** Every so many heartbeats one address that belongs to no member is contacted: a seed, or a removed member, so that
        the two sides of a healed partition find each other. */
    constexpr uint64_t bootstrapRounds = 5;
    /** In its first heartbeats a daemon contacts all seeds, and not one in five heartbeats: until its peers know it, it neither
        hears their warnings nor reaches them with its own. */
    constexpr uint64_t startRounds = 2;
    /** Bounds the messages of a start. */
    constexpr size_t maximumStartContacts = 16;
    constexpr size_t maximumExtensionBytes = 1024;
    /** Extensions reduce the bytes for membership news down to this. */
    constexpr size_t leastNewsBytes = 600;
    /** Renewals within a minute that indicate a second process with the same id. */
    constexpr size_t renewalsOfConflict = 3;

    std::string_view nameOf(MemberState state)
    {
        constexpr std::array<std::string_view, 5> names { "joining", "ready", "leaving", "suspected", "dropped" };
        return names.at(static_cast<size_t>(state));
    }

} // namespace

void NngPeerService::State::beat()
{
    publish(expireMembers(table, timers.now()));
    m_transport.closeIdle();
    incrementOwnCounter(table);
    auto targets = chooseHeartbeatTargets(table, m_random);
    if (auto removed = takeRemovedButAlive(table, m_random)) {
        spawnHeartbeat(removed->peerAddress, removed);
        targets.resize(std::min(targets.size(), randomHeartbeatTargets));
    }
    for (const auto& target : targets)
        spawnHeartbeat(target.peerAddress);
    if (m_beats++ < startRounds)
        contactStrangers(maximumStartContacts);
    else if (table.others.empty() || table.self.counter % bootstrapRounds == 0)
        contactStrangers(1);
}

std::vector<std::string> NngPeerService::State::strangers() const
{
    std::set<std::string> addresses;
    for (const auto& endpoint : options.seeds)
        addresses.insert(formatEndpoint(endpoint));
    for (const auto& endpoint : bootstrap ? bootstrap() : std::vector<Endpoint>())
        addresses.insert(formatEndpoint(endpoint));
    for (const auto& [id, record] : table.removed)
        addresses.insert(record.peerAddress);
    addresses.erase(table.self.peerAddress);
    for (const auto& [id, member] : table.others)
        addresses.erase(member.record.peerAddress);
    return { addresses.begin(), addresses.end() };
}

void NngPeerService::State::contactStrangers(size_t most)
{
    auto addresses = strangers();
    std::ranges::shuffle(addresses, m_random);
    addresses.resize(std::min(addresses.size(), most));
    for (const auto& address : addresses)
        spawnHeartbeat(address);
}

void NngPeerService::State::spawnHeartbeat(std::string address, std::optional<MemberRecord> removed)
{
    asio::co_spawn(
        context, [](std::shared_ptr<State> state, std::string receiver, std::optional<MemberRecord> notice) -> asio::awaitable<void> {
            co_await state->sendHeartbeat(std::move(receiver), std::move(notice));
        }(shared_from_this(), std::move(address), std::move(removed)),
        asio::detached);
}

asio::awaitable<void> NngPeerService::State::sendHeartbeat(std::string address, std::optional<MemberRecord> removed)
{
    // A peer that has not answered the previous heartbeat gets no further one, so that a paused one collects none.
    if (!m_heartbeatsInFlight.insert(address).second)
        co_return;
    HeartbeatPayload notice;
    if (removed)
        notice.own = *removed;
    auto heartbeat = composeHeartbeat(removed ? &notice : nullptr);
    auto reply = co_await exchange(address, DaemonId(), heartbeatType, std::move(heartbeat), heartbeatTimeout);
    m_heartbeatsInFlight.erase(address);
    HeartbeatPayload news;
    if (reply && !m_isClosed)
        (void)acceptHeartbeat(DaemonId(), *reply, news);
}

json NngPeerService::State::composeExtensions(size_t& bytes)
{
    auto values = json::object();
    for (const auto& extension : extensions) {
        auto value = extension.produce();
        auto size = json::to_cbor(value).size();
        if (size > maximumExtensionBytes) {
            logRefusal("extension " + extension.key, makeError(ErrorKind::BodyTooLarge, std::to_string(size) + " bytes"));
            continue;
        }
        bytes += size + extension.key.size();
        values[extension.key] = std::move(value);
    }
    return values;
}

json NngPeerService::State::composeHeartbeat(const HeartbeatPayload* request)
{
    size_t extensionBytes = 0;
    auto values = composeExtensions(extensionBytes);
    auto allowed = allowedPayloadBytes(m_budget, timers.now());
    auto payloadBytes = std::max(std::min(allowed, leastNewsBytes), allowed - std::min(allowed, extensionBytes));
    auto body = encodeHeartbeatPayload(composeHeartbeatPayload(table, timers.now(), m_random, payloadBytes, request));
    body["extensions"] = std::move(values);
    return body;
}

Result<void> NngPeerService::State::acceptHeartbeat(const DaemonId& sender, const json& body, HeartbeatPayload& news)
{
    auto decoded = decodeHeartbeatPayload(body);
    if (!decoded)
        return makeError(ErrorKind::ProtocolError, "malformed heartbeat");
    if (!sender.empty() && sender != decoded->own.id)
        return makeError(ErrorKind::ProtocolError, "the heartbeat's record is not the sender's");
    news = std::move(*decoded);
    auto outcome = mergeHeartbeatPayload(table, news, timers.now());
    resolveConflict(outcome);
    publish(outcome.changes);
    auto values = body.find("extensions");
    if (values == body.end() || !values->is_object() || news.own.id == table.self.id)
        return {};
    for (const auto& extension : extensions) {
        if (auto value = values->find(extension.key); value != values->end())
            extension.consume(news.own.id, *value);
    }
    return {};
}

void NngPeerService::State::resolveConflict(const MergeOutcome& outcome)
{
    if (outcome.conflict == IncarnationConflict::None)
        return;
    auto now = timers.now();
    std::erase_if(m_renewals, [&](TimePoint time) { return now - time > refusalLogPeriod; });
    // Two processes with one id would otherwise renew at each other's heartbeats without a bound.
    if (!m_renewals.empty() && now - m_renewals.back() < heartbeatPeriod)
        return;
    m_renewals.push_back(now);
    auto before = table.self.incarnation;
    renewIncarnation(table, static_cast<Incarnation>(timers.wallClock().count()) * 1000, outcome.conflictingRecord);
    const auto& other = *outcome.conflictingRecord;
    bool isSecondProcess = other.peerAddress != table.self.peerAddress || m_renewals.size() >= renewalsOfConflict;
    auto event = isSecondProcess ? EventId::IdentityConflict : EventId::IncarnationRenewed;
    auto reason = outcome.conflict == IncarnationConflict::AnnouncedDropped ? "announced_dropped" : "newer_record";
    log.write(event, { { "reason", reason }, { "before", before }, { "after", table.self.incarnation }, { "other_address", other.peerAddress } });
    metrics.count(isSecondProcess ? "chestnut_peer_identity_conflicts_total" : "chestnut_peer_incarnations_renewed_total");
    publish({ table.self });
}

void NngPeerService::State::publish(const std::vector<MemberRecord>& changes)
{
    for (const auto& change : changes) {
        if (change.state == MemberState::Dropped)
            m_transport.disconnect(change.peerAddress);
        log.write(EventId::MemberChanged, { { "member", change.id }, { "incarnation", change.incarnation }, { "state", nameOf(change.state) }, { "revision", change.revision }, { "address", change.peerAddress } });
        auto current = subscribers;
        for (const auto& subscriber : current)
            subscriber(change);
    }
}

asio::awaitable<void> NngPeerService::State::announceDeparture()
{
    if (m_isClosed || table.self.state == MemberState::Dropped)
        co_return;
    m_heartbeats.cancel();
    chestnut::announceDeparture(table);
    for (const auto& target : chooseDepartureTargets(table, m_random)) {
        // A heartbeat that is still in flight carries the state from before.
        m_heartbeatsInFlight.erase(target.peerAddress);
        spawnHeartbeat(target.peerAddress);
    }
    auto end = timers.now() + heartbeatTimeout;
    do {
        co_await timers.sleep(farewellCheck);
    } while (!m_heartbeatsInFlight.empty() && timers.now() < end);
}

} // namespace chestnut
