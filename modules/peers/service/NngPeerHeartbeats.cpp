#include "peers/service/NngPeerState.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    using nlohmann::json;

    constexpr Duration heartbeatTimeout = std::chrono::seconds(1);
    /** Interval in which announceDeparture() checks whether its last heartbeats are complete. */
    constexpr Duration departurePollPeriod = std::chrono::milliseconds(20);
    /** Once in this many heartbeats, one address of no current member is contacted, such as a seed or a removed member, so
        that the two sides of a healed partition find each other. */
    constexpr uint64_t bootstrapRounds = 5;
    /** Number of heartbeats after its start in which a daemon contacts all such addresses and not one in five heartbeats: until its
        peers list it as a member, it exchanges no loss histories of requests with them. */
    constexpr uint64_t startupRounds = 2;
    /** Maximum number of addresses contacted in each of these heartbeats. */
    constexpr size_t maximumStartupContacts = 16;
    constexpr size_t maximumExtensionBytes = 1024;
    /** Extensions leave at least this many bytes of a heartbeat to the membership payload. */
    constexpr size_t minimumMembershipBytes = 600;
    /** The loss of a zone closes tens of sockets at the same time, which takes less than this many heartbeat rounds. */
    constexpr uint32_t roundsUntilCloseStalled = 5;
    /** Number of new incarnations within a minute that indicates a second process with the same id. */
    constexpr size_t renewalsUntilConflict = 3;

    std::string_view nameOf(MemberState state)
    {
        constexpr std::array<std::string_view, 5> names { "joining", "ready", "leaving", "suspected", "dropped" };
        return names.at(static_cast<size_t>(state));
    }

} // namespace

void NngPeerService::State::sendHeartbeats()
{
    publish(expireMembers(table, timers.now()));
    closeIdleSockets();
    incrementOwnCounter(table);
    auto targets = chooseHeartbeatTargets(table, m_random);
    if (auto removed = takeRemovedButAlive(table, m_random)) {
        spawnHeartbeat(removed->peerAddress, removed);
        targets.resize(std::min(targets.size(), randomHeartbeatTargets));
    }
    for (const auto& target : targets)
        spawnHeartbeat(target.peerAddress);
    if (m_heartbeatRounds++ < startupRounds)
        contactNonMembers(maximumStartupContacts);
    else if (table.others.empty() || table.self.counter % bootstrapRounds == 0)
        contactNonMembers(1);
}

void NngPeerService::State::closeIdleSockets()
{
    auto pending = m_transport.pendingCloses();
    metrics.setGauge("chestnut_peer_sockets_closing", static_cast<double>(pending));
    m_roundsWithStalledCloses = pending >= NngTransport::maximumPendingCloses ? m_roundsWithStalledCloses + 1 : 0;
    if (m_roundsWithStalledCloses == roundsUntilCloseStalled)
        log.write(EventId::PeerCloseStalled, { { "sockets", pending } });
    m_transport.closeIdle();
}

std::vector<std::string> NngPeerService::State::nonMemberAddresses() const
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

void NngPeerService::State::contactNonMembers(size_t maximumContacts)
{
    auto addresses = nonMemberAddresses();
    std::ranges::shuffle(addresses, m_random);
    addresses.resize(std::min(addresses.size(), maximumContacts));
    for (const auto& address : addresses)
        spawnHeartbeat(address);
}

void NngPeerService::State::spawnHeartbeat(std::string address, std::optional<MemberRecord> removed)
{
    asio::co_spawn(
        context, [](std::shared_ptr<State> state, std::string receiver, std::optional<MemberRecord> removalNotice) -> asio::awaitable<void> {
            co_await state->sendHeartbeat(std::move(receiver), std::move(removalNotice));
        }(shared_from_this(), std::move(address), std::move(removed)),
        asio::detached);
}

asio::awaitable<void> NngPeerService::State::sendHeartbeat(std::string address, std::optional<MemberRecord> removed)
{
    // Sends no heartbeat to a peer that has not replied to the previous one, so that none accumulate at a paused peer.
    if (!m_heartbeatsInFlight.insert(address).second)
        co_return;
    HeartbeatPayload removalNotice;
    if (removed)
        removalNotice.own = *removed;
    auto heartbeat = composeHeartbeatBody(removed ? &removalNotice : nullptr);
    auto reply = co_await exchange(address, DaemonId(), heartbeatType, std::move(heartbeat), heartbeatTimeout);
    m_heartbeatsInFlight.erase(address);
    HeartbeatPayload received;
    if (reply && !m_isClosed)
        (void)acceptHeartbeat(DaemonId(), *reply, received);
}

json NngPeerService::State::composeExtensions(size_t& bytes)
{
    auto values = json::object();
    for (const auto& extension : extensions) {
        auto value = extension.produce();
        auto size = json::to_cbor(value).size();
        if (size > maximumExtensionBytes) {
            logRejection("extension " + extension.key, makeError(ErrorKind::BodyTooLarge, std::to_string(size) + " bytes"));
            continue;
        }
        bytes += size + extension.key.size();
        values[extension.key] = std::move(value);
    }
    return values;
}

json NngPeerService::State::composeHeartbeatBody(const HeartbeatPayload* request)
{
    size_t extensionBytes = 0;
    auto values = composeExtensions(extensionBytes);
    auto allowed = allowedPayloadBytes(m_budget, timers.now());
    auto payloadBytes = std::max(std::min(allowed, minimumMembershipBytes), allowed - std::min(allowed, extensionBytes));
    auto body = encodeHeartbeatPayload(composeHeartbeatPayload(table, timers.now(), m_random, payloadBytes, request));
    body["extensions"] = std::move(values);
    return body;
}

Result<void> NngPeerService::State::acceptHeartbeat(const DaemonId& sender, const json& body, HeartbeatPayload& received)
{
    auto decoded = decodeHeartbeatPayload(body);
    if (!decoded)
        return makeError(ErrorKind::ProtocolError, "malformed heartbeat");
    if (!sender.empty() && sender != decoded->own.id)
        return makeError(ErrorKind::ProtocolError, "the id in the heartbeat's own record is not the sender's id");
    received = std::move(*decoded);
    auto outcome = mergeHeartbeatPayload(table, received, timers.now());
    resolveConflict(outcome);
    publish(outcome.changes);
    auto values = body.find("extensions");
    if (values == body.end() || !values->is_object() || received.own.id == table.self.id)
        return {};
    for (const auto& extension : extensions) {
        if (auto value = values->find(extension.key); value != values->end())
            extension.consume(received.own.id, *value);
    }
    return {};
}

void NngPeerService::State::resolveConflict(const MergeOutcome& outcome)
{
    if (outcome.conflict == IncarnationConflict::None)
        return;
    auto now = timers.now();
    std::erase_if(m_renewals, [&](TimePoint time) { return now - time > rejectionLogPeriod; });
    // Without this limit, two processes with the same id would renew their incarnations with each heartbeat of the other.
    if (!m_renewals.empty() && now - m_renewals.back() < heartbeatPeriod)
        return;
    m_renewals.push_back(now);
    auto before = table.self.incarnation;
    renewIncarnation(table, static_cast<Incarnation>(timers.wallClock().count()) * 1000, outcome.conflictingRecord);
    const auto& other = *outcome.conflictingRecord;
    bool isSecondProcess = other.peerAddress != table.self.peerAddress || m_renewals.size() >= renewalsUntilConflict;
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
        // A heartbeat that is still in flight contains the previous state and must not prevent this one.
        m_heartbeatsInFlight.erase(target.peerAddress);
        spawnHeartbeat(target.peerAddress);
    }
    auto end = timers.now() + heartbeatTimeout;
    do {
        co_await timers.sleep(departurePollPeriod);
    } while (!m_heartbeatsInFlight.empty() && timers.now() < end);
}

} // namespace chestnut
