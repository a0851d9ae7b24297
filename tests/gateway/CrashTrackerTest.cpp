#include "gateway/requests/CrashTracker.h"

#include "kernel/timers/VirtualTimerService.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

struct CrashTrackerFixture {
    asio::io_context context;
    VirtualTimerService timers { context };
    CrashTracker crashTracker { timers };
    Digest content { 1, 2 };

    /** Adds a separate attempt that was sent now and lost at the replica. */
    void loseAt(const std::string& replica) { crashTracker.add({ content, RequestId("q-" + replica), ReplicaId(replica) }, timers.now()); }
};

} // namespace

TEST_CASE("a content that crashed three replicas is blocked, and no other content is")
{
    CrashTrackerFixture fixture;
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    CHECK_FALSE(fixture.crashTracker.isBlocked(fixture.content));
    fixture.loseAt("i-3");
    CHECK(fixture.crashTracker.isBlocked(fixture.content));
    CHECK_FALSE(fixture.crashTracker.isBlocked(Digest { 1, 3 }));
}

// Guards against blocking a popular request because a single crash lost three attempts with it (soak seeds 2, 4 and 7).
TEST_CASE("several attempts lost in one crash count as one crash")
{
    CrashTrackerFixture fixture;
    auto sentAt = fixture.timers.now();
    fixture.timers.advance(30ms);
    for (const auto* attempt : { "q1", "q2", "q3" })
        fixture.crashTracker.add({ fixture.content, RequestId(attempt), ReplicaId("i-1") }, sentAt);
    // A peer reports the same crash 200 ms later.
    fixture.timers.advance(200ms);
    fixture.crashTracker.add(LostAttemptReport { { fixture.content, RequestId("q4"), ReplicaId("i-1") }, 200ms, 20ms });
    CHECK_FALSE(fixture.crashTracker.isBlocked(fixture.content));
    fixture.timers.advance(100ms);
    fixture.crashTracker.add({ fixture.content, RequestId("q5"), ReplicaId("i-1") }, fixture.timers.now());
    fixture.loseAt("i-2");
    CHECK(fixture.crashTracker.isBlocked(fixture.content));
}

// Guards against blocking a popular request on all daemons for five minutes after replicas broke off three responses to it,
// although the replicas had answered other requests in the meantime (soak seed 2).
TEST_CASE("a replica that answers a request sent after the loss has not crashed")
{
    CrashTrackerFixture fixture;
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    fixture.loseAt("i-3");
    fixture.timers.advance(100ms);
    fixture.crashTracker.recordReplicaResponse(ReplicaId("i-2"), fixture.timers.now());
    CHECK_FALSE(fixture.crashTracker.isBlocked(fixture.content));
}

// Guards against dismissing a crash because the replica has restarted, or because an earlier response was still in transit.
TEST_CASE("a response to an earlier request, or one after the restart time, does not refute a crash")
{
    CrashTrackerFixture fixture;
    auto before = fixture.timers.now();
    fixture.timers.advance(100ms);
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    fixture.loseAt("i-3");
    fixture.crashTracker.recordReplicaResponse(ReplicaId("i-1"), before);
    fixture.timers.advance(1500ms);
    fixture.crashTracker.recordReplicaResponse(ReplicaId("i-2"), fixture.timers.now());
    CHECK(fixture.crashTracker.isBlocked(fixture.content));
}

// Guards against a popular request that stays blocked although another replica has answered it, because peers keep reporting
// its lost attempts (soak seeds 4 and 11).
TEST_CASE("losses of a content before a response to it are not counted, even if peers report them again")
{
    CrashTrackerFixture fixture;
    CrashTrackerFixture peer;
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    fixture.loseAt("i-3");
    auto reports = fixture.crashTracker.recentLosses();
    for (const auto& report : reports)
        peer.crashTracker.add(report);
    CHECK(peer.crashTracker.isBlocked(peer.content));
    fixture.timers.advance(50ms);
    fixture.crashTracker.recordCompletion(fixture.content);
    CHECK_FALSE(fixture.crashTracker.isBlocked(fixture.content));
    fixture.timers.advance(100ms);
    for (auto report : reports) {
        report.age += 150ms;
        fixture.crashTracker.add(report);
    }
    CHECK_FALSE(fixture.crashTracker.isBlocked(fixture.content));
    peer.timers.advance(150ms);
    for (const auto& report : fixture.crashTracker.recentSuccesses())
        peer.crashTracker.recordCompletion(report);
    CHECK_FALSE(peer.crashTracker.isBlocked(peer.content));
}

TEST_CASE("losses after a response count again")
{
    CrashTrackerFixture fixture;
    fixture.crashTracker.recordCompletion(fixture.content);
    fixture.timers.advance(10ms);
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    fixture.loseAt("i-3");
    CHECK(fixture.crashTracker.isBlocked(fixture.content));
}

// Guards against a popular request that is refused for minutes because a replica has ended and its address resets each
// attempt (soak seed 4 with --dead_replicas_reset).
TEST_CASE("attempts that are reset by one ended process count as one crash, and a crash of its next start as another")
{
    CrashTrackerFixture fixture;
    auto loseAtStart = [&fixture](const std::string& attempt, int64_t start) {
        fixture.crashTracker.add({ fixture.content, RequestId(attempt), ReplicaId("i-1"), start }, fixture.timers.now());
        fixture.timers.advance(1500ms);
    };
    for (const auto* attempt : { "q1", "q2", "q3", "q4" })
        loseAtStart(attempt, 1000);
    CHECK_FALSE(fixture.crashTracker.isBlocked(fixture.content));
    loseAtStart("q5", 9000);
    loseAtStart("q6", 19'000);
    CHECK(fixture.crashTracker.isBlocked(fixture.content));
}

// Guards against a crashing request that other daemons do not learn of, because each crash loses more attempts than a report carries and
// its digest sorts behind theirs.
TEST_CASE("the attempts of the content that was lost most often are reported first")
{
    CrashTrackerFixture fixture;
    fixture.content = Digest { 100, 0 };
    fixture.loseAt("i-1");
    fixture.timers.advance(10s);
    fixture.loseAt("i-2");
    for (uint64_t i = 0; i < 40; ++i)
        fixture.crashTracker.add({ Digest { i, 0 }, RequestId("other-" + std::to_string(i)), ReplicaId("i-2") }, fixture.timers.now());
    auto reports = fixture.crashTracker.recentLosses();
    CHECK(reports.size() == 16);
    CHECK(reports.front().loss.content == fixture.content);
}
