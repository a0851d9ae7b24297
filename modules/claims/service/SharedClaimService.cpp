#include "claims/service/SharedClaimService.h"

#include "base/errors/MakeResult.h"
#include "kernel/tasks/BackgroundTask.h"

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr auto recordedResponseMessage = "recordedAnswer";
    constexpr Duration recordedResponseTimeout = std::chrono::seconds(1);
    constexpr Duration lookUpTimeout = std::chrono::seconds(1);

    json responseToJson(const RecordedResponse& recorded)
    {
        auto headers = json::array();
        for (const auto& [name, value] : recorded.response.headers.fields())
            headers.push_back(json::array({ name, value }));
        std::vector<uint8_t> body(recorded.response.body.begin(), recorded.response.body.end());
        return { { "status", recorded.response.status }, { "headers", headers }, { "body", json::binary(std::move(body)) } };
    }

    std::optional<HttpResponse> responseFromJson(const json& message)
    {
        try {
            if (!message.contains("status"))
                return std::nullopt;
            HttpResponse response;
            response.status = message.at("status").get<int>();
            for (const auto& field : message.at("headers"))
                response.headers.append(field.at(0).get<std::string>(), field.at(1).get<std::string>());
            const auto& body = message.at("body").get_binary();
            response.body.assign(body.begin(), body.end());
            return response;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    Error alreadyRunError()
    {
        return makeError(ErrorKind::AlreadyRun, "a call with this key has already been claimed");
    }

    Error otherContentError()
    {
        return makeError(ErrorKind::KeyConflict, "the key was used before with another body");
    }

} // namespace

/** A call that this daemon is claiming or has claimed. Losing this state is safe: the next claim gets a new nonce and
    loses against the old claim, so the call is refused. */
struct SharedClaimService::Call {
    enum class State : uint8_t {
        Claiming, /**< a claim is in progress */
        InDoubt, /**< the claim may have been written; a retry uses the same nonce */
        Abandoned, /**< claimed but not dispatched: a retry at this daemon may run */
        Running, /**< granted; the call may have been dispatched */
    };

    Digest content;
    Digest nonce;
    UnixSeconds keyTime { 0 };
    State state = State::Claiming;
    bool wasInDoubt = false;
};

/** Marks a call as in doubt when the coroutine that claims it ends without a decision, for example by cancellation. */
class SharedClaimService::DecisionGuard {
public:
    DecisionGuard(std::shared_ptr<Calls> calls, const Digest& id)
        : m_calls(std::move(calls))
        , m_id(id)
    {
    }
    DecisionGuard(const DecisionGuard&) = delete;
    DecisionGuard& operator=(const DecisionGuard&) = delete;
    ~DecisionGuard()
    {
        auto found = m_calls->find(m_id);
        if (found == m_calls->end() || found->second.state != Call::State::Claiming)
            return;
        found->second.state = Call::State::InDoubt;
        found->second.wasInDoubt = true;
    }

private:
    std::shared_ptr<Calls> m_calls;
    Digest m_id;
};

SharedClaimService::SharedClaimService(ClaimDependencies dependencies, PeerService& peers, uint64_t seed)
    : m_dependencies(dependencies)
    , m_peers(peers)
    , m_rng(seed)
    , m_writers(dependencies, m_rng())
    , m_router(peers, m_writers, m_daemonClaims, dependencies.timers)
    , m_cleaner(std::make_shared<EpochCleaner>(dependencies, [&router = m_router, &peers](ClaimEpoch epoch, unsigned shard) {
        return router.preferredWriter(epoch, shard) == peers.self();
    }))
    , m_calls(std::make_shared<Calls>())
{
}

SharedClaimService::~SharedClaimService() = default;

size_t SharedClaimService::trackedCalls() const
{
    return m_calls->size();
}

void SharedClaimService::start()
{
    m_router.start();
    m_peers.handle(recordedResponseMessage, [this](const DaemonId&, json body) { return handlePeerRequest(std::move(body)); });
    m_cleaningTimer = m_dependencies.timers.every(cleaningPeriod, [this] {
        removeExpired();
        spawnTask(m_dependencies.executor, m_dependencies.log, "claim_cleaning", m_cleaner->clean());
    });
}

std::string SharedClaimService::keyPrefix() const
{
    auto prefix = daemonKeyPrefix(m_peers.self(), m_peers.incarnation());
    m_daemonClaims.addPrefix(prefix);
    return prefix;
}

Result<ClaimKey> SharedClaimService::checkKey(const std::string& text) const
{
    auto key = parseClaimKey(text);
    if (!key)
        return makeError(ErrorKind::BadKey, "the key must be <unix seconds>-<random> or <prefix>.<unix seconds>-<random>");
    switch (keyAge(*key, m_dependencies.timers.wallClock())) {
    case KeyAge::Expired:
        return makeError(ErrorKind::KeyExpired, "the key's time is too far in the past");
    case KeyAge::Ahead:
        return makeError(ErrorKind::BadKey, "the key's time is in the future");
    case KeyAge::Valid:
        break;
    }
    return *key;
}

asio::awaitable<Result<ClaimDecision>> SharedClaimService::claim(AccountId account, std::string keyText, Digest content)
{
    auto key = checkKey(keyText);
    if (!key)
        co_return key.error();
    auto id = claimIdOf(account, keyText);
    if (auto decision = decideLocally(id, content)) {
        logDecision(id, *decision);
        co_return *decision;
    }
    auto& call = trackCall(id, content, key->time);
    ClaimEntry entry { id, content, call.nonce, m_peers.self() };
    DecisionGuard guard(m_calls, id);
    auto decision = co_await decide(std::move(*key), std::move(entry));
    logDecision(id, decision);
    co_return decision;
}

std::optional<Result<ClaimDecision>> SharedClaimService::decideLocally(const Digest& id, const Digest& content)
{
    if (auto recorded = m_responses.find(id, m_dependencies.timers.now())) {
        if (recorded->content != content)
            return otherContentError();
        return Result<ClaimDecision>(ClaimCompleted { std::move(recorded->response) });
    }
    auto found = m_calls->find(id);
    if (found == m_calls->end())
        return std::nullopt;
    auto& call = found->second;
    if (call.content != content)
        return otherContentError();
    if (call.state == Call::State::InDoubt)
        return std::nullopt;
    if (call.state != Call::State::Abandoned)
        return alreadyRunError();
    call.state = Call::State::Running;
    return Result<ClaimDecision>(ClaimGranted {});
}

std::optional<Result<ClaimDecision>> SharedClaimService::localDecision(AccountId account, const std::string& keyText, const Digest& content) const
{
    auto key = checkKey(keyText);
    if (!key)
        return std::nullopt;
    auto id = claimIdOf(account, keyText);
    if (auto recorded = m_responses.find(id, m_dependencies.timers.now())) {
        if (recorded->content != content)
            return otherContentError();
        return Result<ClaimDecision>(ClaimCompleted { std::move(recorded->response) });
    }
    auto found = m_calls->find(id);
    if (found == m_calls->end())
        return m_daemonClaims.contains(id) ? std::optional<Result<ClaimDecision>>(alreadyRunError()) : std::nullopt;
    const auto& call = found->second;
    if (call.content != content)
        return otherContentError();
    if (call.state == Call::State::Abandoned)
        return std::nullopt;
    if (call.state == Call::State::InDoubt)
        return makeError(ErrorKind::OutcomeUnknown, "the claim of an earlier attempt may have been written");
    return alreadyRunError();
}

asio::awaitable<std::optional<Error>> SharedClaimService::findClaimInLog(AccountId account, std::string keyText, Digest content)
{
    auto key = checkKey(keyText);
    if (!key || !key->isShared())
        co_return std::nullopt;
    auto id = claimIdOf(account, keyText);
    auto log = claimLogOf(*key, id);
    auto& reader = m_readers[log];
    if (!reader)
        reader = std::make_shared<ShardReader>(m_dependencies, log);
    auto shared = reader;
    auto calls = m_calls;
    auto claim = co_await shared->find(id, lookUpTimeout);
    if (!claim)
        co_return std::nullopt;
    if (claim->content != content)
        co_return otherContentError();
    auto ownCall = calls->find(id);
    if (ownCall != calls->end() && ownCall->second.state == Call::State::Abandoned)
        co_return std::nullopt;
    co_return alreadyRunError();
}

SharedClaimService::Call& SharedClaimService::trackCall(const Digest& id, const Digest& content, UnixSeconds keyTime)
{
    auto [row, isNew] = m_calls->try_emplace(id);
    if (isNew)
        row->second = { content, makeNonce(), keyTime, Call::State::Claiming, false };
    row->second.state = Call::State::Claiming;
    return row->second;
}

Digest SharedClaimService::makeNonce()
{
    // Daemon, incarnation and counter keep it unique even if two daemons use the same seed.
    return digestOf(daemonKeyPrefix(m_peers.self(), m_peers.incarnation()) + "\n" + std::to_string(++m_lastNonce) + "\n" + std::to_string(m_rng()));
}

asio::awaitable<Result<ClaimDecision>> SharedClaimService::decide(ClaimKey key, ClaimEntry entry)
{
    auto winner = co_await m_router.decide(std::move(key), entry);
    if (!winner)
        co_return handleClaimError(entry.id, winner.error());
    auto outcome = classifyClaim(*winner, entry);
    if (outcome == ClaimOutcome::Granted) {
        m_calls->at(entry.id).state = Call::State::Running;
        co_return ClaimDecision(ClaimGranted {});
    }
    // Another claim has won, so this one can be discarded.
    m_calls->erase(entry.id);
    if (outcome == ClaimOutcome::OtherContent)
        co_return otherContentError();
    co_return co_await respondToDuplicate(std::move(*winner));
}

Result<ClaimDecision> SharedClaimService::handleClaimError(const Digest& id, Error error)
{
    auto& call = m_calls->at(id);
    bool isNotClaimed = error.kind == ErrorKind::ClaimUnavailable;
    if (isNotClaimed && !call.wasInDoubt) {
        m_calls->erase(id);
        return error;
    }
    call.state = Call::State::InDoubt;
    call.wasInDoubt = true;
    if (error.kind == ErrorKind::KeyExpired)
        return error;
    // The claim of this or an earlier attempt may have been written.
    return makeError(ErrorKind::OutcomeUnknown, error.detail);
}

asio::awaitable<Result<ClaimDecision>> SharedClaimService::respondToDuplicate(ClaimEntry winner)
{
    if (winner.holder == m_peers.self())
        co_return alreadyRunError();
    json request { { "entry", entryToJson(winner) } };
    auto reply = co_await m_peers.call(winner.holder, recordedResponseMessage, std::move(request), recordedResponseTimeout);
    if (!reply)
        co_return alreadyRunError();
    auto response = responseFromJson(*reply);
    if (!response)
        co_return alreadyRunError();
    co_return ClaimDecision(ClaimCompleted { std::move(*response) });
}

asio::awaitable<Result<json>> SharedClaimService::handlePeerRequest(json body)
{
    try {
        auto entry = entryFromJson(body.at("entry"));
        auto recorded = m_responses.find(entry.id, m_dependencies.timers.now());
        if (!recorded || recorded->content != entry.content)
            co_return makeResult(json::object());
        co_return makeResult(responseToJson(*recorded));
    } catch (const std::exception& exception) {
        co_return makeError(ErrorKind::ProtocolError, std::string("unreadable request for a recorded response: ") + exception.what());
    }
}

void SharedClaimService::complete(AccountId account, const std::string& key, HttpResponse response)
{
    auto id = claimIdOf(account, key);
    auto found = m_calls->find(id);
    if (found == m_calls->end() || found->second.state != Call::State::Running)
        return;
    m_responses.add({ id, found->second.content, std::move(response) }, m_dependencies.timers.now());
    m_calls->erase(found);
}

void SharedClaimService::abandon(AccountId account, const std::string& key)
{
    auto found = m_calls->find(claimIdOf(account, key));
    if (found != m_calls->end() && found->second.state == Call::State::Running)
        found->second.state = Call::State::Abandoned;
}

void SharedClaimService::removeExpired()
{
    auto now = m_dependencies.timers.wallClock();
    m_writers.evictUnused(now);
    std::erase_if(m_readers, [now](const auto& row) { return isEpochClosable(row.first.epoch, now); });
    std::erase_if(*m_calls, [now](const auto& row) {
        const auto& call = row.second;
        return call.state != Call::State::Claiming && call.keyTime < now - sharedKeyLifetime;
    });
}

void SharedClaimService::logDecision(const Digest& id, const Result<ClaimDecision>& decision)
{
    std::string_view outcome = "granted";
    if (!decision)
        outcome = describe(decision.error().kind).name;
    else if (std::holds_alternative<ClaimCompleted>(*decision))
        outcome = "answered";
    m_dependencies.log.write(EventId::ClaimDecided, { { "claim", toHex(id) }, { "outcome", outcome } });
    m_dependencies.metrics.count("chestnut_claims_total", { { "outcome", std::string(outcome) } });
}

} // namespace chestnut
