#include "decisions/quarantine/CrashingParts.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <iterator>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t commonPart = 1;
constexpr uint64_t crashingPart = 7;
/** After this time a crash counts. */
constexpr Duration settled = 400ms;
/** After this time all reports about a crash have arrived. */
constexpr Duration crashesReported = 1100ms;

/** The table of one daemon and the clock. */
struct Crashes {
    void crash(const std::string& replica, std::vector<uint64_t> parts, int64_t start = 1) { recordEngineCrash(table, { ReplicaId(replica), start }, shared(parts), now - waited, now); }

    void begin(std::vector<uint64_t> parts) { recordPartsBegun(table, shared(parts), now); }

    /** Takes over what a peer reports. */
    void receiveFrom(const Crashes& peer)
    {
        for (const auto& report : recentEngineCrashes(peer.table, peer.now))
            mergeEngineCrash(table, report, now);
        for (const auto& report : recentPartBegins(peer.table, peer.now))
            mergePartBegin(table, report, now);
    }

    std::vector<uint64_t> blocked(Duration later = settled) const
    {
        std::vector<uint64_t> parts;
        for (const auto& part : findCrashingParts(table, now + later)) {
            if (part.state == PartState::Blocked)
                parts.push_back(part.part);
        }
        return parts;
    }

    static std::vector<SharedPart> shared(const std::vector<uint64_t>& ids)
    {
        std::vector<SharedPart> parts;
        std::ranges::transform(ids, std::back_inserter(parts), [&parts](uint64_t id) { return SharedPart { id, static_cast<uint32_t>(parts.size()) }; });
        return parts;
    }

    CrashingPartTable table;
    TimePoint now = TimePoint(1h);
    Duration waited {}; /**< from the send to the crash */
};

using Parts = std::vector<uint64_t>;

} // namespace

// Guards against refusing every request of a service because its common first part is present at each crash.
TEST_CASE("only the part that explains the crashes is blocked, not the first part that all requests share")
{
    Crashes daemon;
    for (const auto* engine : { "i-1", "i-2", "i-3", "i-4" }) {
        daemon.begin({ commonPart });
        daemon.now += 300ms;
        daemon.crash(engine, { commonPart, crashingPart });
        daemon.crash(engine, { commonPart, 20 });
    }
    CHECK(daemon.blocked() == Parts { crashingPart });
    // No engine is left, so that the common part does not begin any more.
    for (const auto* engine : { "i-5", "i-6", "i-7" }) {
        daemon.now += 300ms;
        daemon.crash(engine, { commonPart, crashingPart });
    }
    CHECK(daemon.blocked() == Parts { crashingPart });
}

// Guards against blocking popular parts after a loss of power, which ends many engines with many requests at once.
TEST_CASE("engines that crash at the same time block no part")
{
    Crashes daemon;
    for (int i = 0; i < 20; ++i) {
        daemon.crash("i-" + std::to_string(i), { commonPart, 20, 21 });
        daemon.now += 10ms;
    }
    CHECK(daemon.blocked().empty());
}

// Guards against five engines that crash within 100 ms, after which the next crash counts as the second only.
TEST_CASE("a part that did not begin for long is blocked after crashes at the same time, popular parts are not")
{
    // The part is new, or it began sometimes before it became harmful.
    for (auto isNew : { true, false }) {
        std::vector<Crashes> daemons(2);
        auto beginAtAll = [&daemons](const Parts& parts) {
            for (auto& daemon : daemons) {
                daemon.begin(parts);
                daemon.now += 100ms;
            }
        };
        beginAtAll(isNew ? Parts { commonPart } : Parts { commonPart, crashingPart });
        for (int i = 0; i < 20; ++i)
            beginAtAll({ commonPart, 20 });
        for (int i = 0; i < 5; ++i) {
            daemons[0].crash("i-" + std::to_string(i), { commonPart, crashingPart });
            daemons[0].crash("i-" + std::to_string(i), { commonPart, 20 });
        }
        daemons[1].receiveFrom(daemons[0]);
        for (const auto& daemon : daemons) {
            CHECK(daemon.blocked().empty());
            CHECK(daemon.blocked(crashesReported) == Parts { crashingPart });
        }
    }
}

// Guards against blocking a sound part after losses of power: it began at another daemon, or nothing began before the loss.
TEST_CASE("engines that crash at the same time block no part that began elsewhere, and none while nothing begins")
{
    std::vector<Crashes> daemons(2);
    auto advanceAll = [&daemons](Duration time) {
        for (auto& daemon : daemons)
            daemon.now += time;
    };
    auto loseAll = [&daemons](int start) {
        for (int i = 0; i < 5; ++i)
            daemons[0].crash("i-" + std::to_string(i), { commonPart, 20 }, start);
        for (size_t i : { 0, 1, 0 })
            daemons[1 - i].receiveFrom(daemons[i]);
    };
    for (int i = 0; i < 20; ++i) {
        daemons[0].begin({ commonPart });
        daemons[1].begin({ commonPart, 20 });
        advanceAll(100ms);
    }
    loseAll(1);
    CHECK(daemons[0].blocked(crashesReported).empty());
    CHECK(daemons[1].blocked(crashesReported).empty());
    // The requests waited for long, so that a part of them may begin rarely.
    advanceAll(5s);
    daemons[0].begin({ commonPart, 20 });
    advanceAll(1500ms);
    daemons[0].begin({ commonPart });
    daemons[0].waited = 450ms;
    loseAll(3);
    CHECK(daemons[0].blocked(crashesReported).empty());
    daemons[0].waited = {};
    // Power fails again before the restarted engines begin anything.
    advanceAll(5s);
    loseAll(2);
    CHECK(daemons[0].blocked(crashesReported).empty());
    CHECK(daemons[1].blocked(crashesReported).empty());
}

TEST_CASE("a process that resets further attempts after its crash counts as one crash")
{
    Crashes daemon;
    for (int i = 0; i < 5; ++i) {
        daemon.crash("i-1", { commonPart, crashingPart });
        daemon.now += 300ms;
    }
    CHECK(daemon.blocked().empty());
}

TEST_CASE("a daemon blocks a part that crashed engines at three daemons, and releases it after a first event at any of them")
{
    std::vector<Crashes> daemons(4);
    auto advanceAll = [&daemons](Duration time) {
        for (auto& daemon : daemons)
            daemon.now += time;
    };
    for (size_t i = 0; i < 3; ++i) {
        daemons[i].crash("i-" + std::to_string(i), { commonPart, crashingPart });
        advanceAll(300ms);
    }
    for (size_t i = 0; i < 3; ++i)
        daemons[3].receiveFrom(daemons[i]);
    CHECK(daemons[3].blocked() == Parts { crashingPart });
    daemons[0].begin({ commonPart, crashingPart });
    advanceAll(50ms);
    daemons[3].receiveFrom(daemons[0]);
    CHECK(daemons[3].blocked().empty());
    // A late report of the same crashes restores nothing.
    daemons[3].receiveFrom(daemons[1]);
    CHECK(daemons[3].blocked().empty());
}

TEST_CASE("an engine that responds to a request sent after the loss has not crashed")
{
    Crashes daemon;
    for (const auto* engine : { "i-1", "i-2", "i-3" }) {
        daemon.crash(engine, { commonPart, crashingPart });
        daemon.now += 300ms;
    }
    recordEngineResponse(daemon.table, { ReplicaId("i-3"), 1 }, daemon.now);
    CHECK(daemon.blocked().empty());
}

// Guards against a part that stays blocked by mistake, and against engines that crash again and again in trials.
TEST_CASE("a blocked part is tried with single requests, ever less often")
{
    Crashes daemon;
    int start = 0;
    auto crash = [&daemon, &start] { daemon.crash("i-1", { commonPart, crashingPart }, ++start); };
    for (int i = 0; i < 3; ++i) {
        crash();
        daemon.now += 300ms;
    }
    int trials = 0;
    for (auto end = daemon.now + 10min; daemon.now < end; daemon.now += 100ms) {
        expireCrashes(daemon.table, daemon.now);
        auto parts = findCrashingParts(daemon.table, daemon.now);
        if (parts.empty() || !takeTrial(daemon.table, parts.front(), 0.5, daemon.now))
            continue;
        ++trials;
        crash();
    }
    CHECK(trials >= 1);
    CHECK(trials <= 3);
}
