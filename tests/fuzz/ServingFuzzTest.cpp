#include "decisions/claims/ClaimKey.h"
#include "decisions/hedging/Hedging.h"
#include "decisions/quarantine/RequestQuarantine.h"
#include "frontend/streams/StreamId.h"
#include "frontend/streams/StreamStore.h"
#include "support/FixedSeed.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <doctest/doctest.h>

using namespace chestnut;

namespace {

constexpr size_t daemonCount = 3;
constexpr size_t engineCount = 3;
constexpr uint64_t streamLength = 12;
constexpr int defaultRuns = 300;

enum class Variant : uint8_t {
    Correct,
    OwnerByIdOnly, /**< the owner of a daemon key is looked up without comparing its incarnation */
    ResumesAtOwnPosition, /**< a resumed stream continues after the last token of the daemon, not after the last one that the caller received */
    HedgesEverything, /**< calls that are not idempotent are hedged too */
    CrossedResponseAccepted, /**< responses are accepted without comparing their request id */
    LossesNotShared, /**< daemons do not exchange loss histories */
};

constexpr std::array<const char*, 5> checkNames { "a daemon key runs once", "every token is delivered once", "only idempotent calls are hedged",
    "no response of another request", "a quarantine applies on all daemons" };
constexpr std::array<const char*, 5> variantNames { "owner found by id only", "stream resumes at the daemon's position", "all calls hedged",
    "crossed response accepted", "loss histories not shared" };

enum class CommandKind : uint8_t {
    Issue, /**< a issues a daemon key */
    KeyCall, /**< a receives a call with key b */
    Renew, /**< a takes a new incarnation and keeps its state */
    Restart, /**< a restarts without its state */
    Isolate, /**< a is disconnected from its peers, or connected again */
    Read, /**< the stream's caller reads tokens from a; b sets how many */
    LoseEngine, /**< the stream's engine fails */
    Call, /**< a call that may be hedged; odd b: not idempotent */
    Cross, /**< the responses to the next two engine requests are swapped */
    Poison, /**< a sends a request that crashes its engine */
    Exchange, /**< daemons exchange loss histories in heartbeats */
};
constexpr int commandKinds = 11;

struct Command {
    CommandKind kind = CommandKind::Issue;
    uint8_t a = 0;
    uint8_t b = 0;
};

std::ostream& operator<<(std::ostream& stream, const Command& command)
{
    constexpr std::array<const char*, commandKinds> names { "issue", "key_call", "renew", "restart", "isolate", "read", "lose_engine", "call", "cross", "poison", "exchange" };
    return stream << names.at(static_cast<size_t>(command.kind)) << "(" << int { command.a } << "," << int { command.b } << ")";
}

std::string tokenText(uint64_t index)
{
    return "t" + std::to_string(index) + " ";
}

/** Simulates daemons that serve daemon keys, resumed streams, hedged calls and a poison request, and checks the results. */
class ServingSimulation {
public:
    explicit ServingSimulation(Variant variant)
        : m_variant(variant)
    {
        for (size_t i = 0; i < daemonCount; ++i)
            m_daemons[i].id = DaemonId("d" + std::to_string(i));
        // Enough earlier calls for a learned quantile and a budget of a few hedges.
        m_budget.requests = 100;
        for (int i = 0; i < 100; ++i)
            addSample(m_latencies, 1);
    }

    void apply(const Command& command)
    {
        m_now += std::chrono::seconds(3);
        auto& daemon = m_daemons[command.a % daemonCount];
        switch (command.kind) {
        case CommandKind::Issue:
            m_keys.push_back(daemonKeyPrefix(daemon.id, daemon.incarnation) + ".1700000000-k" + std::to_string(m_keys.size()));
            return;
        case CommandKind::KeyCall:
            return m_keys.empty() ? void() : callWithKey(daemon, m_keys[command.b % m_keys.size()]);
        case CommandKind::Renew:
            ++daemon.incarnation;
            return;
        case CommandKind::Restart:
            return restart(daemon);
        case CommandKind::Isolate:
            daemon.isIsolated = !daemon.isIsolated;
            return;
        case CommandKind::Read:
            return readStream(daemon, 1 + command.b % 4);
        case CommandKind::LoseEngine:
            ++m_engine;
            return;
        case CommandKind::Call:
            return hedgedCall(command.b % 2 == 0, command.b % 3 == 0);
        case CommandKind::Cross:
            m_isCrossingNext = true;
            return;
        case CommandKind::Poison:
            return sendPoison(daemon);
        case CommandKind::Exchange:
            return exchange();
        }
    }

    /** The caller reads the rest of its stream from the first daemon. */
    void settle()
    {
        readStream(m_daemons[0], streamLength);
        check(1, m_received == streamLength);
    }

    std::optional<size_t> violatedCheck;

private:
    struct Daemon {
        DaemonId id;
        Incarnation incarnation = 1;
        bool isIsolated = false;
        std::set<Digest> claimed; /**< daemon keys whose call was executed */
        StreamStore streams;
        QuarantineTable quarantine;
    };

    void check(size_t index, bool holds)
    {
        if (!holds && !violatedCheck)
            violatedCheck = index;
    }

    void restart(Daemon& daemon)
    {
        auto next = daemon.incarnation + 1;
        auto id = daemon.id;
        for (auto& loss : m_losses)
            loss.recordedBy.erase(daemon.id);
        daemon = Daemon();
        daemon.id = id;
        daemon.incarnation = next;
    }

    bool ownsKey(const Daemon& daemon, const std::string& prefix) const
    {
        for (Incarnation incarnation = m_variant == Variant::OwnerByIdOnly ? 1 : daemon.incarnation; incarnation <= daemon.incarnation; ++incarnation) {
            if (daemonKeyPrefix(daemon.id, incarnation) == prefix)
                return true;
        }
        return false;
    }

    /** The daemon forwards the call to the key's owner; without a reachable owner the outcome is unknown. */
    void callWithKey(const Daemon& daemon, const std::string& text)
    {
        auto key = parseClaimKey(text);
        RC_ASSERT(key.has_value());
        RC_ASSERT(!key->isShared());
        for (auto& owner : m_daemons) {
            bool isReached = owner.id == daemon.id || (!owner.isIsolated && !daemon.isIsolated);
            if (!isReached || !ownsKey(owner, key->ownerPrefix))
                continue;
            if (owner.claimed.insert(claimIdOf(AccountId("one"), text)).second)
                check(0, ++m_keyRuns[text] == 1);
            return;
        }
    }

    std::string engineStreamId() const
    {
        return formatStreamId({ EngineId("e" + std::to_string(m_engine)), RequestId("r1"), digestPrefixOf(digestOf("body")) });
    }

    std::shared_ptr<StreamRecord> findOrCreateRecord(Daemon& daemon)
    {
        if (auto record = m_streamId.empty() ? nullptr : daemon.streams.find(m_streamId))
            return record;
        auto record = std::make_shared<StreamRecord>();
        // A daemon that did not accept the stream has only its id and continues after the last token that the caller received.
        RC_ASSERT(m_streamId.empty() || parseStreamId(m_streamId).has_value());
        record->firstIndex = m_received + 1;
        record->streamId = engineStreamId();
        daemon.streams.add(record);
        return record;
    }

    void readStream(Daemon& daemon, uint64_t count)
    {
        auto record = findOrCreateRecord(daemon);
        m_streamId = record->streamId;
        auto from = m_variant == Variant::ResumesAtOwnPosition ? record->lastIndex() + 1 : m_received + 1;
        // The daemon reads further than its caller, whose connection ends after some tokens.
        auto readUntil = std::min(streamLength, from + count + 1);
        while (record->lastIndex() < readUntil)
            record->tokens.push_back(tokenText(record->lastIndex() + 1));
        for (auto index = from; index < from + count && index <= streamLength; ++index) {
            if (index < record->firstIndex)
                return;
            check(1, index == m_received + 1 && record->tokens.at(index - record->firstIndex) == tokenText(index));
            m_received = std::max(m_received, index);
        }
        RC_ASSERT(record->firstIndex != 1 || record->textThrough(1) == tokenText(1));
    }

    /** Returns the request id in an engine's response; a crossed response contains the id of another request. */
    std::string responseTo(const std::string& request)
    {
        auto response = request;
        if (!m_crossedResponse.empty())
            response = std::exchange(m_crossedResponse, "");
        else if (std::exchange(m_isCrossingNext, false))
            m_crossedResponse = request, response = "other";
        return response;
    }

    void hedgedCall(bool isIdempotent, bool isSlow)
    {
        m_budget.requests += 1;
        auto request = "q" + std::to_string(++m_requests);
        size_t attempts = 1;
        HedgeQuery query { isIdempotent || m_variant == Variant::HedgesEverything, false, PriorityClass::Live, std::chrono::milliseconds(100), false, 1 };
        if (isSlow && hedgeDelay(query, m_latencies, m_budget)) {
            ++attempts;
            m_budget.hedges += 1;
        }
        check(2, isIdempotent || attempts == 1);
        check(2, m_budget.hedges <= m_budget.requests * 0.05);
        std::optional<std::string> delivered;
        for (size_t i = 0; i < attempts && !delivered; ++i) {
            auto response = responseTo(request);
            if (response == request || m_variant == Variant::CrossedResponseAccepted)
                delivered = response;
        }
        check(3, !delivered || *delivered == request);
    }

    void sendPoison(Daemon& daemon)
    {
        if (isQuarantined(daemon.quarantine, m_poison, m_now))
            return;
        // Losses of one engine that several daemons recorded count once, because merging has to be idempotent.
        std::set<ReplicaId> lostReplicas;
        for (const auto& loss : m_losses) {
            if (loss.recordedBy.contains(daemon.id) && m_now - loss.at < quarantineTime)
                lostReplicas.insert(loss.replica);
        }
        check(4, lostReplicas.size() < lossesToQuarantine);
        ReplicaId replica("e" + std::to_string(m_losses.size() % engineCount));
        m_losses.push_back({ replica, m_now, { daemon.id } });
        recordLoss(daemon.quarantine, replica, std::span(&m_poison, 1), m_now);
    }

    /** Every connected daemon sends its loss histories to all others. */
    void exchange()
    {
        auto before = m_daemons;
        for (auto& to : m_daemons) {
            for (const auto& from : before) {
                if (!to.isIsolated && !from.isIsolated)
                    shareLosses(from, to);
            }
        }
    }

    void shareLosses(const Daemon& from, Daemon& to)
    {
        for (auto& loss : m_losses) {
            if (loss.recordedBy.contains(from.id))
                loss.recordedBy.insert(to.id);
        }
        if (m_variant == Variant::LossesNotShared)
            return;
        for (const auto& [digest, history] : from.quarantine.lossHistories)
            mergeLossHistory(to.quarantine, digest, history, m_now);
    }

    struct Loss {
        ReplicaId replica;
        TimePoint at;
        std::set<DaemonId> recordedBy; /**< daemons that recorded the loss or received it in a heartbeat */
    };

    Variant m_variant;
    std::array<Daemon, daemonCount> m_daemons;
    TimePoint m_now { Duration::zero() };
    std::vector<std::string> m_keys;
    std::map<std::string, int> m_keyRuns;
    std::string m_streamId; /**< the newest one that the caller received */
    size_t m_engine = 0;
    uint64_t m_received = 0; /**< index of the last token that the caller received */
    LatencyQuantiles m_latencies;
    HedgeBudget m_budget;
    uint64_t m_requests = 0;
    bool m_isCrossingNext = false;
    std::string m_crossedResponse; /**< response that the next request receives */
    Digest m_poison = digestOf("poison");
    std::vector<Loss> m_losses;
};

/** Runs random histories and sets `caught` to the index of the violated check. */
rc::detail::TestResult runHistories(Variant variant, uint64_t seed, int runs, std::optional<size_t>* caught = nullptr)
{
    return runWithSeed("serving", seed, runs, [=] {
        auto kind = rc::gen::map(rc::gen::inRange<int>(0, commandKinds), [](int value) { return static_cast<CommandKind>(value); });
        auto number = rc::gen::inRange<uint8_t>(0, 12);
        auto command = rc::gen::build<Command>(rc::gen::set(&Command::kind, kind), rc::gen::set(&Command::a, number), rc::gen::set(&Command::b, number));
        ServingSimulation simulation(variant);
        for (const auto& next : *rc::gen::container<std::vector<Command>>(command))
            simulation.apply(next);
        simulation.settle();
        if (!simulation.violatedCheck)
            return;
        if (caught)
            *caught = simulation.violatedCheck;
        RC_FAIL(checkNames.at(*simulation.violatedCheck));
    });
}

} // namespace

// Guards against histories in which a daemon key runs twice, a resumed stream repeats or loses a token, a call that is not
// idempotent is hedged, a caller gets another caller's response, or a poison request reaches engines after its quarantine.
TEST_CASE("daemon keys, streams, hedges and quarantines stay correct in random histories")
{
    const char* runsFromEnvironment = std::getenv("CHESTNUT_FUZZ_RUNS");
    for (uint64_t seed : { 211, 212 }) {
        auto result = runHistories(Variant::Correct, seed, runsFromEnvironment ? std::max(1, std::atoi(runsFromEnvironment)) : defaultRuns);
        bool holds = result.is<rc::detail::SuccessResult>();
        if (!holds) {
            std::cerr << "seed " << seed << ": ";
            rc::detail::printResultMessage(result, std::cerr);
        }
        CHECK(holds);
    }
}

// Guards against a check that cannot fail.
TEST_CASE("each known-wrong variant of serving is caught by its check")
{
    for (size_t i = 0; i < variantNames.size(); ++i) {
        std::optional<size_t> caught;
        auto result = runHistories(static_cast<Variant>(i + 1), 213, defaultRuns, &caught);
        rc::detail::FailureResult failure;
        int run = result.match(failure) ? failure.numSuccess + 1 : 0;
        std::cout << "variant \"" << variantNames.at(i) << "\" caught by " << (caught ? checkNames.at(*caught) : "nothing") << " in run " << run << "\n";
        CHECK_MESSAGE(caught == i, std::string(variantNames.at(i)));
    }
}
