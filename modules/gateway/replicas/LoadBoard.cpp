#include "gateway/replicas/LoadBoard.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** News of a peer's work comes several times a second; older than this, the peer is taken to have ended. */
    constexpr Duration peerTime = std::chrono::milliseconds(1500);
    /** Weight of a new sample in the fading means. */
    constexpr double sampleWeight = 0.15;
    constexpr double highestSlowdown = 8;
    /** Failures in a row, or a share of failed attempts, that eject a replica. */
    constexpr uint32_t failuresToEject = 3;
    constexpr double failureShareToEject = 0.35;
    constexpr Duration firstEjection = std::chrono::milliseconds(1000);
    constexpr Duration longestEjection = std::chrono::seconds(4);
    /** Parts that an engine was sent longer ago are taken to be evicted. */
    constexpr Duration partTime = std::chrono::seconds(30);
    /** Bounds the memory of remembered parts to about 100 KB for each replica. */
    constexpr size_t maximumParts = 2000;

} // namespace

LoadBoard::LoadBoard(TimerService& timers, Log& log)
    : m_timers(timers)
    , m_log(log)
{
}

LoadBoard::Flight::Flight(std::shared_ptr<LoadBoard> board, ReplicaId replica, double prefillTokens)
    : m_board(std::move(board))
    , m_replica(std::move(replica))
    , m_prefillTokens(prefillTokens)
{
}

LoadBoard::Flight::Flight(Flight&& other) noexcept
    : m_board(std::exchange(other.m_board, nullptr))
    , m_replica(std::move(other.m_replica))
    , m_prefillTokens(other.m_prefillTokens)
{
}

LoadBoard::Flight& LoadBoard::Flight::operator=(Flight&& other) noexcept
{
    if (this == &other)
        return *this;
    end();
    m_board = std::exchange(other.m_board, nullptr);
    m_replica = std::move(other.m_replica);
    m_prefillTokens = other.m_prefillTokens;
    return *this;
}

LoadBoard::Flight::~Flight()
{
    end();
}

void LoadBoard::Flight::end()
{
    auto board = std::exchange(m_board, nullptr);
    if (!board)
        return;
    auto& record = board->m_records[m_replica];
    record.ownRequests -= std::min(record.ownRequests, 1U);
    record.ownTokens = std::max(record.ownTokens - m_prefillTokens, 0.0);
}

LoadBoard::Flight LoadBoard::begin(const ReplicaId& replica, double prefillTokens)
{
    auto& record = m_records[replica];
    ++record.ownRequests;
    record.ownTokens += prefillTokens;
    return { shared_from_this(), replica, prefillTokens };
}

const LoadBoard::Record* LoadBoard::find(const ReplicaId& replica) const
{
    auto found = m_records.find(replica);
    return found == m_records.end() ? nullptr : &found->second;
}

uint32_t LoadBoard::requestsAt(const ReplicaId& replica) const
{
    const auto* record = find(replica);
    return record ? record->ownRequests + record->peerRequests : 0;
}

double LoadBoard::prefillTokensAt(const ReplicaId& replica) const
{
    const auto* record = find(replica);
    return record ? record->ownTokens + record->peerTokens : 0;
}

std::vector<ReplicaWork> LoadBoard::ownWork() const
{
    std::vector<ReplicaWork> work;
    for (const auto& [replica, record] : m_records) {
        if (record.ownRequests > 0)
            work.push_back({ replica, record.ownRequests, record.ownTokens });
    }
    return work;
}

void LoadBoard::subtract(const PeerWork& peer)
{
    for (const auto& work : peer.work) {
        auto& record = m_records[work.replica];
        record.peerRequests -= std::min(record.peerRequests, work.requests);
        record.peerTokens = std::max(record.peerTokens - work.prefillTokens, 0.0);
    }
}

void LoadBoard::setPeerWork(const DaemonId& daemon, std::vector<ReplicaWork> work)
{
    auto& peer = m_peers[daemon];
    subtract(peer);
    peer = { std::move(work), m_timers.now() };
    for (const auto& item : peer.work) {
        auto& record = m_records[item.replica];
        record.peerRequests += item.requests;
        record.peerTokens += item.prefillTokens;
    }
}

void LoadBoard::expirePeers()
{
    auto now = m_timers.now();
    std::erase_if(m_peers, [&](const auto& entry) {
        if (now - entry.second.receivedAt < peerTime)
            return false;
        subtract(entry.second);
        return true;
    });
}

void LoadBoard::recordSuccess(const ReplicaId& replica, double slowdown)
{
    auto& record = m_records[replica];
    record.failuresInRow = 0;
    record.failureShare *= 1 - sampleWeight;
    if (record.failureShare < failureShareToEject / 2)
        record.ejections = 0;
    record.slowdown += (std::clamp(slowdown, 1 / highestSlowdown, highestSlowdown) - record.slowdown) * sampleWeight;
}

void LoadBoard::recordFailure(const ReplicaId& replica)
{
    auto& record = m_records[replica];
    ++record.failuresInRow;
    record.failureShare += (1 - record.failureShare) * sampleWeight;
    auto now = m_timers.now();
    auto isFailing = record.failuresInRow >= failuresToEject || record.failureShare >= failureShareToEject;
    if (!isFailing || now < record.ejectedUntil)
        return;
    auto time = std::min(firstEjection * (1U << std::min(record.ejections, 4U)), longestEjection);
    ++record.ejections;
    record.ejectedUntil = now + time;
    // One more failure after its return ejects it again.
    record.failuresInRow = failuresToEject - 1;
    record.failureShare = failureShareToEject / 2;
    m_log.write(EventId::ReplicaHealthChanged, { { "replica", replica }, { "state", "ejected" }, { "ms", time.count() / 1000 }, { "in_row", record.ejections } });
}

void LoadBoard::recordRefusal(const ReplicaId& replica, uint32_t slots)
{
    if (requestsAt(replica) < slots)
        recordFailure(replica);
}

bool LoadBoard::isEjected(const ReplicaId& replica) const
{
    const auto* record = find(replica);
    return record && m_timers.now() < record->ejectedUntil;
}

double LoadBoard::slowdown(const ReplicaId& replica) const
{
    const auto* record = find(replica);
    return record ? record->slowdown : 1;
}

void LoadBoard::recordParts(const ReplicaId& replica, const std::vector<uint64_t>& parts)
{
    auto& record = m_records[replica];
    auto now = m_timers.now();
    for (auto part : parts)
        record.parts[part] = now;
    if (record.parts.size() > maximumParts)
        std::erase_if(record.parts, [now](const auto& entry) { return now - entry.second > partTime / 3; });
}

bool LoadBoard::hasPart(const ReplicaId& replica, uint64_t part) const
{
    const auto* record = find(replica);
    if (!record)
        return false;
    auto found = record->parts.find(part);
    return found != record->parts.end() && m_timers.now() - found->second < partTime;
}

void LoadBoard::forget(const ReplicaId& replica)
{
    auto found = m_records.find(replica);
    if (found == m_records.end())
        return;
    auto& record = found->second;
    record.parts.clear();
    record.slowdown = 1;
    record.failureShare = 0;
    record.failuresInRow = 0;
    record.ejections = 0;
    record.ejectedUntil = {};
}

} // namespace chestnut
