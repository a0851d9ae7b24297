#include "decisions/membership/Membership.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { Duration::zero() };

MemberRecord recordOf(const char* id, Incarnation incarnation, uint64_t counter, Revision revision = 1, const char* zone = "a")
{
    MemberRecord record;
    record.id = DaemonId(id);
    record.incarnation = incarnation;
    record.counter = counter;
    record.state = MemberState::Ready;
    record.zone = AvailabilityZone(zone);
    record.revision = revision;
    return record;
}

HeartbeatPayload newsFrom(const MemberRecord& own)
{
    return { own, {}, {}, {}, {} };
}

MemberTable tableOfSelf()
{
    MemberTable table;
    table.self = recordOf("self", 100, 10);
    return table;
}

const MemberRecord& knownRecord(const MemberTable& table, const char* id)
{
    return table.others.at(DaemonId(id)).record;
}

} // namespace

// Guards against a late or duplicated heartbeat that keeps a dead member alive or takes a revision back.
TEST_CASE("late and duplicated heartbeats have no effect")
{
    auto table = tableOfSelf();
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 20, 7)), start);
    CHECK(mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 20, 7)), start + 2s).changes.empty());
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 19, 6)), start + 2s);
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 4, 99, 9)), start + 2s);
    CHECK(knownRecord(table, "b") == recordOf("b", 5, 20, 7));
    CHECK(table.others.at(DaemonId("b")).counterIncreasedAt == start);
    // A larger counter with an older revision cannot come from a correct daemon; the revision stays.
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 21, 6)), start + 2s);
    CHECK(knownRecord(table, "b").revision == 7);
}

// Guards against a revision that stays unknown because a relayed update brought the counter first (found by the fuzzer with
// seed 201).
TEST_CASE("a record with a known counter still raises the revision")
{
    auto table = tableOfSelf();
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 20, 7)), start);
    CHECK(mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 20, 8)), start).changes.size() == 1);
    CHECK(knownRecord(table, "b").revision == 8);
}

// Guards against a removed member that returns through an old record relayed by a slow peer, and against one that cannot
// return at all.
TEST_CASE("a silent member is suspected, removed, and readmitted only with a new incarnation")
{
    auto table = tableOfSelf();
    auto record = recordOf("b", 5, 20);
    mergeHeartbeatPayload(table, newsFrom(record), start);
    CHECK(expireMembers(table, start + 2999ms).empty());
    REQUIRE(expireMembers(table, start + 3s).size() == 1);
    CHECK(visibleRecord(table.others.at(DaemonId("b"))).state == MemberState::Suspected);
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 21)), start + 4s);
    CHECK(visibleRecord(table.others.at(DaemonId("b"))).state == MemberState::Ready);
    REQUIRE(expireMembers(table, start + 14s).front().state == MemberState::Dropped);
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 30)), start + 15s);
    CHECK(table.others.empty());
    CHECK(mergeHeartbeatPayload(table, newsFrom(recordOf("b", 6, 1)), start + 16s).changes.size() == 1);
    CHECK(table.removed.empty());
}

// Guards against a paused daemon that goes on under an incarnation its peers have removed.
TEST_CASE("the sender of a heartbeat learns that it was removed and takes a new incarnation")
{
    std::mt19937_64 random(1);
    auto table = tableOfSelf();
    auto resumed = tableOfSelf();
    resumed.self = recordOf("b", 5, 20);
    mergeHeartbeatPayload(table, newsFrom(resumed.self), start);
    expireMembers(table, start + 10s);
    auto request = newsFrom(resumed.self);
    auto reply = composeHeartbeatPayload(table, start + 11s, random, payloadBytesPerHeartbeat, &request);
    auto outcome = mergeHeartbeatPayload(resumed, reply, start + 11s);
    REQUIRE(outcome.conflict == IncarnationConflict::AnnouncedDropped);
    renewIncarnation(resumed, 0, outcome.conflictingRecord);
    CHECK(resumed.self.incarnation == 6);
    mergeHeartbeatPayload(table, newsFrom(resumed.self), start + 12s);
    CHECK(knownRecord(table, "b").incarnation == 6);
}

// Guards against two processes with one id that silently overwrite each other's record.
TEST_CASE("a newer record of the own id is a conflict, an older one is not")
{
    auto table = tableOfSelf();
    CHECK(mergeHeartbeatPayload(table, newsFrom(recordOf("self", 100, 9)), start).conflict == IncarnationConflict::None);
    CHECK(mergeHeartbeatPayload(table, newsFrom(recordOf("self", 99, 50)), start).conflict == IncarnationConflict::None);
    CHECK(mergeHeartbeatPayload(table, newsFrom(recordOf("self", 100, 11)), start).conflict == IncarnationConflict::NewerRecord);
    CHECK(mergeHeartbeatPayload(table, newsFrom(recordOf("self", 101, 1)), start).conflict == IncarnationConflict::NewerRecord);
    HeartbeatPayload relayed = newsFrom(recordOf("b", 1, 1));
    relayed.updates.push_back({ updateKey(DaemonId("self"), 100), 11, MemberState::Ready, false, 0 });
    CHECK(mergeHeartbeatPayload(table, relayed, start).conflict == IncarnationConflict::NewerRecord);
    CHECK(table.others.size() == 1);
}

// Guards against a wrapped counter that looks older and lets a running member be removed after 18 hours.
TEST_CASE("an update's counter continues across its wrap")
{
    auto table = tableOfSelf();
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 65535, 3)), start);
    auto relayed = newsFrom(recordOf("c", 1, 1, 4));
    relayed.updates.push_back({ updateKey(DaemonId("b"), 5), 1, MemberState::Leaving, true, 80 });
    mergeHeartbeatPayload(table, relayed, start + 1s);
    CHECK(knownRecord(table, "b").counter == 65537);
    CHECK(knownRecord(table, "b").revision == 4);
    CHECK(knownRecord(table, "b").state == MemberState::Leaving);
    relayed.updates[0].counter = 0;
    CHECK(mergeHeartbeatPayload(table, relayed, start + 2s).changes.empty());
}

// Guards against heartbeats that stay within one zone, so that a zone partition goes unnoticed.
TEST_CASE("heartbeat targets are two random peers and one of another zone")
{
    std::mt19937_64 random(1);
    auto table = tableOfSelf();
    for (int i = 0; i < 20; ++i)
        mergeHeartbeatPayload(table, newsFrom(recordOf(("a" + std::to_string(i)).c_str(), 1, 1)), start);
    mergeHeartbeatPayload(table, newsFrom(recordOf("other", 1, 1, 1, "b")), start);
    for (int i = 0; i < 50; ++i) {
        auto targets = chooseHeartbeatTargets(table, random);
        std::set<DaemonId> ids;
        for (const auto& target : targets)
            ids.insert(target.id);
        CHECK(ids.size() == targets.size());
        CHECK(ids.contains(DaemonId("other")));
        CHECK(targets.size() <= 3);
        CHECK(targets.size() >= 2);
    }
}

// Guards against heartbeats that grow with the fleet.
TEST_CASE("a heartbeat stays within its limits")
{
    std::mt19937_64 random(1);
    auto table = tableOfSelf();
    for (int i = 0; i < 400; ++i)
        mergeHeartbeatPayload(table, newsFrom(recordOf(("m" + std::to_string(i)).c_str(), 1, 1)), start);
    auto request = newsFrom(recordOf("m1", 1, 1));
    for (int i = 0; i < 24; ++i)
        request.unknown.push_back(updateKey(DaemonId("m" + std::to_string(i)), 1));
    auto reply = composeHeartbeatPayload(table, start + 2s, random, payloadBytesPerHeartbeat, &request);
    CHECK(reply.records.size() <= recordsPerHeartbeat);
    CHECK(reply.updates.size() >= leastUpdatesPerHeartbeat);
    CHECK(reply.records.size() * estimatedRecordBytes + reply.updates.size() * updateBytes <= payloadBytesPerHeartbeat);
    auto heartbeat = composeHeartbeatPayload(table, start + 2s, random, payloadBytesPerHeartbeat);
    CHECK(heartbeat.silent.size() <= updateRequestsPerHeartbeat);
}

// Guards against renewals that only peers with the earlier incarnation in their table understand, and against one that takes
// over what another member announced.
TEST_CASE("a renewal derives the record of a known or removed member")
{
    auto table = tableOfSelf();
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 20, 7)), start);
    auto relayed = newsFrom(recordOf("c", 1, 1));
    relayed.renewals = { { descriptionKey(recordOf("b", 0, 0)), 6, 2, MemberState::Leaving, 80, 8 } };
    CHECK(mergeHeartbeatPayload(table, relayed, start + 1s).changes.size() == 2);
    CHECK(knownRecord(table, "b").incarnation == 6);
    CHECK(knownRecord(table, "b").revision == 8);
    CHECK(knownRecord(table, "b").state == MemberState::Leaving);
    expireMembers(table, start + 11s);
    REQUIRE(table.others.empty());
    CHECK(mergeHeartbeatPayload(table, relayed, start + 12s).changes.empty());
    CHECK_FALSE(table.others.contains(DaemonId("b")));
    relayed.renewals[0].incarnation = 7;
    mergeHeartbeatPayload(table, relayed, start + 13s);
    CHECK(knownRecord(table, "b").incarnation == 7);
    relayed.renewals[0].key = descriptionKey(recordOf("x", 0, 0));
    CHECK(mergeHeartbeatPayload(table, relayed, start + 13s).changes.empty());
}

// Guards against a planned stop that is suspected first, that old news take back, or that relaying daemons do not pass on.
TEST_CASE("an announced end removes the member at once and is passed on")
{
    std::mt19937_64 random(1);
    auto table = tableOfSelf();
    auto leaving = tableOfSelf();
    leaving.self = recordOf("b", 5, 20);
    mergeHeartbeatPayload(table, newsFrom(leaving.self), start);
    announceDeparture(leaving);
    auto outcome = mergeHeartbeatPayload(table, newsFrom(leaving.self), start + 1s);
    REQUIRE(outcome.changes.size() == 1);
    CHECK(outcome.changes[0].state == MemberState::Dropped);
    mergeHeartbeatPayload(table, newsFrom(recordOf("b", 5, 20)), start + 1s);
    CHECK(table.others.empty());

    MemberTable other;
    other.self = recordOf("c", 1, 1);
    mergeHeartbeatPayload(other, newsFrom(recordOf("b", 5, 20)), start);
    CHECK(mergeHeartbeatPayload(other, composeHeartbeatPayload(table, start + 1s, random, payloadBytesPerHeartbeat), start + 1s).changes.size() == 2);
    CHECK_FALSE(other.others.contains(DaemonId("b")));
    // A reply that names it as removed does not make the leaving daemon take a new incarnation.
    CHECK(mergeHeartbeatPayload(leaving, newsFrom(other.removed.at(DaemonId("b"))), start + 2s).conflict == IncarnationConflict::None);
}
