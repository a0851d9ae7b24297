#include "claims/service/ClaimRouter.h"

#include "base/errors/MakeResult.h"

#include <algorithm>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr auto claimMessage = "claim";

    bool canWrite(const MemberRecord& member)
    {
        return member.state == MemberState::Ready || member.state == MemberState::Joining;
    }

    json toMessage(const ClaimKey& key, const ClaimEntry& entry)
    {
        return { { "owner", key.ownerPrefix }, { "time", key.time.count() }, { "shard", claimShardOf(entry.id) },
            { "entries", json::array({ entryToJson(entry) }) } };
    }

    json toReply(const Result<ClaimEntry>& result)
    {
        if (result)
            return { { "entry", entryToJson(*result) } };
        return { { "error", describe(result.error().kind).name }, { "detail", result.error().detail } };
    }

    /** An unreadable reply is reported as OutcomeUnknown, as the claim may have been made. */
    Result<ClaimEntry> fromReply(const json& reply, const Digest& id)
    {
        try {
            const auto& first = reply.at("results").at(0);
            if (first.contains("entry")) {
                auto entry = entryFromJson(first.at("entry"));
                if (entry.id != id)
                    return makeError(ErrorKind::OutcomeUnknown, "the reply is for another claim");
                return entry;
            }
            auto kind = errorKindFromName(first.at("error").get<std::string>()).value_or(ErrorKind::OutcomeUnknown);
            return makeError(kind, first.value("detail", std::string()));
        } catch (const std::exception& exception) {
            return makeError(ErrorKind::OutcomeUnknown, std::string("unreadable claim reply: ") + exception.what());
        }
    }

    /** True when the error proves that the attempt has not made the claim. */
    bool provesNotClaimed(const Error& error)
    {
        return error.kind == ErrorKind::ClaimUnavailable || error.kind == ErrorKind::ConnectFailed;
    }

} // namespace

ClaimRouter::ClaimRouter(PeerService& peers, ShardWriters& writers, DaemonClaims& daemonClaims, TimerService& timers)
    : m_peers(peers)
    , m_writers(writers)
    , m_daemonClaims(daemonClaims)
    , m_timers(timers)
{
}

void ClaimRouter::start()
{
    m_peers.handle(claimMessage, [this](DaemonId sender, json body) { return handlePeerRequest(std::move(sender), std::move(body)); });
}

std::vector<DaemonId> ClaimRouter::rankedWriters(ClaimEpoch epoch, unsigned shard) const
{
    auto key = claimRecordPrefix(epoch, shard);
    std::vector<std::pair<uint64_t, DaemonId>> scored;
    for (const auto& member : m_peers.members()) {
        if (canWrite(member) || member.id == m_peers.self())
            scored.emplace_back(rendezvousScore(key, member.id.value()), member.id);
    }
    std::ranges::sort(scored, std::greater<>());
    std::vector<DaemonId> ranked;
    ranked.reserve(scored.size());
    for (auto& [score, id] : scored)
        ranked.push_back(std::move(id));
    return ranked;
}

DaemonId ClaimRouter::preferredWriter(ClaimEpoch epoch, unsigned shard) const
{
    auto ranked = rankedWriters(epoch, shard);
    return ranked.empty() ? m_peers.self() : ranked.front();
}

std::optional<DaemonId> ClaimRouter::ownerOf(const std::string& prefix) const
{
    for (const auto& member : m_peers.members()) {
        if (daemonKeyPrefix(member.id, member.incarnation) == prefix)
            return member.id;
    }
    return std::nullopt;
}

asio::awaitable<std::optional<DaemonId>> ClaimRouter::awaitOwner(std::string prefix)
{
    constexpr Duration lookupPeriod = std::chrono::milliseconds(100);
    auto end = m_timers.now() + ownerSearchTime;
    auto owner = ownerOf(prefix);
    while (!owner && m_timers.now() < end) {
        co_await m_timers.sleep(lookupPeriod);
        owner = ownerOf(prefix);
    }
    co_return owner;
}

asio::awaitable<Result<ClaimEntry>> ClaimRouter::decide(ClaimKey key, ClaimEntry entry)
{
    if (key.isShared())
        co_return co_await decideShared(std::move(key), std::move(entry));
    co_return co_await decideAtOwner(std::move(key), std::move(entry));
}

asio::awaitable<Result<ClaimEntry>> ClaimRouter::decideAtOwner(ClaimKey key, ClaimEntry entry)
{
    if (m_daemonClaims.owns(key.ownerPrefix))
        co_return co_await decideHere(std::move(key), std::move(entry));
    // Only the owner stores whether the call was claimed before, so without it the outcome is unknown.
    auto owner = co_await awaitOwner(key.ownerPrefix);
    if (!owner || *owner == m_peers.self())
        co_return makeError(ErrorKind::OutcomeUnknown, "no live member owns the key");
    auto winner = co_await requestDecision(*owner, std::move(key), std::move(entry));
    if (!winner && winner.error().kind == ErrorKind::ConnectFailed)
        co_return makeError(ErrorKind::OutcomeUnknown, "the daemon that owns the key cannot be reached");
    co_return winner;
}

asio::awaitable<Result<ClaimEntry>> ClaimRouter::decideShared(ClaimKey key, ClaimEntry entry)
{
    auto ranked = rankedWriters(claimEpochOf(key.time), claimShardOf(entry.id));
    std::vector<DaemonId> attempts;
    std::ranges::remove_copy(ranked, std::back_inserter(attempts), m_peers.self());
    // Tries the preferred writer, then this daemon, then one more peer, which may reach the key-value service.
    auto ownPosition = !ranked.empty() && ranked.front() == m_peers.self() ? attempts.begin() : attempts.begin() + !attempts.empty();
    attempts.insert(ownPosition, m_peers.self());
    attempts.resize(std::min<size_t>(attempts.size(), 3));
    bool mayBeWritten = false;
    for (const auto& writer : attempts) {
        auto winner = co_await requestDecision(writer, key, entry);
        if (winner || winner.error().kind == ErrorKind::KeyExpired)
            co_return winner;
        mayBeWritten = mayBeWritten || !provesNotClaimed(winner.error());
    }
    if (mayBeWritten)
        co_return makeError(ErrorKind::OutcomeUnknown, "the claim may have been written");
    co_return Error { ErrorKind::ClaimUnavailable, "no daemon could write the claim", std::chrono::seconds(1) };
}

asio::awaitable<Result<ClaimEntry>> ClaimRouter::requestDecision(DaemonId daemon, ClaimKey key, ClaimEntry entry)
{
    if (daemon == m_peers.self())
        co_return co_await decideHere(std::move(key), std::move(entry));
    auto id = entry.id;
    auto reply = co_await m_peers.call(std::move(daemon), claimMessage, toMessage(key, entry), forwardTimeout);
    if (!reply)
        co_return reply.error();
    co_return fromReply(*reply, id);
}

asio::awaitable<Result<ClaimEntry>> ClaimRouter::decideHere(ClaimKey key, ClaimEntry entry)
{
    if (!key.isShared())
        co_return m_daemonClaims.claim(entry, key.time, m_timers.wallClock());
    auto writer = m_writers.findOrCreateWriter(claimLogOf(key, entry.id));
    co_return co_await writer->submit(std::move(entry), writeLimit);
}

asio::awaitable<Result<json>> ClaimRouter::handlePeerRequest(DaemonId sender, json body)
{
    ClaimKey key;
    std::vector<ClaimEntry> entries;
    try {
        key = { body.at("owner").get<std::string>(), UnixSeconds(body.at("time").get<int64_t>()) };
        for (const auto& row : body.at("entries"))
            entries.push_back(entryFromJson(row));
    } catch (const std::exception& exception) {
        co_return makeError(ErrorKind::ProtocolError, std::string("unreadable claim message: ") + exception.what());
    }
    auto results = json::array();
    for (auto& entry : entries) {
        entry.holder = sender;
        bool isOwned = key.isShared() || m_daemonClaims.owns(key.ownerPrefix);
        auto notOwned = Result<ClaimEntry>(makeError(ErrorKind::OutcomeUnknown, "this daemon does not own the key"));
        results.push_back(toReply(isOwned ? co_await decideHere(key, entry) : notOwned));
    }
    co_return makeResult(json { { "results", std::move(results) } });
}

} // namespace chestnut
