#include "claims/ClaimFleet.h"
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr Duration serviceLatency = 5ms;

} // namespace

// Guards against two grants when a caller sends the same call to two daemons at the same time.
TEST_CASE("two daemons with the same key at once: one runs the call")
{
    ClaimFleet fleet(3);
    fleet[0].store.faults().latency = serviceLatency;
    fleet[1].store.faults().latency = serviceLatency;
    fleet[2].peers.isDown = true; // both write the claim themselves when daemon 2 is preferred
    for (size_t preferred = 0; preferred < 3; ++preferred) {
        auto key = fleet.keyPreferring(preferred);
        auto first = fleet.claim(0, key);
        auto second = fleet.claim(1, key);
        fleet.advance(15s);
        CHECK(fleet.dispatches(key) == 1);
        CHECK(first->isGranted() != second->isGranted());
        CHECK((first->isRefused(ErrorKind::AlreadyRun) || second->isRefused(ErrorKind::AlreadyRun)));
    }
}

// Guards against a call that is refused for ever or runs twice when the answer to the claim write is lost.
TEST_CASE("a lost answer to the claim write is settled by the record's nonce")
{
    for (int fault = 0; fault < 3; ++fault) {
        ClaimFleet fleet(2);
        auto key = fleet.keyPreferring(0);
        auto& faults = fleet[0].store.faults();
        (fault == 0 ? faults.lostAnswers : fault == 1 ? faults.lostWrites
                                                      : faults.lateWrites)
            = 1;
        faults.lateDelay = 300ms;
        CHECK(fleet.claimAndWait(0, key)->isGranted());
        CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
        CHECK(fleet.dispatches(key) == 1);
    }
}

// Guards against "not run" for a call whose claim may still appear and then be dispatched.
TEST_CASE("an unsettled claim is reported as unknown, and a repeat at the same daemon may run it")
{
    ClaimFleet fleet(1);
    auto key = fleet.keyPreferring(0);
    auto& faults = fleet[0].store.faults();
    faults.lostAnswers = 1;
    faults.latency = serviceLatency;
    auto attempt = fleet.claim(0, key);
    fleet.advance(12ms); // the log is read and the write has taken effect
    faults.isOutage = true;
    fleet.advance(15s);
    CHECK(attempt->isRefused(ErrorKind::OutcomeUnknown));
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::OutcomeUnknown));
    faults.isOutage = false;
    fleet.advance(15s);
    CHECK(fleet.claimAndWait(0, key)->isGranted());
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.dispatches(key) == 1);
}

// Guards against a claim that stays behind although the caller was told "not run".
TEST_CASE("an outage before the claim: not run, and the key is free afterwards")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyPreferring(0);
    for (size_t daemon = 0; daemon < 2; ++daemon)
        fleet[daemon].store.faults().isOutage = true;
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::ClaimUnavailable));
    CHECK(fleet[0].claims.openCalls() == 0);
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::ClaimUnavailable));
    for (size_t daemon = 0; daemon < 2; ++daemon)
        fleet[daemon].store.faults().isOutage = false;
    CHECK(fleet.claimAndWait(1, key)->isGranted());
    CHECK(fleet.dispatches(key) == 1);
}

// Guards against needless refusals of a daemon that is partitioned from the key-value service only.
TEST_CASE("a daemon without the key-value service claims through a peer")
{
    ClaimFleet fleet(3);
    fleet[0].store.faults().isOutage = true;
    for (size_t preferred = 0; preferred < 3; ++preferred) {
        auto key = fleet.keyPreferring(preferred);
        CHECK(fleet.claimAndWait(0, key)->isGranted());
        CHECK(fleet.dispatches(key) == 1);
    }
}

// Guards against losing the recorded answer when the key-value service is down after the claim.
TEST_CASE("an outage after the claim: duplicates at the same daemon get the recorded answer")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyPreferring(0);
    REQUIRE(fleet.claimAndWait(0, key)->isGranted());
    fleet[0].store.faults().isOutage = true;
    fleet[1].store.faults().isOutage = true;
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::AlreadyRun));
    fleet.complete(0, key, "carton 7");
    auto duplicate = fleet.claimAndWait(0, key);
    REQUIRE(duplicate->isAnswered());
    CHECK(std::get<ClaimCompleted>(**duplicate->decision).response.body == "carton 7");
    // The other daemon asks the writer, which has the log in memory, and then the daemon that ran the call.
    CHECK(fleet.claimAndWait(1, key)->isAnswered());
}

// Guards against a second run after the daemon that claimed the call died before or after it dispatched.
TEST_CASE("a daemon that dies between claim and dispatch: the outcome stays unknown")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyPreferring(0);
    fleet[0].store.faults().answerLatency = 50ms;
    auto attempt = fleet.claim(0, key);
    fleet.advance(70ms); // the write has taken effect, its answer is on the way
    fleet.kill(0);
    fleet.advance(15s);
    CHECK_FALSE(attempt->decision.has_value());
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
    fleet.restart(0);
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.dispatches(key) == 0);
}

// Guards against a second run by a daemon that was paused while another daemon saw its claim or took its place.
TEST_CASE("a paused daemon that wakes up runs the call only if its own claim counts")
{
    for (auto untilPause : { 3ms, 7ms, 12ms }) {
        ClaimFleet fleet(2);
        auto key = fleet.keyPreferring(0);
        fleet[0].store.faults().latency = serviceLatency;
        auto slow = fleet.claim(0, key);
        fleet.advance(untilPause); // before the log is read, before the write arrives, after it arrived
        fleet[0].pause(true);
        auto other = fleet.claimAndWait(1, key);
        fleet.advance(30s);
        fleet[0].pause(false);
        fleet.advance(30s);
        CHECK(fleet.dispatches(key) == 1);
        CHECK(slow->isGranted() != other->isGranted());
    }
}

// Guards against an answer for another body, and against running the second body.
TEST_CASE("the same key with another body is refused at every daemon")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyPreferring(0);
    REQUIRE(fleet.claimAndWait(0, key, "two handles")->isGranted());
    CHECK(fleet.claimAndWait(0, key, "three handles")->isRefused(ErrorKind::KeyConflict));
    CHECK(fleet.claimAndWait(1, key, "three handles")->isRefused(ErrorKind::KeyConflict));
    fleet.complete(0, key, "ok");
    CHECK(fleet.claimAndWait(0, key, "three handles")->isRefused(ErrorKind::KeyConflict));
    CHECK(fleet.claimAndWait(1, key, "three handles")->isRefused(ErrorKind::KeyConflict));
    CHECK(fleet.dispatches(key) == 1);
}

// Guards against claims whose duplicates can no longer be recognised.
TEST_CASE("expired, future and malformed keys are refused")
{
    ClaimFleet fleet(1);
    CHECK(fleet.claimAndWait(0, fleet.keyOfAge(24h + 1min))->isRefused(ErrorKind::KeyExpired));
    CHECK(fleet.claimAndWait(0, fleet.keyOfAge(23h))->isGranted());
    CHECK(fleet.claimAndWait(0, fleet.keyOfAge(-1h))->isRefused(ErrorKind::BadKey));
    CHECK(fleet.claimAndWait(0, "order-17")->isRefused(ErrorKind::BadKey));
}

// Guards against a second run when a daemon's clock is behind and the epoch's records are removed, also when the daemon
// has part of the log in memory.
TEST_CASE("a slow clock cannot claim in a closed epoch")
{
    ClaimFleet fleet(2);
    auto claimed = fleet.keyPreferring(1);
    auto shard = claimShardOf(claimIdOf(AccountId("repairer"), claimed));
    REQUIRE(fleet.claimAndWait(1, claimed)->isGranted()); // both logs start here
    std::string later;
    do
        later = fleet.keyOfAge(0s);
    while (claimShardOf(claimIdOf(AccountId("repairer"), later)) != shard);
    fleet[1].peers.isDown = true;
    REQUIRE(fleet.claimAndWait(0, later)->isGranted()); // daemon 1 does not see this record
    fleet[1].pause(true);
    fleet[1].peers.announceState(MemberState::Suspected);
    fleet.advance(33h);
    auto epoch = claimEpochOf(fleet.timers.wallClock() - 33h);
    CHECK(fleet.model->list(claimRecordPrefix(epoch, shard)).empty());
    CHECK(fleet.model->read(claimTombstoneKey(epoch, shard)).entry.has_value());
    fleet[1].timers.clockError = -33h;
    fleet[1].pause(false);
    CHECK(fleet.claimAndWait(1, later)->isRefused(ErrorKind::KeyExpired));
    CHECK(fleet.dispatches(later) == 1);
}

// Guards against "already run" without the answer that a finished call has.
TEST_CASE("a duplicate of a finished call at another daemon gets the recorded answer")
{
    ClaimFleet fleet(3);
    auto key = fleet.keyPreferring(2);
    REQUIRE(fleet.claimAndWait(0, key)->isGranted());
    fleet.complete(0, key, "carton 9");
    auto duplicate = fleet.claimAndWait(1, key);
    REQUIRE(duplicate->isAnswered());
    const auto& response = std::get<ClaimCompleted>(**duplicate->decision).response;
    CHECK(response.body == "carton 9");
    CHECK(response.headers.value("X-Order") == "1");
    fleet.advance(RecordedResponses::lifetime);
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::AlreadyRun));
}

// Guards against a claim that is lost together with the reply of the preferred writer.
TEST_CASE("a lost reply of the preferred writer: the daemon writes the same claim itself")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyPreferring(1);
    fleet[1].peers.lostReplies = 1;
    CHECK(fleet.claimAndWait(0, key)->isGranted());
    auto unanswered = fleet.keyPreferring(1);
    fleet[1].peers.isUnanswering = true;
    CHECK(fleet.claimAndWait(0, unanswered)->isGranted());
    CHECK(fleet.mostDispatches() == 1);
}

// Guards against "not run" after a forwarded claim whose reply was lost: the writer may have written it.
TEST_CASE("a lost reply and no way to write: the outcome is unknown")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyPreferring(1);
    fleet[0].store.faults().isOutage = true;
    fleet[1].peers.lostReplies = 1;
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::OutcomeUnknown));
    fleet[1].peers.isDown = true; // a repeat that sends nothing does not make the first attempt "not run"
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::OutcomeUnknown));
    fleet[1].peers.isDown = false;
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.claimAndWait(0, key)->isGranted());
    CHECK(fleet.dispatches(key) == 1);
}

// Guards against a refused repeat when the daemon knows that nothing was sent.
TEST_CASE("an abandoned call runs on a repeat at the same daemon only")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyPreferring(0);
    REQUIRE(fleet.claimAndWait(0, key)->isGranted());
    fleet[0].claims.abandon(AccountId("repairer"), key);
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.claimAndWait(0, key)->isGranted());
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::AlreadyRun));
}

// Guards against a second run of a daemon key at another daemon or after a restart, and against needless writes.
TEST_CASE("daemon keys need no write, and only their owner decides about them")
{
    ClaimFleet fleet(2);
    for (size_t daemon = 0; daemon < 2; ++daemon)
        fleet[daemon].store.faults().isOutage = true;
    auto prefix = fleet[0].claims.keyPrefix() + ".";
    auto own = prefix + fleet.keyOfAge(0s);
    CHECK(fleet.claimAndWait(0, own)->isGranted());
    CHECK(fleet.claimAndWait(1, own)->isRefused(ErrorKind::AlreadyRun));
    auto foreign = prefix + fleet.keyOfAge(0s);
    CHECK(fleet.claimAndWait(1, foreign)->isGranted());
    CHECK(fleet.claimAndWait(0, foreign)->isRefused(ErrorKind::AlreadyRun));
    fleet.complete(1, foreign, "term 3");
    CHECK(fleet.claimAndWait(0, foreign)->isAnswered());
    auto lost = prefix + fleet.keyOfAge(0s);
    fleet[0].peers.lostReplies = 1;
    CHECK(fleet.claimAndWait(1, lost)->isRefused(ErrorKind::OutcomeUnknown));
    CHECK(fleet.claimAndWait(0, lost)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.claimAndWait(0, prefix + fleet.keyOfAge(61min))->isRefused(ErrorKind::KeyExpired));
    fleet.restart(0);
    CHECK(fleet.claimAndWait(0, own)->isRefused(ErrorKind::OutcomeUnknown));
    CHECK(fleet.claimAndWait(1, prefix + fleet.keyOfAge(0s))->isRefused(ErrorKind::OutcomeUnknown));
    CHECK(fleet[0].store.writes() + fleet[1].store.writes() == 0);
    CHECK(fleet.mostDispatches() == 1);
}

// Guards against an unknown outcome for a call that nobody ran, when heartbeats have not named the key's owner yet.
TEST_CASE("a daemon key waits for an owner that is not known yet")
{
    ClaimFleet fleet(2);
    fleet[0].peers.isUnknown = true;
    auto attempt = fleet.claim(1, fleet[0].claims.keyPrefix() + "." + fleet.keyOfAge(0s));
    fleet.advance(1s);
    CHECK_FALSE(attempt->decision);
    fleet[0].peers.isUnknown = false;
    fleet.advance(1s);
    CHECK(attempt->isGranted());
}

// Guards against a refusal that hides a claim of an earlier attempt (H5), and against one store call for each refusal.
TEST_CASE("a claim is found in the log without claiming, by merged reads")
{
    const AccountId account("repairer"); // of ClaimFleet
    ClaimFleet fleet(2);
    auto key = fleet.keyPreferring(0);
    auto find = [&fleet, &account](size_t daemon, const std::string& wanted, const std::string& body) {
        auto found = std::make_shared<std::optional<Error>>();
        asio::co_spawn(fleet.context, fleet[daemon].claims.findClaimInLog(account, wanted, digestOf(body)),
            [found](const std::exception_ptr&, std::optional<Error> error) { *found = std::move(error); });
        fleet.advance(2s);
        return found->has_value() ? std::optional((*found)->kind) : std::nullopt;
    };
    CHECK_FALSE(find(1, key, "body"));
    CHECK(fleet.claimAndWait(0, key)->isGranted());
    CHECK(fleet[0].claims.localDecision(account, key, digestOf("body"))->error().kind == ErrorKind::AlreadyRun);
    CHECK_FALSE(fleet[1].claims.localDecision(account, key, digestOf("body")));
    CHECK(find(1, key, "body") == ErrorKind::AlreadyRun);
    CHECK(find(1, key, "other") == ErrorKind::KeyConflict);
    fleet.abandon(0, key);
    CHECK_FALSE(find(0, key, "body"));
    CHECK_FALSE(fleet[0].claims.localDecision(account, key, digestOf("body")));
    auto reads = fleet[1].store.calls("read");
    auto unclaimed = fleet.keyPreferring(0);
    for (int i = 0; i < 50; ++i) {
        asio::co_spawn(fleet.context, fleet[1].claims.findClaimInLog(account, unclaimed, digestOf("body")), asio::detached);
        fleet.advance(10ms);
    }
    fleet.advance(2s);
    CHECK(fleet[1].store.calls("read") - reads <= 4);
    fleet[1].store.faults().isOutage = true;
    CHECK_FALSE(find(1, fleet.keyPreferring(0), "body"));
}
