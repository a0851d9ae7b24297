#include "decisions/claims/ClaimLog.h"
#include "decisions/claims/ClaimKey.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

ClaimEntry entryOf(uint64_t id, uint64_t nonce)
{
    return { { 0, id }, { 0, 1 }, { 0, nonce }, DaemonId("d") };
}

} // namespace

// Guards against a key that one daemon parses as shared and another one as a daemon key.
TEST_CASE("keys are parsed into prefix and time, and anything else is refused")
{
    CHECK(parseClaimKey("1700000000-a.b-c") == ClaimKey { "", 1700000000s });
    CHECK(parseClaimKey("00ff.1700000000-x") == ClaimKey { "00ff", 1700000000s });
    for (auto text : { "", "-", "1700000000", "1700000000-", ".1700000000-x", "a.b.1700000000-x", "x1700000000-x", "17000000000-x", "1700000000-\n", "-1700000000-x" })
        CHECK_MESSAGE(!parseClaimKey(text), text);
    CHECK_FALSE(parseClaimKey("1700000000-" + std::string(maximumKeyLength, 'x')));
}

// Guards against removing an epoch whose keys are still accepted.
TEST_CASE("an epoch becomes closable only after its last key has expired")
{
    constexpr UnixSeconds now = 1'700'000'000s;
    CHECK(keyAge({ "", now - 24h }, now) == KeyAge::Valid);
    CHECK(keyAge({ "", now - 24h - 1s }, now) == KeyAge::Expired);
    CHECK(keyAge({ "p", now - 61min }, now) == KeyAge::Expired);
    CHECK(keyAge({ "", now + 11min }, now) == KeyAge::Ahead);
    auto epoch = claimEpochOf(now);
    auto lastKey = (epoch + 1) * claimEpochLength - 1s;
    for (auto time = lastKey; time < lastKey + 40h; time += 10min) {
        bool isAccepted = keyAge({ "", lastKey }, time) != KeyAge::Expired;
        bool isClosed = isEpochClosable(epoch, time);
        CHECK_FALSE((isAccepted && isClosed));
    }
}

// Guards against equal keys of two accounts that identify the same call.
TEST_CASE("accounts do not share keys")
{
    CHECK(claimIdOf(AccountId("a"), "1-x") != claimIdOf(AccountId("b"), "1-x"));
    CHECK(daemonKeyPrefix(DaemonId("a"), 1) != daemonKeyPrefix(DaemonId("a"), 2));
}

// Guards against a later claim that replaces the winning one.
TEST_CASE("the first claim of a call is the winning one")
{
    ClaimLog log;
    appendRecord(log, { {}, { entryOf(1, 10) } });
    appendRecord(log, { {}, { entryOf(1, 11), entryOf(2, 12) } });
    CHECK(log.next == 2);
    CHECK(classifyClaim(*findClaim(log, { 0, 1 }), entryOf(1, 10)) == ClaimOutcome::Granted);
    CHECK(classifyClaim(*findClaim(log, { 0, 1 }), entryOf(1, 11)) == ClaimOutcome::AlreadyClaimed);
    CHECK(buildBatch(log, std::vector { entryOf(1, 13), entryOf(3, 14), entryOf(3, 15) }) == std::vector { entryOf(3, 14) });
}

// Guards against a wrong conclusion from reading back a record when the response to its write was lost.
TEST_CASE("the outcome of a write follows from the record found under its number")
{
    Digest own { 1, 1 };
    ClaimRecord ownRecord { own, {} };
    ClaimRecord other { { 2, 2 }, {} };
    CHECK(classifyRecordWrite(own, ownRecord, false) == RecordWriteOutcome::Written);
    CHECK(classifyRecordWrite(own, ownRecord, true) == RecordWriteOutcome::Written);
    CHECK(classifyRecordWrite(own, other, false) == RecordWriteOutcome::Superseded);
    CHECK(classifyRecordWrite(own, std::nullopt, false) == RecordWriteOutcome::Absent);
    CHECK(classifyRecordWrite(own, std::nullopt, true) == RecordWriteOutcome::Closed);
}

// Guards against batches above the limits, duplicates in a batch and claims that are never logged.
TEST_CASE("successive batches log each call once, within the limits")
{
    rc::detail::TestParams parameters;
    parameters.seed = 99;
    auto property = [] {
        auto ids = *rc::gen::container<std::vector<uint8_t>>(rc::gen::arbitrary<uint8_t>());
        std::vector<ClaimEntry> waiting;
        waiting.reserve(ids.size());
        for (auto id : ids)
            waiting.push_back(entryOf(id, waiting.size()));
        ClaimLog log;
        size_t logged = 0;
        for (auto batch = buildBatch(log, waiting, 1000, 7); !batch.empty(); batch = buildBatch(log, waiting, 1000, 7)) {
            RC_ASSERT(batch.size() <= 7U);
            logged += batch.size();
            appendRecord(log, { {}, batch });
        }
        RC_ASSERT(logged == log.claims.size());
        RC_ASSERT(logged == std::set<uint8_t>(ids.begin(), ids.end()).size());
    };
    auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
    CHECK(result.is<rc::detail::SuccessResult>());
}
