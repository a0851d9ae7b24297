#include "MembershipSimulation.h"

#include "peers/codec/PeerMessage.h"

#include <algorithm>
#include <stdexcept>

namespace chestnut {

namespace {

    /** Bytes that nng adds to a message: a length of 8 bytes and a request id of 4. */
    constexpr size_t framingBytes = 12;
    /** Every so many rounds a node contacts an address of the VM list that is not a member, as NngPeerService does. */
    constexpr uint64_t bootstrapRounds = 5;

    constexpr size_t decodedEvery = 8;

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

std::optional<HeartbeatPayload> MembershipSimulation::transmit(Node& from, const HeartbeatPayload& news)
{
    const auto& self = from.table.self;
    auto bytes = encodePeerMessage({ "tanner-ruddock", {}, self.id, self.incarnation, {}, "heartbeat", encodeHeartbeatPayload(news) });
    from.bytesSent += bytes.size() + framingBytes;
    ++from.messagesSent;
    spendHeartbeatBytes(from.budget, bytes.size() + framingBytes);
    // Decoding every message would take a third of the simulation's time; the codec is the same for all.
    if (m_messages++ % decodedEvery != 0)
        return news;
    auto decoded = decodeHeartbeatPayload(decodePeerMessage(bytes).value().body);
    if (decoded != news)
        throw std::logic_error("a heartbeat changed on the wire");
    return decoded;
}

void MembershipSimulation::merge(Node& node, const HeartbeatPayload& news)
{
    auto outcome = mergeHeartbeatPayload(node.table, news, m_now);
    if (outcome.conflict == IncarnationConflict::None)
        return;
    ++renewals;
    renewIncarnation(node.table, 0, outcome.conflictingRecord);
}

void MembershipSimulation::exchange(Node& from, Node& to, const HeartbeatPayload* notice)
{
    auto request = transmit(from, composeHeartbeatPayload(from.table, m_now, m_random, allowedPayloadBytes(from.budget, m_now), notice));
    if (!to.runs || !allows(from, to))
        return;
    merge(to, *request);
    auto reply = transmit(to, composeHeartbeatPayload(to.table, m_now, m_random, allowedPayloadBytes(to.budget, m_now), &*request));
    merge(from, *reply);
}

void MembershipSimulation::beat(Node& node)
{
    for (const auto& change : expireMembers(node.table, m_now)) {
        if (change.state == MemberState::Dropped && find(change.id)->runs)
            ++falseRemovals;
        suspicions += change.state == MemberState::Suspected;
    }
    incrementOwnCounter(node.table);
    // Applies the newest revision heard of, as the configuration service does after it pulled the document.
    for (const auto& [id, member] : node.table.others)
        node.table.self.revision = std::max(node.table.self.revision, member.record.revision);
    auto targets = chooseHeartbeatTargets(node.table, m_random);
    if (auto removed = takeRemovedButAlive(node.table, m_random)) {
        HeartbeatPayload notice { *removed, {}, {}, {}, {}, {} };
        exchange(node, *find(removed->id), &notice);
        targets.resize(std::min(targets.size(), randomHeartbeatTargets));
    }
    for (const auto& target : targets)
        exchange(node, *find(target.id));
    if (node.table.self.counter % bootstrapRounds != 0)
        return;
    auto& stranger = nodes[m_random() % nodes.size()];
    if (&stranger != &node && !node.table.others.contains(stranger.table.self.id))
        exchange(node, stranger);
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
            beat(*node);
    }
    m_now = start + heartbeatPeriod;
}

void MembershipSimulation::skipIdleTime(Duration duration)
{
    auto beats = static_cast<uint64_t>(duration / heartbeatPeriod);
    m_now += duration;
    for (auto& node : nodes) {
        node.table.self.counter += node.runs ? beats : 0;
        for (auto& [id, member] : node.table.others) {
            member.record.counter += beats;
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

bool MembershipSimulation::everyoneSeesRevision(Revision revision) const
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
            auto known = node.table.others.find(other.table.self.id);
            count += node.runs && other.runs && known != node.table.others.end() && known->second.isSuspected;
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
