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

enum class Wrong : uint8_t {
    Nothing,
    OwnerByIdOnly, /**< the owner of a daemon key is found without its incarnation */
    ResumesAtOwnPosition, /**< a resumed stream goes on after what the daemon holds, not after what the caller has */
    HedgesEverything, /**< calls that are not idempotent are hedged too */
    CrossedAnswerTaken, /**< the request id of an answer is not compared */
    SuspectsNotShared, /**< daemons do not exchange suspicions */
};

constexpr std::array<const char*, 5> checks { "daemon key runs once", "every token once", "only idempotent calls are hedged",
    "own answer", "quarantine holds everywhere" };
constexpr std::array<const char*, 5> variants { "owner found by id only", "stream resumes at the daemon's position", "all calls hedged",
    "crossed answer taken", "suspects not shared" };

enum class Kind : uint8_t {
    Issue, /**< a caller gets a daemon key from a */
    KeyCall, /**< key b is used at a */
    Renew, /**< a takes a new incarnation and keeps its memory */
    Restart, /**< a loses its memory */
    Cut, /**< a reaches no peer, or reaches them again */
    Read, /**< the stream's caller reads b tokens at a */
    LoseEngine, /**< the stream's engine fails */
    Call, /**< a hedged call at a; odd b: not idempotent */
    Cross, /**< the next two answers of engines are swapped */
    Poison, /**< a sends a request that crashes its engine */
    Exchange, /**< heartbeats share suspicions */
};
constexpr int kinds = 11;

struct Command {
    Kind kind = Kind::Issue;
    uint8_t a = 0;
    uint8_t b = 0;
};

std::ostream& operator<<(std::ostream& stream, const Command& command)
{
    constexpr std::array<const char*, kinds> names { "issue", "key_call", "renew", "restart", "cut", "read", "lose_engine", "call", "cross", "poison", "exchange" };
    return stream << names.at(static_cast<size_t>(command.kind)) << "(" << int { command.a } << "," << int { command.b } << ")";
}

std::string tokenText(uint64_t index)
{
    return "t" + std::to_string(index) + " ";
}

/** Daemons that serve daemon keys, resumed streams, hedged calls and a poison request, and what callers and backends saw. */
class ServingWorld {
public:
    explicit ServingWorld(Wrong wrong)
        : m_wrong(wrong)
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
        case Kind::Issue:
            m_keys.push_back(daemonKeyPrefix(daemon.id, daemon.incarnation) + ".1700000000-k" + std::to_string(m_keys.size()));
            return;
        case Kind::KeyCall:
            return m_keys.empty() ? void() : callWithKey(daemon, m_keys[command.b % m_keys.size()]);
        case Kind::Renew:
            ++daemon.incarnation;
            return;
        case Kind::Restart:
            return restart(daemon);
        case Kind::Cut:
            daemon.isCut = !daemon.isCut;
            return;
        case Kind::Read:
            return readStream(daemon, 1 + command.b % 4);
        case Kind::LoseEngine:
            ++m_engine;
            return;
        case Kind::Call:
            return hedgedCall(command.b % 2 == 0, command.b % 3 == 0);
        case Kind::Cross:
            m_isCrossing = true;
            return;
        case Kind::Poison:
            return sendPoison(daemon);
        case Kind::Exchange:
            return exchange();
        }
    }

    /** The caller reads the rest of its stream at the last daemon. */
    void settle()
    {
        readStream(m_daemons[0], streamLength);
        check(1, m_received == streamLength);
    }

    std::optional<size_t> violated;

private:
    struct Daemon {
        DaemonId id;
        Incarnation incarnation = 1;
        bool isCut = false;
        std::set<Digest> claimed; /**< daemon keys that ran */
        StreamStore streams;
        QuarantineTable suspects;
    };

    void check(size_t index, bool holds)
    {
        if (!holds && !violated)
            violated = index;
    }

    void restart(Daemon& daemon)
    {
        auto next = daemon.incarnation + 1;
        auto id = daemon.id;
        for (auto& loss : m_losses)
            loss.knownTo.erase(daemon.id);
        daemon = Daemon();
        daemon.id = id;
        daemon.incarnation = next;
    }

    bool owns(const Daemon& daemon, const std::string& prefix) const
    {
        for (Incarnation incarnation = m_wrong == Wrong::OwnerByIdOnly ? 1 : daemon.incarnation; incarnation <= daemon.incarnation; ++incarnation) {
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
            bool isReached = owner.id == daemon.id || (!owner.isCut && !daemon.isCut);
            if (!isReached || !owns(owner, key->ownerPrefix))
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

    std::shared_ptr<StreamRecord> heldStream(Daemon& daemon)
    {
        if (auto held = m_streamId.empty() ? nullptr : daemon.streams.find(m_streamId))
            return held;
        auto held = std::make_shared<StreamRecord>();
        // A daemon that did not accept the stream knows it only from its id; it continues after what the caller has.
        RC_ASSERT(m_streamId.empty() || parseStreamId(m_streamId).has_value());
        held->firstIndex = m_received + 1;
        held->streamId = engineStreamId();
        daemon.streams.add(held);
        return held;
    }

    void readStream(Daemon& daemon, uint64_t count)
    {
        auto held = heldStream(daemon);
        m_streamId = held->streamId;
        auto from = m_wrong == Wrong::ResumesAtOwnPosition ? held->lastIndex() + 1 : m_received + 1;
        // The daemon reads ahead of its caller, whose connection ends after some tokens.
        auto wanted = std::min(streamLength, from + count + 1);
        while (held->lastIndex() < wanted)
            held->tokens.push_back(tokenText(held->lastIndex() + 1));
        for (auto index = from; index < from + count && index <= streamLength; ++index) {
            if (index < held->firstIndex)
                return;
            check(1, index == m_received + 1 && held->tokens.at(index - held->firstIndex) == tokenText(index));
            m_received = std::max(m_received, index);
        }
        RC_ASSERT(held->firstIndex != 1 || held->textThrough(1) == tokenText(1));
    }

    /** What an engine answers: the id of the request it believes to have run. */
    std::string answerOf(const std::string& request)
    {
        auto answer = request;
        if (!m_crossed.empty())
            answer = std::exchange(m_crossed, "");
        else if (std::exchange(m_isCrossing, false))
            m_crossed = request, answer = "other";
        return answer;
    }

    void hedgedCall(bool isIdempotent, bool isSlow)
    {
        m_budget.requests += 1;
        auto request = "q" + std::to_string(++m_requests);
        size_t attempts = 1;
        HedgeQuery query { isIdempotent || m_wrong == Wrong::HedgesEverything, false, PriorityClass::Live, std::chrono::milliseconds(100), false, 1 };
        if (isSlow && hedgeDelay(query, m_latencies, m_budget)) {
            ++attempts;
            m_budget.hedges += 1;
        }
        check(2, isIdempotent || attempts == 1);
        check(2, m_budget.hedges <= m_budget.requests * 0.05);
        std::optional<std::string> delivered;
        for (size_t i = 0; i < attempts && !delivered; ++i) {
            auto answer = answerOf(request);
            if (answer == request || m_wrong == Wrong::CrossedAnswerTaken)
                delivered = answer;
        }
        check(3, !delivered || *delivered == request);
    }

    void sendPoison(Daemon& daemon)
    {
        if (isQuarantined(daemon.suspects, m_poison, m_now))
            return;
        // Losses of one engine seen by different daemons count once, because merging has to be idempotent.
        std::set<ReplicaId> known;
        for (const auto& loss : m_losses) {
            if (loss.knownTo.contains(daemon.id) && m_now - loss.at < quarantineTime)
                known.insert(loss.replica);
        }
        check(4, known.size() < lossesToQuarantine);
        ReplicaId replica("e" + std::to_string(m_losses.size() % engineCount));
        m_losses.push_back({ replica, m_now, { daemon.id } });
        recordLoss(daemon.suspects, replica, std::span(&m_poison, 1), m_now);
    }

    /** Every daemon that is not cut off sends its suspicions to all others. */
    void exchange()
    {
        auto before = m_daemons;
        for (auto& to : m_daemons) {
            for (const auto& from : before) {
                if (!to.isCut && !from.isCut)
                    share(from, to);
            }
        }
    }

    void share(const Daemon& from, Daemon& to)
    {
        for (auto& loss : m_losses) {
            if (loss.knownTo.contains(from.id))
                loss.knownTo.insert(to.id);
        }
        if (m_wrong == Wrong::SuspectsNotShared)
            return;
        for (const auto& [digest, suspicion] : from.suspects.lossHistories)
            mergeLossHistory(to.suspects, digest, suspicion, m_now);
    }

    struct Loss {
        ReplicaId replica;
        TimePoint at;
        std::set<DaemonId> knownTo; /**< daemons that saw it or heard of it in a heartbeat */
    };

    Wrong m_wrong;
    std::array<Daemon, daemonCount> m_daemons;
    TimePoint m_now { Duration::zero() };
    std::vector<std::string> m_keys;
    std::map<std::string, int> m_keyRuns;
    std::string m_streamId; /**< as the caller knows it */
    size_t m_engine = 0;
    uint64_t m_received = 0; /**< last token that the caller has */
    LatencyQuantiles m_latencies;
    HedgeBudget m_budget;
    uint64_t m_requests = 0;
    bool m_isCrossing = false;
    std::string m_crossed; /**< answer that the next request gets */
    Digest m_poison = digestOf("poison");
    std::vector<Loss> m_losses;
};

/** Runs random histories; `caught` becomes the index of the violated check. */
rc::detail::TestResult runHistories(Wrong wrong, uint64_t seed, int runs, std::optional<size_t>* caught = nullptr)
{
    return runWithSeed("serving", seed, runs, [=] {
        auto kind = rc::gen::map(rc::gen::inRange<int>(0, kinds), [](int value) { return static_cast<Kind>(value); });
        auto number = rc::gen::inRange<uint8_t>(0, 12);
        auto command = rc::gen::build<Command>(rc::gen::set(&Command::kind, kind), rc::gen::set(&Command::a, number), rc::gen::set(&Command::b, number));
        ServingWorld world(wrong);
        for (const auto& next : *rc::gen::container<std::vector<Command>>(command))
            world.apply(next);
        world.settle();
        if (!world.violated)
            return;
        if (caught)
            *caught = world.violated;
        RC_FAIL(checks.at(*world.violated));
    });
}

} // namespace

// Guards against histories in which a daemon key runs twice, a resumed stream repeats or loses a token, a call that is not
// idempotent is hedged, a caller gets another one's answer, or a poison request reaches engines after its quarantine.
TEST_CASE("keys, streams, hedges and suspects hold in random histories")
{
    const char* fromEnvironment = std::getenv("CHESTNUT_FUZZ_RUNS");
    for (uint64_t seed : { 211, 212 }) {
        auto result = runHistories(Wrong::Nothing, seed, fromEnvironment ? std::max(1, std::atoi(fromEnvironment)) : defaultRuns);
        bool holds = result.is<rc::detail::SuccessResult>();
        if (!holds) {
            std::cerr << "seed " << seed << ": ";
            rc::detail::printResultMessage(result, std::cerr);
        }
        CHECK(holds);
    }
}

// Guards against a check that cannot fail.
TEST_CASE("each known-wrong way to serve is caught by its check")
{
    for (size_t i = 0; i < variants.size(); ++i) {
        std::optional<size_t> caught;
        auto result = runHistories(static_cast<Wrong>(i + 1), 213, defaultRuns, &caught);
        rc::detail::FailureResult failure;
        int run = result.match(failure) ? failure.numSuccess + 1 : 0;
        std::cout << "variant \"" << variants.at(i) << "\" caught by " << (caught ? checks.at(*caught) : "nothing") << " in run " << run << "\n";
        CHECK_MESSAGE(caught == i, std::string(variants.at(i)));
    }
}
