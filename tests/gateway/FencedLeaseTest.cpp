#include "gateway/TaskFakes.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** One daemon that calls the task platform as often as its lease allows. */
struct Candidate {
    Candidate(GatewayFixture& fixture, FakeTaskPlatform& platform, const std::string& id)
        : m_platform(platform)
        , timers(fixture.timers)
        , mirror(std::make_shared<StoreMirror>(fixture.context, fixture.store, timers, fixture.log, "chestnutroute/", [] { return 1s; }))
        , lease(fixture.context, fixture.store, timers, fixture.log, mirror, { "chestnutroute/tasks/holder", DaemonId(id), 3s, [] { return 2; }, true })
    {
        mirror->start();
        lease.start();
        asio::co_spawn(fixture.context, act(), asio::detached);
    }

    asio::awaitable<void> act()
    {
        while (true) {
            co_await timers.sleep(50ms);
            if (lease.mayAct(longestTaskCall))
                (void)co_await m_platform.reportUsage({}, { lease.self(), lease.fencingNumber() });
        }
    }

    FakeTaskPlatform& m_platform;
    PausableTimers timers;
    std::shared_ptr<StoreMirror> mirror;
    FencedLease lease;
};

/** Two daemons that campaign for one lease. */
struct TwoCandidates : GatewayFixture {
    void awaitCalls(size_t count)
    {
        for (int i = 0; i < 400 && platform.calls.size() < count; ++i)
            timers.advance(50ms);
        REQUIRE(platform.calls.size() >= count);
    }

    Candidate& holder() { return platform.calls.back().authority.holder == first.lease.self() ? first : second; }
    Candidate& other() { return &holder() == &first ? second : first; }

    /** Each holder's calls have ended before the next holder's first one, and numbers identify holders and increase. */
    void checkOrder() const
    {
        for (size_t i = 1; i < platform.calls.size(); ++i) {
            const auto& before = platform.calls[i - 1];
            const auto& call = platform.calls[i];
            CHECK(call.authority.fencingNumber >= before.authority.fencingNumber);
            CHECK((call.authority.fencingNumber == before.authority.fencingNumber) == (call.authority == before.authority));
            if (call.authority != before.authority)
                CHECK(call.begin - before.end > 0ms);
        }
    }

    size_t holders() const
    {
        std::set<FencingNumber> numbers;
        for (const auto& call : platform.calls)
            numbers.insert(call.authority.fencingNumber);
        return numbers.size();
    }

    FakeTaskPlatform platform { timers };
    Candidate first { *this, platform, "d0" };
    Candidate second { *this, platform, "d1" };
};

} // namespace

// Guards against two daemons that both run a singleton task.
TEST_CASE("one of two candidates acts, after the takeover wait")
{
    TwoCandidates fixture;
    fixture.timers.advance(5s);
    CHECK(fixture.platform.calls.empty());
    fixture.timers.advance(30s);
    CHECK(fixture.platform.calls.size() > 100);
    CHECK(fixture.holders() == 1);
}

// Guards against a call that a stopped process or a suspended machine sends after its lease has ended.
TEST_CASE("a holder that was stopped or suspended sends no call after the next holder's first one")
{
    TwoCandidates fixture;
    fixture.platform.responseTime = 1900ms;
    fixture.awaitCalls(3);
    auto& paused = fixture.holder();
    SUBCASE("stopped") { paused.timers.pause(); }
    SUBCASE("suspended") { paused.timers.suspend(); }
    fixture.timers.advance(20s);
    paused.timers.wake();
    fixture.timers.advance(20s);
    CHECK(fixture.holders() == 2);
    fixture.checkOrder();
}

// Guards against a paused process that acts on the state from before the pause when it continues before the lease is lost.
TEST_CASE("a holder that wakes at any moment around the takeover keeps the order of the calls")
{
    for (auto pause = 2s; pause < 12s; pause += 1s) {
        TwoCandidates fixture;
        fixture.awaitCalls(3);
        auto& paused = fixture.holder();
        paused.timers.suspend();
        fixture.timers.advance(pause + 430ms);
        paused.timers.wake();
        fixture.timers.advance(15s);
        fixture.checkOrder();
    }
}

// Guards against two holders within the time of one lease, and a number that an earlier holder has used.
TEST_CASE("after a restore of the store the next holder waits and has a larger number")
{
    TwoCandidates fixture;
    auto copy = fixture.store.copy();
    fixture.awaitCalls(3);
    for (int i = 0; i < 3; ++i) {
        fixture.store.restore(copy);
        fixture.store.addLease(1h);
        fixture.timers.advance(30s);
    }
    CHECK(fixture.holders() == 4);
    fixture.checkOrder();
}

// Guards against a former holder that acts after a restore, which a process that has just started cannot notice.
TEST_CASE("a daemon that starts after a restore of the store waits for the former holder's lease")
{
    TwoCandidates fixture;
    auto copy = fixture.store.copy();
    fixture.platform.responseTime = 1900ms;
    fixture.awaitCalls(3);
    fixture.store.restore(copy);
    Candidate third(fixture, fixture.platform, "d2");
    fixture.timers.advance(30s);
    fixture.checkOrder();
}

// Guards against a lease that nobody can acquire, or that two daemons hold, because the response to the write was lost.
TEST_CASE("a lost response to the acquisition delays the tasks, and there is one holder")
{
    TwoCandidates fixture;
    fixture.store.dropsResponses = true;
    fixture.timers.advance(5s);
    CHECK_FALSE(fixture.first.lease.isHeld());
    CHECK_FALSE(fixture.second.lease.isHeld());
    fixture.store.dropsResponses = false;
    fixture.timers.advance(30s);
    CHECK(fixture.holders() == 1);
}

// Guards against a machine that was replaced under its name and still runs: the new process removes the key, whose lease the
// old one could renew for ever.
TEST_CASE("a holder whose key another process with its name replaces stops before that one's first call")
{
    TwoCandidates fixture;
    fixture.awaitCalls(3);
    Candidate twin(fixture, fixture.platform, fixture.holder().lease.self().value());
    fixture.timers.advance(30s);
    fixture.checkOrder();
    CHECK(fixture.holders() == 2);
}

// Guards against calls in flight at a planned stop that end after the next holder's first one.
TEST_CASE("a holder that stops hands the lease over without waiting for its end")
{
    TwoCandidates fixture;
    fixture.awaitCalls(3);
    auto& stopped = fixture.holder();
    auto stoppedAt = fixture.timers.now();
    asio::co_spawn(fixture.context, stopped.lease.stop(), asio::detached);
    auto calls = fixture.platform.calls.size();
    fixture.awaitCalls(calls + 2);
    CHECK(fixture.platform.calls.back().authority.holder != stopped.lease.self());
    CHECK(fixture.timers.now() - stoppedAt < 8s);
    fixture.checkOrder();
}

// Guards against calls that no lease covers, and against a lease that is given up although the store responds in time.
TEST_CASE("a holder acts for as long as its lease lasts while the store is down, and again afterwards")
{
    TwoCandidates fixture;
    fixture.awaitCalls(3);
    auto downAt = fixture.timers.now();
    fixture.store.isDown = true;
    fixture.timers.advance(20s);
    CHECK(fixture.platform.calls.back().begin - downAt < 3s);
    fixture.store.isDown = false;
    auto calls = fixture.platform.calls.size();
    fixture.awaitCalls(calls + 1);
    fixture.checkOrder();
}
