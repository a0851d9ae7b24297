#include "claims/ClaimFleet.h"
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr Duration serviceLatency = 5ms;

} // namespace

// Guards against two grants when a caller sends the same call to two daemons at the same time.
TEST_CASE("a call that is sent to two daemons at the same time runs at one of them only")
{
    ClaimFleet fleet(3);
    fleet[0].store.faults().latency = serviceLatency;
    fleet[1].store.faults().latency = serviceLatency;
    fleet[2].peers.isDown = true; // both daemons write the claim themselves when daemon 2 is the preferred writer
    for (size_t preferred = 0; preferred < 3; ++preferred) {
        auto key = fleet.keyWithPreferredWriter(preferred);
        auto first = fleet.claim(0, key);
        auto second = fleet.claim(1, key);
        fleet.advance(15s);
        CHECK(fleet.dispatches(key) == 1);
        CHECK(first->isGranted() != second->isGranted());
        CHECK((first->isRefused(ErrorKind::AlreadyRun) || second->isRefused(ErrorKind::AlreadyRun)));
    }
}

// Guards against a call that is refused permanently or runs twice when the response to the claim write is lost.
TEST_CASE("a lost response to the claim write is resolved by the record's nonce")
{
    for (int fault = 0; fault < 3; ++fault) {
        ClaimFleet fleet(2);
        auto key = fleet.keyWithPreferredWriter(0);
        auto& faults = fleet[0].store.faults();
        (fault == 0 ? faults.lostResponses : fault == 1 ? faults.lostWrites
                                                        : faults.lateWrites)
            = 1;
        faults.lateDelay = 300ms;
        CHECK(fleet.claimAndWait(0, key)->isGranted());
        CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
        CHECK(fleet.dispatches(key) == 1);
    }
}

// Guards against reporting "not run" for a call whose claim may still be written and then be dispatched.
TEST_CASE("a claim write without a known outcome is reported as unknown, and a retry at the same daemon may run the call")
{
    ClaimFleet fleet(1);
    auto key = fleet.keyWithPreferredWriter(0);
    auto& faults = fleet[0].store.faults();
    faults.lostResponses = 1;
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

// Guards against a claim that remains in the log although the caller received "not run".
TEST_CASE("an outage before the claim is reported as not run and leaves the key unclaimed")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyWithPreferredWriter(0);
    for (size_t daemon = 0; daemon < 2; ++daemon)
        fleet[daemon].store.faults().isOutage = true;
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::ClaimUnavailable));
    CHECK(fleet[0].claims.trackedCalls() == 0);
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::ClaimUnavailable));
    for (size_t daemon = 0; daemon < 2; ++daemon)
        fleet[daemon].store.faults().isOutage = false;
    CHECK(fleet.claimAndWait(1, key)->isGranted());
    CHECK(fleet.dispatches(key) == 1);
}

// Guards against needless refusals of a daemon that is partitioned from the key-value service only.
TEST_CASE("a daemon that cannot reach the key-value service claims through a peer")
{
    ClaimFleet fleet(3);
    fleet[0].store.faults().isOutage = true;
    for (size_t preferred = 0; preferred < 3; ++preferred) {
        auto key = fleet.keyWithPreferredWriter(preferred);
        CHECK(fleet.claimAndWait(0, key)->isGranted());
        CHECK(fleet.dispatches(key) == 1);
    }
}

// Guards against losing the recorded response when the key-value service is down after the claim.
TEST_CASE("duplicates get the recorded response during an outage that began after the claim")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyWithPreferredWriter(0);
    REQUIRE(fleet.claimAndWait(0, key)->isGranted());
    fleet[0].store.faults().isOutage = true;
    fleet[1].store.faults().isOutage = true;
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::AlreadyRun));
    fleet.complete(0, key, "carton 7");
    auto duplicate = fleet.claimAndWait(0, key);
    REQUIRE(duplicate->isCompleted());
    CHECK(std::get<ClaimCompleted>(**duplicate->decision).response.body == "carton 7");
    // The other daemon forwards to the writer, which has the log in memory, and then to the daemon that ran the call.
    CHECK(fleet.claimAndWait(1, key)->isCompleted());
}

// Guards against a second run when the daemon that claimed the call died before or after dispatching it.
TEST_CASE("the outcome of a call whose daemon died between claim and dispatch stays unknown")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyWithPreferredWriter(0);
    fleet[0].store.faults().responseLatency = 50ms;
    auto attempt = fleet.claim(0, key);
    fleet.advance(70ms); // the write has taken effect, but its response has not arrived yet
    fleet.kill(0);
    fleet.advance(15s);
    CHECK_FALSE(attempt->decision.has_value());
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
    fleet.restart(0);
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.dispatches(key) == 0);
}

// Guards against a second run by a daemon that was paused while another daemon read its claim or made a claim first.
TEST_CASE("a daemon that resumes after a pause runs the call only if its own claim has won")
{
    for (auto untilPause : { 3ms, 7ms, 12ms }) {
        ClaimFleet fleet(2);
        auto key = fleet.keyWithPreferredWriter(0);
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

// Guards against returning the response of another body, and against running the second body.
TEST_CASE("the same key with another body is refused at every daemon")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyWithPreferredWriter(0);
    REQUIRE(fleet.claimAndWait(0, key, "two handles")->isGranted());
    CHECK(fleet.claimAndWait(0, key, "three handles")->isRefused(ErrorKind::KeyConflict));
    CHECK(fleet.claimAndWait(1, key, "three handles")->isRefused(ErrorKind::KeyConflict));
    fleet.complete(0, key, "ok");
    CHECK(fleet.claimAndWait(0, key, "three handles")->isRefused(ErrorKind::KeyConflict));
    CHECK(fleet.claimAndWait(1, key, "three handles")->isRefused(ErrorKind::KeyConflict));
    CHECK(fleet.dispatches(key) == 1);
}

// Guards against claims whose duplicates could no longer be detected.
TEST_CASE("expired, future and malformed keys are refused")
{
    ClaimFleet fleet(1);
    CHECK(fleet.claimAndWait(0, fleet.keyOfAge(24h + 1min))->isRefused(ErrorKind::KeyExpired));
    CHECK(fleet.claimAndWait(0, fleet.keyOfAge(23h))->isGranted());
    CHECK(fleet.claimAndWait(0, fleet.keyOfAge(-1h))->isRefused(ErrorKind::BadKey));
    CHECK(fleet.claimAndWait(0, "order-17")->isRefused(ErrorKind::BadKey));
}

// Guards against a second run when a daemon's clock is slow and the epoch's records have been removed, also when the
// daemon has part of the log in memory.
TEST_CASE("a daemon whose clock is slow cannot claim in a closed epoch")
{
    ClaimFleet fleet(2);
    auto claimed = fleet.keyWithPreferredWriter(1);
    auto shard = claimShardOf(claimIdOf(AccountId("repairer"), claimed));
    REQUIRE(fleet.claimAndWait(1, claimed)->isGranted()); // makes both daemons load the log
    std::string later;
    do
        later = fleet.keyOfAge(0s);
    while (claimShardOf(claimIdOf(AccountId("repairer"), later)) != shard);
    fleet[1].peers.isDown = true;
    REQUIRE(fleet.claimAndWait(0, later)->isGranted()); // daemon 1 does not read this record
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

// Guards against "already run" in place of the recorded response of a completed call.
TEST_CASE("a duplicate of a completed call at another daemon gets the recorded response")
{
    ClaimFleet fleet(3);
    auto key = fleet.keyWithPreferredWriter(2);
    REQUIRE(fleet.claimAndWait(0, key)->isGranted());
    fleet.complete(0, key, "carton 9");
    auto duplicate = fleet.claimAndWait(1, key);
    REQUIRE(duplicate->isCompleted());
    const auto& response = std::get<ClaimCompleted>(**duplicate->decision).response;
    CHECK(response.body == "carton 9");
    CHECK(response.headers.value("X-Order") == "1");
    fleet.advance(RecordedResponses::lifetime);
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::AlreadyRun));
}

// Guards against a claim that is lost together with the reply of the preferred writer.
TEST_CASE("a daemon writes the claim itself when the reply of the preferred writer is lost")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyWithPreferredWriter(1);
    fleet[1].peers.lostReplies = 1;
    CHECK(fleet.claimAndWait(0, key)->isGranted());
    auto otherKey = fleet.keyWithPreferredWriter(1);
    fleet[1].peers.isUnresponsive = true;
    CHECK(fleet.claimAndWait(0, otherKey)->isGranted());
    CHECK(fleet.maximumDispatches() == 1);
}

// Guards against reporting "not run" for a forwarded claim whose reply was lost, as the writer may have written it.
TEST_CASE("the outcome is unknown when the reply is lost and the key-value service cannot be reached")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyWithPreferredWriter(1);
    fleet[0].store.faults().isOutage = true;
    fleet[1].peers.lostReplies = 1;
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::OutcomeUnknown));
    fleet[1].peers.isDown = true; // a retry that cannot be forwarded does not turn the first attempt into "not run"
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::OutcomeUnknown));
    fleet[1].peers.isDown = false;
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.claimAndWait(0, key)->isGranted());
    CHECK(fleet.dispatches(key) == 1);
}

// Guards against refusing a retry at the daemon that has reported that nothing was sent.
TEST_CASE("an abandoned call runs on a retry at the same daemon only")
{
    ClaimFleet fleet(2);
    auto key = fleet.keyWithPreferredWriter(0);
    REQUIRE(fleet.claimAndWait(0, key)->isGranted());
    fleet[0].claims.abandon(AccountId("repairer"), key);
    CHECK(fleet.claimAndWait(1, key)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.claimAndWait(0, key)->isGranted());
    CHECK(fleet.claimAndWait(0, key)->isRefused(ErrorKind::AlreadyRun));
}

// Guards against a second run of a daemon key at another daemon or after a restart, and against unnecessary writes.
TEST_CASE("daemon keys need no write and are decided by their owner only")
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
    CHECK(fleet.claimAndWait(0, foreign)->isCompleted());
    auto lost = prefix + fleet.keyOfAge(0s);
    fleet[0].peers.lostReplies = 1;
    CHECK(fleet.claimAndWait(1, lost)->isRefused(ErrorKind::OutcomeUnknown));
    CHECK(fleet.claimAndWait(0, lost)->isRefused(ErrorKind::AlreadyRun));
    CHECK(fleet.claimAndWait(0, prefix + fleet.keyOfAge(61min))->isRefused(ErrorKind::KeyExpired));
    fleet.restart(0);
    CHECK(fleet.claimAndWait(0, own)->isRefused(ErrorKind::OutcomeUnknown));
    CHECK(fleet.claimAndWait(1, prefix + fleet.keyOfAge(0s))->isRefused(ErrorKind::OutcomeUnknown));
    CHECK(fleet[0].store.writes() + fleet[1].store.writes() == 0);
    CHECK(fleet.maximumDispatches() == 1);
}

// Guards against an unknown outcome for a call that no daemon ran, when the key's owner has not been discovered yet.
TEST_CASE("a claim of a daemon key waits for an owner that has not been discovered yet")
{
    ClaimFleet fleet(2);
    fleet[0].peers.isUndiscovered = true;
    auto attempt = fleet.claim(1, fleet[0].claims.keyPrefix() + "." + fleet.keyOfAge(0s));
    fleet.advance(1s);
    CHECK_FALSE(attempt->decision);
    fleet[0].peers.isUndiscovered = false;
    fleet.advance(1s);
    CHECK(attempt->isGranted());
}

// Guards against a refusal that hides an earlier attempt's claim (H5), and against a store call for each refusal.
TEST_CASE("a look-up finds a claim in the log without claiming, and concurrent look-ups share reads")
{
    const AccountId account("repairer"); // the account that ClaimFleet uses
    ClaimFleet fleet(2);
    auto key = fleet.keyWithPreferredWriter(0);
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
    auto unclaimed = fleet.keyWithPreferredWriter(0);
    for (int i = 0; i < 50; ++i) {
        asio::co_spawn(fleet.context, fleet[1].claims.findClaimInLog(account, unclaimed, digestOf("body")), asio::detached);
        fleet.advance(10ms);
    }
    fleet.advance(2s);
    CHECK(fleet[1].store.calls("read") - reads <= 4);
    fleet[1].store.faults().isOutage = true;
    CHECK_FALSE(find(1, fleet.keyWithPreferredWriter(0), "body"));
}
