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

HeartbeatPayload payloadFrom(const MemberRecord& own)
{
    return { own, {}, {}, {}, {} };
}

MemberTable tableOfSelf()
{
    MemberTable table;
    table.self = recordOf("self", 100, 10);
    return table;
}

const MemberRecord& recordIn(const MemberTable& table, const char* id)
{
    return table.others.at(DaemonId(id)).record;
}

} // namespace

// Guards against a late or duplicated heartbeat that keeps a stopped member in the table or lowers a revision.
TEST_CASE("late and duplicated heartbeats have no effect")
{
    auto table = tableOfSelf();
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 20, 7)), start);
    CHECK(mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 20, 7)), start + 2s).changes.empty());
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 19, 6)), start + 2s);
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 4, 99, 9)), start + 2s);
    CHECK(recordIn(table, "b") == recordOf("b", 5, 20, 7));
    CHECK(table.others.at(DaemonId("b")).counterIncreasedAt == start);
    // A correct daemon sends no larger counter with an older revision; the revision is kept.
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 21, 6)), start + 2s);
    CHECK(recordIn(table, "b").revision == 7);
}

// Guards against a revision that is lost because a relayed update delivered the counter first (found by the fuzzer with
// seed 201).
TEST_CASE("a record with an unchanged counter still raises the revision")
{
    auto table = tableOfSelf();
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 20, 7)), start);
    CHECK(mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 20, 8)), start).changes.size() == 1);
    CHECK(recordIn(table, "b").revision == 8);
}

// Guards against a removed member that is readmitted by an old record from a slow peer, and against one that cannot be
// readmitted at all.
TEST_CASE("a silent member is suspected, removed, and readmitted only with a new incarnation")
{
    auto table = tableOfSelf();
    auto record = recordOf("b", 5, 20);
    mergeHeartbeatPayload(table, payloadFrom(record), start);
    CHECK(expireMembers(table, start + 2999ms).empty());
    REQUIRE(expireMembers(table, start + 3s).size() == 1);
    CHECK(visibleRecord(table.others.at(DaemonId("b"))).state == MemberState::Suspected);
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 21)), start + 4s);
    CHECK(visibleRecord(table.others.at(DaemonId("b"))).state == MemberState::Ready);
    REQUIRE(expireMembers(table, start + 14s).front().state == MemberState::Dropped);
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 30)), start + 15s);
    CHECK(table.others.empty());
    CHECK(mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 6, 1)), start + 16s).changes.size() == 1);
    CHECK(table.removed.empty());
}

// Guards against a paused daemon that continues with an incarnation that its peers have removed.
TEST_CASE("the sender of a heartbeat is notified that it was removed and takes a new incarnation")
{
    std::mt19937_64 random(1);
    auto table = tableOfSelf();
    auto resumed = tableOfSelf();
    resumed.self = recordOf("b", 5, 20);
    mergeHeartbeatPayload(table, payloadFrom(resumed.self), start);
    expireMembers(table, start + 10s);
    auto request = payloadFrom(resumed.self);
    auto reply = composeHeartbeatPayload(table, start + 11s, random, payloadBytesPerHeartbeat, &request);
    auto outcome = mergeHeartbeatPayload(resumed, reply, start + 11s);
    REQUIRE(outcome.conflict == IncarnationConflict::AnnouncedDropped);
    renewIncarnation(resumed, 0, outcome.conflictingRecord);
    CHECK(resumed.self.incarnation == 6);
    mergeHeartbeatPayload(table, payloadFrom(resumed.self), start + 12s);
    CHECK(recordIn(table, "b").incarnation == 6);
}

// Guards against two processes with one id that overwrite each other's record undetected.
TEST_CASE("a newer record of the own id is a conflict, an older one is not")
{
    auto table = tableOfSelf();
    CHECK(mergeHeartbeatPayload(table, payloadFrom(recordOf("self", 100, 9)), start).conflict == IncarnationConflict::None);
    CHECK(mergeHeartbeatPayload(table, payloadFrom(recordOf("self", 99, 50)), start).conflict == IncarnationConflict::None);
    CHECK(mergeHeartbeatPayload(table, payloadFrom(recordOf("self", 100, 11)), start).conflict == IncarnationConflict::NewerRecord);
    CHECK(mergeHeartbeatPayload(table, payloadFrom(recordOf("self", 101, 1)), start).conflict == IncarnationConflict::NewerRecord);
    HeartbeatPayload relayed = payloadFrom(recordOf("b", 1, 1));
    relayed.updates.push_back({ updateKey(DaemonId("self"), 100), 11, MemberState::Ready, false, 0 });
    CHECK(mergeHeartbeatPayload(table, relayed, start).conflict == IncarnationConflict::NewerRecord);
    CHECK(table.others.size() == 1);
}

// Guards against a wrapped counter that looks older and lets a running member be removed after 18 hours.
TEST_CASE("an update's counter continues across its wrap")
{
    auto table = tableOfSelf();
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 65535, 3)), start);
    auto relayed = payloadFrom(recordOf("c", 1, 1, 4));
    relayed.updates.push_back({ updateKey(DaemonId("b"), 5), 1, MemberState::Leaving, true, 80 });
    mergeHeartbeatPayload(table, relayed, start + 1s);
    CHECK(recordIn(table, "b").counter == 65537);
    CHECK(recordIn(table, "b").revision == 4);
    CHECK(recordIn(table, "b").state == MemberState::Leaving);
    relayed.updates[0].counter = 0;
    CHECK(mergeHeartbeatPayload(table, relayed, start + 2s).changes.empty());
}

// Guards against heartbeats that stay within one zone, so that a partition between zones is not detected.
TEST_CASE("heartbeat targets are two random peers and one of another zone")
{
    std::mt19937_64 random(1);
    auto table = tableOfSelf();
    for (int i = 0; i < 20; ++i)
        mergeHeartbeatPayload(table, payloadFrom(recordOf(("a" + std::to_string(i)).c_str(), 1, 1)), start);
    mergeHeartbeatPayload(table, payloadFrom(recordOf("other", 1, 1, 1, "b")), start);
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

// Guards against heartbeats whose size grows with the fleet.
TEST_CASE("a heartbeat stays within its limits")
{
    std::mt19937_64 random(1);
    auto table = tableOfSelf();
    for (int i = 0; i < 400; ++i)
        mergeHeartbeatPayload(table, payloadFrom(recordOf(("m" + std::to_string(i)).c_str(), 1, 1)), start);
    auto request = payloadFrom(recordOf("m1", 1, 1));
    for (int i = 0; i < 24; ++i)
        request.recordRequests.push_back(updateKey(DaemonId("m" + std::to_string(i)), 1));
    auto reply = composeHeartbeatPayload(table, start + 2s, random, payloadBytesPerHeartbeat, &request);
    CHECK(reply.records.size() <= recordsPerHeartbeat);
    CHECK(reply.updates.size() >= minimumUpdatesPerHeartbeat);
    CHECK(reply.records.size() * estimatedRecordBytes + reply.updates.size() * updateBytes <= payloadBytesPerHeartbeat);
    auto heartbeat = composeHeartbeatPayload(table, start + 2s, random, payloadBytesPerHeartbeat);
    CHECK(heartbeat.updateRequests.size() <= updateRequestsPerHeartbeat);
}

// Guards against renewals that are ignored because the member was removed, and against one that replaces the record of
// another member.
TEST_CASE("a renewal derives its record from that of a present or removed member")
{
    auto table = tableOfSelf();
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 20, 7)), start);
    auto relayed = payloadFrom(recordOf("c", 1, 1));
    relayed.renewals = { { descriptionKey(recordOf("b", 0, 0)), 6, 2, MemberState::Leaving, 80, 8 } };
    CHECK(mergeHeartbeatPayload(table, relayed, start + 1s).changes.size() == 2);
    CHECK(recordIn(table, "b").incarnation == 6);
    CHECK(recordIn(table, "b").revision == 8);
    CHECK(recordIn(table, "b").state == MemberState::Leaving);
    expireMembers(table, start + 11s);
    REQUIRE(table.others.empty());
    CHECK(mergeHeartbeatPayload(table, relayed, start + 12s).changes.empty());
    CHECK_FALSE(table.others.contains(DaemonId("b")));
    relayed.renewals[0].incarnation = 7;
    mergeHeartbeatPayload(table, relayed, start + 13s);
    CHECK(recordIn(table, "b").incarnation == 7);
    relayed.renewals[0].key = descriptionKey(recordOf("x", 0, 0));
    CHECK(mergeHeartbeatPayload(table, relayed, start + 13s).changes.empty());
}

// Guards against a planned stop that is detected only by suspicion, reverted by an old record, or not relayed.
TEST_CASE("a departure announcement removes the member at once and is relayed")
{
    std::mt19937_64 random(1);
    auto table = tableOfSelf();
    auto leaving = tableOfSelf();
    leaving.self = recordOf("b", 5, 20);
    mergeHeartbeatPayload(table, payloadFrom(leaving.self), start);
    announceDeparture(leaving);
    auto outcome = mergeHeartbeatPayload(table, payloadFrom(leaving.self), start + 1s);
    REQUIRE(outcome.changes.size() == 1);
    CHECK(outcome.changes[0].state == MemberState::Dropped);
    mergeHeartbeatPayload(table, payloadFrom(recordOf("b", 5, 20)), start + 1s);
    CHECK(table.others.empty());

    MemberTable other;
    other.self = recordOf("c", 1, 1);
    mergeHeartbeatPayload(other, payloadFrom(recordOf("b", 5, 20)), start);
    CHECK(mergeHeartbeatPayload(other, composeHeartbeatPayload(table, start + 1s, random, payloadBytesPerHeartbeat), start + 1s).changes.size() == 2);
    CHECK_FALSE(other.others.contains(DaemonId("b")));
    // A reply with its own record as removed does not make the leaving daemon take a new incarnation.
    CHECK(mergeHeartbeatPayload(leaving, payloadFrom(other.removed.at(DaemonId("b"))), start + 2s).conflict == IncarnationConflict::None);
}
