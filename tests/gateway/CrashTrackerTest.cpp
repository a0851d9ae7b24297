#include "gateway/requests/CrashTracker.h"

#include "kernel/timers/VirtualTimerService.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

struct LossesFixture {
    asio::io_context context;
    VirtualTimerService timers { context };
    CrashTracker losses { timers };
    Digest content { 1, 2 };

    /** An attempt of its own that was sent now is lost at the replica. */
    void loseAt(const std::string& replica) { losses.add({ content, RequestId("q-" + replica), ReplicaId(replica) }, timers.now()); }
};

} // namespace

TEST_CASE("a content that three replicas were lost with is refused, and no other")
{
    LossesFixture fixture;
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    CHECK_FALSE(fixture.losses.isRefused(fixture.content));
    fixture.loseAt("i-3");
    CHECK(fixture.losses.isRefused(fixture.content));
    CHECK_FALSE(fixture.losses.isRefused(Digest { 1, 3 }));
}

// Guards against the finding of soak seeds 2, 4 and 7: a replica crashed with three attempts of the same popular request.
TEST_CASE("the attempts that one crash loses count as one crash")
{
    LossesFixture fixture;
    auto sentAt = fixture.timers.now();
    fixture.timers.advance(30ms);
    for (const auto* attempt : { "q1", "q2", "q3" })
        fixture.losses.add({ fixture.content, RequestId(attempt), ReplicaId("i-1") }, sentAt);
    // A peer tells of the same crash 200 ms later.
    fixture.timers.advance(200ms);
    fixture.losses.add(LostAttemptReport { { fixture.content, RequestId("q4"), ReplicaId("i-1") }, 200ms, 20ms });
    CHECK_FALSE(fixture.losses.isRefused(fixture.content));
    fixture.timers.advance(100ms);
    fixture.losses.add({ fixture.content, RequestId("q5"), ReplicaId("i-1") }, fixture.timers.now());
    fixture.loseAt("i-2");
    CHECK(fixture.losses.isRefused(fixture.content));
}

// Guards against the finding of soak seed 2: replicas cut three answers to the same popular request, and all daemons refused
// it for five minutes, although the replicas had answered others all the while.
TEST_CASE("a replica that answers a request sent after the loss has not crashed")
{
    LossesFixture fixture;
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    fixture.loseAt("i-3");
    fixture.timers.advance(100ms);
    fixture.losses.replicaAnswered(ReplicaId("i-2"), fixture.timers.now());
    CHECK_FALSE(fixture.losses.isRefused(fixture.content));
}

// Guards against a crash that is forgotten because the replica is back, or because an answer was still under way.
TEST_CASE("an answer to an earlier request, or after the time of a restart, does not disprove a crash")
{
    LossesFixture fixture;
    auto before = fixture.timers.now();
    fixture.timers.advance(100ms);
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    fixture.loseAt("i-3");
    fixture.losses.replicaAnswered(ReplicaId("i-1"), before);
    fixture.timers.advance(1500ms);
    fixture.losses.replicaAnswered(ReplicaId("i-2"), fixture.timers.now());
    CHECK(fixture.losses.isRefused(fixture.content));
}

// Guards against the finding of soak seeds 4 and 11: a popular request was blamed for the crashes that it ran into, was served
// elsewhere meanwhile, and yet stayed refused, since peers went on telling the losses.
TEST_CASE("a content that was answered is not blamed for earlier losses, whoever tells them and however often")
{
    LossesFixture fixture;
    LossesFixture peer;
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    fixture.loseAt("i-3");
    auto told = fixture.losses.recent();
    for (const auto& news : told)
        peer.losses.add(news);
    CHECK(peer.losses.isRefused(peer.content));
    fixture.timers.advance(50ms);
    fixture.losses.noteServed(fixture.content);
    CHECK_FALSE(fixture.losses.isRefused(fixture.content));
    fixture.timers.advance(100ms);
    for (auto news : told) {
        news.age += 150ms;
        fixture.losses.add(news);
    }
    CHECK_FALSE(fixture.losses.isRefused(fixture.content));
    peer.timers.advance(150ms);
    for (const auto& news : fixture.losses.recentlyServed())
        peer.losses.noteServed(news);
    CHECK_FALSE(peer.losses.isRefused(peer.content));
}

TEST_CASE("losses after the answer count again")
{
    LossesFixture fixture;
    fixture.losses.noteServed(fixture.content);
    fixture.timers.advance(10ms);
    fixture.loseAt("i-1");
    fixture.loseAt("i-2");
    fixture.loseAt("i-3");
    CHECK(fixture.losses.isRefused(fixture.content));
}
