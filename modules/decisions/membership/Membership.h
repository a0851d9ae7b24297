#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/membership/Member.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace chestnut {

constexpr Duration heartbeatPeriod = std::chrono::seconds(1);
/** A member is suspected when its counter has not increased for this long. */
constexpr Duration suspicionTime = std::chrono::seconds(3);
/** A member is removed when its counter has not increased for this long. */
constexpr Duration removalTime = std::chrono::seconds(10);
constexpr size_t randomHeartbeatTargets = 2;
constexpr size_t recordsPerHeartbeat = 16;
constexpr size_t updatesPerHeartbeat = 120;
/** Bytes of records and updates in one message. 6 messages a second with an envelope and a sender's record of
    250 bytes stay below 10 KB/s. */
constexpr size_t payloadBytesPerHeartbeat = 1200;
constexpr size_t estimatedRecordBytes = 110;
constexpr size_t updateBytes = 8;
/** Updates that always fit beside the records, so that the records of many joining members do not displace the updates that
    keep other members from being suspected. */
constexpr size_t minimumUpdatesPerHeartbeat = 80;
/** Changed records that are sent without a request; more of them are mostly duplicates for the receiver. */
constexpr size_t changedRecordsPerHeartbeat = 4;
/** Transmissions of a changed record by one daemon. Members that receive none of them request the record. */
constexpr uint32_t transmissionsPerChange = 4;
/** An update of a member is requested when its counter has not increased for this long. At 330 members a counter reaches
    each peer every 1.7 s on average; without requests, one in six intervals exceeds the 3 s until suspicion. */
constexpr Duration updateRequestDelay = std::chrono::milliseconds(1500);
constexpr size_t updateRequestsPerHeartbeat = 24;
/** Removed members whose records are kept, so that late heartbeats do not readmit them; takes about 1 MB at most. */
constexpr size_t maximumRemovedMembers = 4096;

constexpr size_t renewalBytes = 24;
/** Transmissions of a renewal by one daemon; more are mostly duplicates while hundreds of members renew at once. */
constexpr uint32_t transmissionsPerRenewal = 2;
/** Renewals in one message. After a partition between regions every member takes a new incarnation at once; 330 of them
    pass through 32 at a time within a few seconds. */
constexpr size_t renewalsPerHeartbeat = 32;
/** For this long after a renewal, most of the peers that request its record have the earlier one and get the renewal
    instead; one reply in fullRecordShare is the full record, for peers without the earlier one. */
constexpr Duration renewalReplyTime = std::chrono::seconds(30);
constexpr uint64_t fullRecordShare = 4;
/** Transmissions of a departure announcement by one daemon. */
constexpr uint32_t transmissionsPerDeparture = 12;
/** Peers to which a departing daemon sends its announcement directly. */
constexpr size_t departureTargets = 6;

/** Identifies a member and its incarnation in an update: a hash of both. */
using UpdateKey = uint32_t;
/** Identifies a member by what stays the same when it takes a new incarnation: id, zone, region and addresses. */
using DescriptionKey = uint32_t;

UpdateKey updateKey(const DaemonId&, Incarnation);
DescriptionKey descriptionKey(const MemberRecord&);

/** The changing fields of a member's record, packed into 8 bytes. It applies only where the record of that incarnation
    is present. The state Dropped means that the member itself announced its departure. */
struct MemberUpdate {
    UpdateKey key = 0;
    uint16_t counter = 0; /**< low 16 bits; wraps after 18 h, long after a silent member was removed */
    MemberState state = MemberState::Joining;
    bool hasSenderRevision = false; /**< the member has the revision of the message's sender */
    uint32_t loadPermille = 0; /**< in steps of loadStepPermille, at most 255 steps */

    auto operator<=>(const MemberUpdate&) const = default;
};

constexpr uint32_t loadStepPermille = 8;

/** A new incarnation of a member, packed into 24 bytes. It applies where a record of an earlier incarnation with the same
    description is present, even that of a removed member; other daemons request the record. */
struct MemberRenewal {
    DescriptionKey key = 0;
    Incarnation incarnation = 0;
    uint16_t counter = 0; /**< at most the member's counter */
    MemberState state = MemberState::Joining;
    uint32_t loadPermille = 0; /**< in steps of loadStepPermille, at most 255 steps */
    Revision revision = 0;

    auto operator<=>(const MemberRenewal&) const = default;
};

/** The membership part of one heartbeat or of its reply. */
struct HeartbeatPayload {
    MemberRecord own;
    std::vector<MemberRecord> records; /**< at most recordsPerHeartbeat */
    std::vector<MemberUpdate> updates; /**< at most updatesPerHeartbeat */
    std::vector<UpdateKey> recordRequests; /**< keys whose records the sender requests */
    std::vector<UpdateKey> updateRequests; /**< keys of members whose updates the sender requests */
    std::vector<MemberRenewal> renewals; /**< at most renewalsPerHeartbeat */

    bool operator==(const HeartbeatPayload&) const = default;
};

struct MemberEntry {
    MemberRecord record; /**< as the member announced it */
    UpdateKey key = 0;
    TimePoint counterIncreasedAt;
    bool isSuspected = false;
    uint32_t recordSent = 0; /**< transmissions since the record was added or changed */
    uint32_t updateSent = 0; /**< transmissions since the counter increased */
    UpdateKey formerKey = 0; /**< key of the incarnation that this one replaced; 0: none */
    TimePoint admittedAt;
    bool isRenewal = false; /**< differs from an earlier record only in its changing fields */
};

/** A member that announced its departure. */
struct Departure {
    MemberUpdate update;
    uint32_t sent = 0;
    TimePoint receivedAt;
};

/** One daemon's view of the membership. */
struct MemberTable {
    MemberRecord self;
    std::map<DaemonId, MemberEntry> others;
    std::map<DaemonId, MemberRecord> removed;
    std::unordered_map<UpdateKey, DaemonId> byKey; /**< of `others` */
    std::unordered_map<UpdateKey, DaemonId> formerKeys; /**< of `others`, by the previous incarnation */
    std::unordered_map<DescriptionKey, DaemonId> byDescription; /**< of `others` and `removed` */
    std::unordered_map<UpdateKey, DaemonId> removedKeys;
    std::unordered_map<UpdateKey, Departure> departures; /**< announced within removalTime */
    std::set<DaemonId> removedButAlive; /**< removed members whose counters have increased since */
    std::vector<UpdateKey> recordsToRequest; /**< keys of received updates for which there is no record */
};

/** Why a daemon has to take a new incarnation. */
enum class IncarnationConflict : uint8_t {
    None,
    AnnouncedDropped, /**< peers removed this incarnation, for instance during a pause or a partition */
    NewerRecord, /**< a record of this id is newer than this daemon's own: a second process, or a clock set back */
};

struct MergeOutcome {
    std::vector<MemberRecord> changes; /**< members that are new or changed in state, incarnation or revision */
    IncarnationConflict conflict = IncarnationConflict::None;
    std::optional<MemberRecord> conflictingRecord;
};

/** Whether a record supersedes another one of the same member: newer incarnation first, then larger counter. */
bool supersedes(const MemberRecord& candidate, const MemberRecord& present);

/** The record as other modules see it: state Suspected when the member is suspected. */
MemberRecord visibleRecord(const MemberEntry&);

/** Merges a heartbeat or its reply. Late and duplicated ones have no effect. */
MergeOutcome mergeHeartbeatPayload(MemberTable&, const HeartbeatPayload&, TimePoint now);

/** Suspects and removes members whose counters stopped increasing. Returns the records that changed; removed ones have
    the state Dropped. */
std::vector<MemberRecord> expireMembers(MemberTable&, TimePoint now);

/** Sets the state of the own record to Dropped, so that the next heartbeats announce its departure. */
void announceDeparture(MemberTable&);

/** Peers for the next heartbeat: 2 at random and 1 of another zone, without repeats. */
std::vector<MemberRecord> chooseHeartbeatTargets(const MemberTable&, std::mt19937_64&);

/** Peers that get this daemon's departure announcement: at most departureTargets, none of them suspected. */
std::vector<MemberRecord> chooseDepartureTargets(const MemberTable&, std::mt19937_64&);

/** Takes a removed member whose counter still increases, at random, so that the daemons do not all notify the same member
    first. A heartbeat with a notice makes it take a new incarnation; otherwise it would detect its removal only when it
    chooses this daemon as a target, after minutes in a large fleet. */
std::optional<MemberRecord> takeRemovedButAlive(MemberTable&, std::mt19937_64&);

/** Composes a heartbeat, or the reply to one when the request is given: the own record, the records and updates requested,
    a notice when the sender was removed, and the records and updates that this daemon has sent least often.
    @param payloadBytes bytes for records and updates */
HeartbeatPayload composeHeartbeatPayload(MemberTable&, TimePoint now, std::mt19937_64&, size_t payloadBytes, const HeartbeatPayload* request = nullptr);

/** Increments the counter of this daemon's heartbeats. */
void incrementOwnCounter(MemberTable&);

/** Takes a new incarnation, larger than the conflicting one and than the wall clock in milliseconds. */
void renewIncarnation(MemberTable&, Incarnation wallClockMilliseconds, const std::optional<MemberRecord>& conflictingRecord);

} // namespace chestnut
