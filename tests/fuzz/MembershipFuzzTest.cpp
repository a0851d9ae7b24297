#include "decisions/membership/Membership.h"
#include "support/FixedSeed.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <doctest/doctest.h>

using namespace chestnut;

namespace {

constexpr size_t memberCount = 4;
constexpr int defaultRuns = 300;

enum class Fault : uint8_t {
    Advance,
    Exchange, /**< a sends a heartbeat to b and merges the reply */
    Delay, /**< a sends a heartbeat that is held back */
    Deliver, /**< b receives a heartbeat that was held back, possibly once more */
    Pause,
    Restart,
    Announce, /**< a announces a newer revision */
};
constexpr int faultKinds = 7;

struct Step {
    Fault fault = Fault::Advance;
    uint8_t a = 0;
    uint8_t b = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    constexpr std::array<const char*, faultKinds> names { "advance", "exchange", "delay", "deliver", "pause", "restart", "announce" };
    return stream << names.at(static_cast<size_t>(step.fault)) << "(" << int { step.a } << "," << int { step.b } << ")";
}

enum class Variant : uint8_t {
    Correct,
    OlderRecordWins,
    RevisionReverts,
    RemovalSkipped,
};

/** Members that exchange heartbeats. The oracle compares their tables with the newest record that each member announced. */
class Fleet {
public:
    explicit Fleet(Variant variant)
        : m_variant(variant)
    {
        for (size_t i = 0; i < memberCount; ++i) {
            m_tables[i].self.id = DaemonId("m" + std::to_string(i));
            m_tables[i].self.state = MemberState::Ready;
            m_tables[i].self.incarnation = m_tables[i].self.counter = 1;
        }
    }

    void apply(const Step& step)
    {
        auto& a = m_tables[step.a % memberCount];
        auto& b = m_tables[step.b % memberCount];
        bool isPaused = m_paused[step.a % memberCount];
        switch (step.fault) {
        case Fault::Advance:
            return advance(std::chrono::milliseconds(500) * (1 + step.a % 8));
        case Fault::Exchange:
            return isPaused || m_paused[step.b % memberCount] || &a == &b ? void() : exchange(a, b);
        case Fault::Delay:
            if (!isPaused)
                m_delayed.push_back(composeHeartbeatPayload(a, m_now, m_random, payloadBytesPerHeartbeat));
            return;
        case Fault::Deliver:
            if (!m_delayed.empty())
                merge(b, m_delayed[step.a % m_delayed.size()]);
            return;
        case Fault::Pause:
            m_paused[step.a % memberCount] = step.b % 2 == 0;
            return;
        case Fault::Restart:
            restart(a);
            return;
        case Fault::Announce:
            a.self.revision += isPaused ? 0 : 1;
            return incrementOwnCounter(a);
        }
    }

    /** Runs all members without faults until each table has to contain the newest revision of every other member. */
    void settle()
    {
        m_paused.fill(false);
        for (int round = 0; round < 30; ++round) {
            advance(heartbeatPeriod);
            for (auto& from : m_tables) {
                for (auto& to : m_tables) {
                    if (&from != &to)
                        exchange(from, to);
                }
            }
        }
        for (auto& table : m_tables) {
            RC_ASSERT(table.others.size() == memberCount - 1);
            for (auto& other : m_tables) {
                if (&table != &other)
                    RC_ASSERT(table.others.at(other.self.id).record.revision == other.self.revision);
            }
        }
    }

private:
    void restart(MemberTable& table)
    {
        auto self = table.self;
        self.incarnation += 10;
        self.counter = 1;
        self.revision = 0;
        table = MemberTable();
        table.self = self;
    }

    void advance(Duration duration)
    {
        m_now += duration;
        for (size_t i = 0; i < memberCount; ++i) {
            if (m_paused[i])
                continue;
            incrementOwnCounter(m_tables[i]);
            if (m_variant != Variant::RemovalSkipped)
                expireMembers(m_tables[i], m_now);
            for (const auto& [id, member] : m_tables[i].others)
                RC_ASSERT(m_now - member.counterIncreasedAt < removalTime);
        }
    }

    void exchange(MemberTable& a, MemberTable& b)
    {
        auto request = composeHeartbeatPayload(a, m_now, m_random, payloadBytesPerHeartbeat);
        merge(b, request);
        merge(a, composeHeartbeatPayload(b, m_now, m_random, payloadBytesPerHeartbeat, &request));
    }

    void merge(MemberTable& table, const HeartbeatPayload& payload)
    {
        auto before = table.others;
        auto outcome = mergeHeartbeatPayload(table, payload, m_now);
        if (outcome.conflict != IncarnationConflict::None)
            renewIncarnation(table, 0, outcome.conflictingRecord);
        if (auto sender = table.others.find(payload.own.id); sender != table.others.end()) {
            if (m_variant == Variant::OlderRecordWins)
                sender->second.record = payload.own;
            if (m_variant == Variant::RevisionReverts)
                sender->second.record.revision = payload.own.revision;
        }
        for (const auto& [id, member] : table.others)
            checkRecord(before, id, member);
    }

    /** A stored record is never newer than what the member announced, and never replaced by an older one. */
    void checkRecord(const std::map<DaemonId, MemberEntry>& before, const DaemonId& id, const MemberEntry& after) const
    {
        auto announced = std::ranges::find(m_tables, id, [](const MemberTable& table) { return table.self.id; });
        RC_ASSERT(!supersedes(after.record, announced->self));
        auto previous = before.find(id);
        if (previous == before.end())
            return;
        RC_ASSERT(!supersedes(previous->second.record, after.record));
        if (previous->second.record.incarnation == after.record.incarnation)
            RC_ASSERT(previous->second.record.revision <= after.record.revision);
    }

    Variant m_variant;
    std::array<MemberTable, memberCount> m_tables;
    std::array<bool, memberCount> m_paused {};
    std::deque<HeartbeatPayload> m_delayed;
    std::mt19937_64 m_random { 1 };
    TimePoint m_now { Duration::zero() };
};

rc::detail::TestResult runSteps(Variant variant, uint64_t seed, int runs)
{
    return runWithSeed("membership", seed, runs, [=] {
        auto fault = rc::gen::map(rc::gen::inRange<int>(0, faultKinds), [](int value) { return static_cast<Fault>(value); });
        auto number = rc::gen::inRange<uint8_t>(0, 16);
        auto step = rc::gen::build<Step>(rc::gen::set(&Step::fault, fault), rc::gen::set(&Step::a, number), rc::gen::set(&Step::b, number));
        Fleet fleet(variant);
        for (const auto& next : *rc::gen::container<std::vector<Step>>(step))
            fleet.apply(next);
        fleet.settle();
    });
}

} // namespace

// Guards against late, duplicated or crossed heartbeats that replace a record by an older one, or that
// keep members which no longer send any.
TEST_CASE("membership agrees with the oracle in random histories")
{
    const char* runsFromEnvironment = std::getenv("CHESTNUT_FUZZ_RUNS");
    for (uint64_t seed : { 201, 202 }) {
        auto result = runSteps(Variant::Correct, seed, runsFromEnvironment ? std::max(1, std::atoi(runsFromEnvironment)) : defaultRuns);
        bool agrees = result.is<rc::detail::SuccessResult>();
        if (!agrees) {
            std::cerr << "seed " << seed << ": ";
            rc::detail::printResultMessage(result, std::cerr);
        }
        CHECK(agrees);
    }
}

// Guards against an oracle that accepts wrong membership.
TEST_CASE("each known-wrong variant of membership is caught")
{
    for (auto variant : { Variant::OlderRecordWins, Variant::RevisionReverts, Variant::RemovalSkipped })
        CHECK(runSteps(variant, 203, defaultRuns).is<rc::detail::FailureResult>());
}
