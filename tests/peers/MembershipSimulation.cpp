#include "MembershipSimulation.h"

#include "peers/codec/PeerMessage.h"

#include <algorithm>
#include <stdexcept>

namespace chestnut {

namespace {

    /** Bytes that nng adds to a message: a length of 8 bytes and a request id of 4. */
    constexpr size_t framingBytes = 12;
    /** Once in this many rounds, a node contacts an address of the VM list that is not a member, as NngPeerService does. */
    constexpr uint64_t bootstrapRounds = 5;

    constexpr size_t messagesPerDecoding = 8;

    MemberRecord recordOf(size_t index, size_t zones, size_t regions)
    {
        auto number = std::to_string(index);
        auto zone = index % zones;
        MemberRecord record;
        record.id = DaemonId("entry-" + number);
        record.incarnation = 1'700'000'000'000 + index;
        record.counter = 1;
        record.state = MemberState::Ready;
        record.zone = AvailabilityZone("zone-" + std::to_string(zone));
        record.region = Region("region-" + std::to_string(zone % regions));
        record.callerAddress = "10.100." + std::to_string(100 + index / 200) + "." + std::to_string(index % 200) + ":8000";
        record.peerAddress = "10.100." + std::to_string(100 + index / 200) + "." + std::to_string(index % 200) + ":8001";
        record.revision = 1;
        return record;
    }

} // namespace

MembershipSimulation::MembershipSimulation(size_t count, size_t zones, size_t regions, uint64_t seed)
    : m_random(seed)
{
    nodes.resize(count);
    for (size_t i = 0; i < count; ++i) {
        nodes[i].table.self = recordOf(i, zones, regions);
        m_indexes[nodes[i].table.self.id] = i;
        nodes[i].phase = Duration(m_random() % static_cast<uint64_t>(heartbeatPeriod.count()));
    }
}

void MembershipSimulation::fillAllTables()
{
    for (auto& node : nodes) {
        for (const auto& other : nodes)
            mergeHeartbeatPayload(node.table, { other.table.self, {}, {}, {}, {}, {} }, m_now);
        for (auto& [id, member] : node.table.others)
            member.recordSent = transmissionsPerChange;
    }
}

MembershipSimulation::Node* MembershipSimulation::find(const DaemonId& id)
{
    auto index = m_indexes.find(id);
    return index == m_indexes.end() ? nullptr : &nodes[index->second];
}

std::optional<HeartbeatPayload> MembershipSimulation::transmit(Node& from, const HeartbeatPayload& heartbeat)
{
    const auto& self = from.table.self;
    auto bytes = encodePeerMessage({ "tanner-ruddock", {}, self.id, self.incarnation, {}, "heartbeat", encodeHeartbeatPayload(heartbeat) });
    from.bytesSent += bytes.size() + framingBytes;
    ++from.messagesSent;
    spendHeartbeatBytes(from.budget, bytes.size() + framingBytes);
    // Only a sample is decoded, because decoding all messages would take 1/3 of the simulation's time.
    if (m_messages++ % messagesPerDecoding != 0)
        return heartbeat;
    auto decoded = decodeHeartbeatPayload(decodePeerMessage(bytes).value().body);
    if (decoded != heartbeat)
        throw std::logic_error("a heartbeat changed when it was encoded and decoded");
    return decoded;
}

void MembershipSimulation::merge(Node& node, const HeartbeatPayload& heartbeat)
{
    auto outcome = mergeHeartbeatPayload(node.table, heartbeat, m_now);
    if (outcome.conflict == IncarnationConflict::None)
        return;
    ++renewals;
    renewIncarnation(node.table, 0, outcome.conflictingRecord);
}

void MembershipSimulation::exchange(Node& from, Node& to, const HeartbeatPayload* removalNotice)
{
    auto request = transmit(from, composeHeartbeatPayload(from.table, m_now, m_random, allowedPayloadBytes(from.budget, m_now), removalNotice));
    if (!to.runs || !allows(from, to))
        return;
    merge(to, *request);
    auto reply = transmit(to, composeHeartbeatPayload(to.table, m_now, m_random, allowedPayloadBytes(to.budget, m_now), &*request));
    merge(from, *reply);
}

void MembershipSimulation::runHeartbeat(Node& node)
{
    for (const auto& change : expireMembers(node.table, m_now)) {
        if (change.state == MemberState::Dropped && find(change.id)->runs)
            ++falseRemovals;
        suspicions += change.state == MemberState::Suspected;
    }
    incrementOwnCounter(node.table);
    // Applies the newest revision of all members, as the configuration service does after it has fetched the document.
    for (const auto& [id, member] : node.table.others)
        node.table.self.revision = std::max(node.table.self.revision, member.record.revision);
    auto targets = chooseHeartbeatTargets(node.table, m_random);
    if (auto removed = takeRemovedButAlive(node.table, m_random)) {
        HeartbeatPayload removalNotice { *removed, {}, {}, {}, {}, {} };
        exchange(node, *find(removed->id), &removalNotice);
        targets.resize(std::min(targets.size(), randomHeartbeatTargets));
    }
    for (const auto& target : targets)
        exchange(node, *find(target.id));
    if (node.table.self.counter % bootstrapRounds != 0)
        return;
    auto& candidate = nodes[m_random() % nodes.size()];
    if (&candidate != &node && !node.table.others.contains(candidate.table.self.id))
        exchange(node, candidate);
}

void MembershipSimulation::runRound()
{
    std::vector<Node*> order;
    for (auto& node : nodes)
        order.push_back(&node);
    std::ranges::sort(order, {}, &Node::phase);
    auto start = m_now;
    for (auto* node : order) {
        m_now = start + node->phase;
        if (node->runs)
            runHeartbeat(*node);
    }
    m_now = start + heartbeatPeriod;
}

void MembershipSimulation::skipIdleTime(Duration duration)
{
    auto rounds = static_cast<uint64_t>(duration / heartbeatPeriod);
    m_now += duration;
    for (auto& node : nodes) {
        node.table.self.counter += node.runs ? rounds : 0;
        for (auto& [id, member] : node.table.others) {
            member.record.counter += rounds;
            member.counterIncreasedAt += duration;
        }
    }
}

void MembershipSimulation::leave(Node& node)
{
    announceDeparture(node.table);
    for (const auto& target : chooseDepartureTargets(node.table, m_random))
        exchange(node, *find(target.id));
    node.runs = false;
}

std::optional<size_t> MembershipSimulation::runUntil(const std::function<bool()>& condition, size_t limit)
{
    for (size_t round = 0; round <= limit; ++round) {
        if (condition())
            return round;
        runRound();
    }
    return std::nullopt;
}

bool MembershipSimulation::allTablesHaveMembers(size_t count) const
{
    return std::ranges::all_of(nodes, [&](const Node& node) { return !node.runs || node.table.others.size() + 1 == count; });
}

bool MembershipSimulation::revisionReachedAll(Revision revision) const
{
    return std::ranges::all_of(nodes, [&](const Node& node) {
        auto isNewer = [&](const auto& entry) { return entry.second.record.revision >= revision; };
        return !node.runs || node.table.self.revision >= revision || std::ranges::any_of(node.table.others, isNewer);
    });
}

bool MembershipSimulation::allRecordsHaveRevision(Revision revision) const
{
    return std::ranges::all_of(nodes, [&](const Node& node) {
        auto isNewer = [&](const auto& entry) { return entry.second.record.revision >= revision; };
        return !node.runs || (node.table.self.revision >= revision && std::ranges::all_of(node.table.others, isNewer));
    });
}

bool MembershipSimulation::isRemovedEverywhere(const DaemonId& id) const
{
    return std::ranges::none_of(nodes, [&](const Node& node) { return node.runs && node.table.others.contains(id); });
}

size_t MembershipSimulation::falseSuspicions() const
{
    size_t count = 0;
    for (const auto& node : nodes) {
        for (const auto& other : nodes) {
            auto entry = node.table.others.find(other.table.self.id);
            count += node.runs && other.runs && entry != node.table.others.end() && entry->second.isSuspected;
        }
    }
    return count;
}

MembershipSimulation::Traffic MembershipSimulation::measureTraffic(size_t rounds)
{
    resetTraffic();
    for (size_t i = 0; i < rounds; ++i)
        runRound();
    return trafficSince(rounds);
}

void MembershipSimulation::resetTraffic()
{
    for (auto& node : nodes)
        node.bytesSent = node.messagesSent = 0;
}

MembershipSimulation::Traffic MembershipSimulation::trafficSince(size_t rounds) const
{
    Traffic traffic;
    auto seconds = toSeconds(heartbeatPeriod) * static_cast<double>(rounds);
    for (const auto& node : nodes) {
        auto rate = static_cast<double>(node.bytesSent) / seconds;
        traffic.mean += rate / static_cast<double>(nodes.size());
        traffic.messages += static_cast<double>(node.messagesSent) / seconds / static_cast<double>(nodes.size());
        traffic.largest = std::max(traffic.largest, rate);
    }
    return traffic;
}

} // namespace chestnut
