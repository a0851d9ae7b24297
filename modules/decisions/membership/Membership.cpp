#include "decisions/membership/Membership.h"

#include "base/digest/Digest.h"

#include <algorithm>

namespace chestnut {

namespace {

    bool isVisiblyDifferent(const MemberRecord& left, const MemberRecord& right)
    {
        return left.state != right.state || left.incarnation != right.incarnation || left.revision != right.revision;
    }

    bool isDescriptionDifferent(const MemberRecord& left, const MemberRecord& right)
    {
        return left.incarnation != right.incarnation || left.peerAddress != right.peerAddress
            || left.callerAddress != right.callerAddress || left.zone != right.zone || left.region != right.region;
    }

    void addConflict(MergeOutcome& outcome, IncarnationConflict conflict, const MemberRecord& record)
    {
        outcome.conflict = std::max(outcome.conflict, conflict);
        if (!outcome.conflictingRecord || supersedes(record, *outcome.conflictingRecord))
            outcome.conflictingRecord = record;
    }

    void mergeOwnRecord(const MemberTable& table, const MemberRecord& record, MergeOutcome& outcome)
    {
        if (table.self.state == MemberState::Dropped)
            return;
        if (record.state == MemberState::Dropped && record.incarnation >= table.self.incarnation)
            addConflict(outcome, IncarnationConflict::AnnouncedDropped, record);
        else if (record.state != MemberState::Dropped && supersedes(record, table.self))
            addConflict(outcome, IncarnationConflict::NewerRecord, record);
    }

    bool wasRemoved(const MemberTable& table, const MemberRecord& record)
    {
        auto removed = table.removed.find(record.id);
        return removed != table.removed.end() && record.incarnation <= removed->second.incarnation;
    }

    void eraseRemoval(MemberTable& table, std::map<DaemonId, MemberRecord>::iterator removed)
    {
        table.byDescription.erase(descriptionKey(removed->second));
        table.removedKeys.erase(updateKey(removed->first, removed->second.incarnation));
        table.removedButAlive.erase(removed->first);
        table.removed.erase(removed);
    }

    void eraseKeys(MemberTable& table, const MemberEntry& member)
    {
        table.byKey.erase(member.key);
        table.formerKeys.erase(member.formerKey);
        if (member.key != 0)
            table.byDescription.erase(descriptionKey(member.record));
    }

    void admit(MemberTable& table, const MemberRecord& record, TimePoint now, MergeOutcome& outcome)
    {
        auto described = table.byDescription.find(descriptionKey(record));
        bool isRenewal = described != table.byDescription.end() && described->second == record.id;
        if (auto removed = table.removed.find(record.id); removed != table.removed.end())
            eraseRemoval(table, removed);
        auto key = updateKey(record.id, record.incarnation);
        std::erase(table.recordsToRequest, key);
        auto& member = table.others[record.id];
        eraseKeys(table, member);
        auto formerKey = member.key;
        member = MemberEntry { record, key, now };
        member.formerKey = formerKey;
        member.admittedAt = now;
        member.isRenewal = isRenewal;
        if (formerKey != 0)
            table.formerKeys[formerKey] = record.id;
        table.byKey[key] = record.id;
        table.byDescription[descriptionKey(record)] = record.id;
        outcome.changes.push_back(record);
    }

    /** Replaces the record by a newer one of the same incarnation; its revision never decreases. */
    void refresh(MemberTable& table, MemberEntry& member, MemberRecord record, TimePoint now, MergeOutcome& outcome)
    {
        record.revision = std::max(record.revision, member.record.revision);
        auto before = visibleRecord(member);
        if (isDescriptionDifferent(member.record, record)) {
            member.recordSent = 0;
            member.isRenewal = false;
            table.byDescription.erase(descriptionKey(member.record));
            table.byDescription[descriptionKey(record)] = record.id;
        }
        member.record = std::move(record);
        member.counterIncreasedAt = now;
        member.isSuspected = false;
        member.updateSent = 0;
        if (isVisiblyDifferent(before, member.record))
            outcome.changes.push_back(member.record);
    }

    /** An update may have carried the counter without the revision. Revisions only increase within an incarnation, so the
        larger one is kept, whatever the counter. */
    void raiseRevision(MemberEntry& member, Revision revision, MergeOutcome& outcome)
    {
        if (revision <= member.record.revision)
            return;
        member.record.revision = revision;
        outcome.changes.push_back(visibleRecord(member));
    }

    void mergeRecord(MemberTable& table, const MemberRecord& record, TimePoint now, MergeOutcome& outcome)
    {
        if (record.id.empty())
            return;
        if (record.id == table.self.id) {
            mergeOwnRecord(table, record, outcome);
            return;
        }
        // Dropped and Suspected are local decisions of one daemon; each daemon decides from the counter itself.
        if (record.state == MemberState::Dropped || record.state == MemberState::Suspected || wasRemoved(table, record))
            return;
        auto entry = table.others.find(record.id);
        if (entry == table.others.end() || record.incarnation > entry->second.record.incarnation)
            admit(table, record, now, outcome);
        else if (supersedes(record, entry->second.record))
            refresh(table, entry->second, record, now, outcome);
        else if (record.incarnation == entry->second.record.incarnation)
            raiseRevision(entry->second, record.revision, outcome);
    }

    void remove(MemberTable& table, std::map<DaemonId, MemberEntry>::iterator member)
    {
        auto& entry = member->second;
        entry.record.state = MemberState::Dropped;
        table.byKey.erase(entry.key);
        table.formerKeys.erase(entry.formerKey);
        table.removedKeys[entry.key] = member->first;
        table.removed[member->first] = entry.record;
        table.others.erase(member);
    }

    /** Removes a member that announced its departure, and stores the announcement to relay it. */
    void mergeDeparture(MemberTable& table, UpdateKey key, const MemberUpdate& update, uint64_t counter, TimePoint now, MergeOutcome& outcome)
    {
        auto id = table.byKey.find(key);
        if (id == table.byKey.end())
            return;
        auto member = table.others.find(id->second);
        member->second.record.counter = std::max(member->second.record.counter, counter);
        table.departures[key] = { update, 0, now };
        remove(table, member);
        outcome.changes.push_back(table.removed.at(table.removedKeys.at(key)));
    }

    void mergeOwnDeparture(MemberTable& table, const MemberRecord& record, TimePoint now, MergeOutcome& outcome)
    {
        auto key = updateKey(record.id, record.incarnation);
        mergeDeparture(table, key, { key, static_cast<uint16_t>(record.counter), MemberState::Dropped, false, 0 }, record.counter, now, outcome);
    }

    /** Derives the record of a new incarnation from that of an earlier one. */
    void mergeRenewal(MemberTable& table, const MemberRenewal& renewal, TimePoint now, MergeOutcome& outcome)
    {
        auto id = table.byDescription.find(renewal.key);
        if (id == table.byDescription.end())
            return;
        auto entry = table.others.find(id->second);
        auto record = entry != table.others.end() ? entry->second.record : table.removed.at(id->second);
        if (renewal.incarnation <= record.incarnation)
            return;
        record.incarnation = renewal.incarnation;
        record.counter = renewal.counter;
        record.state = renewal.state;
        record.loadPermille = renewal.loadPermille;
        record.revision = renewal.revision;
        mergeRecord(table, record, now, outcome);
    }

    void addRecordToRequest(MemberTable& table, UpdateKey key)
    {
        if (table.recordsToRequest.size() < updatesPerHeartbeat && std::ranges::find(table.recordsToRequest, key) == table.recordsToRequest.end())
            table.recordsToRequest.push_back(key);
    }

    /** How far the update's counter is ahead of the record's; negative when it is older. */
    int16_t counterIncrease(const MemberRecord& record, const MemberUpdate& update)
    {
        return static_cast<int16_t>(static_cast<uint16_t>(update.counter - static_cast<uint16_t>(record.counter)));
    }

    MemberRecord updated(MemberRecord record, const MemberUpdate& update, Revision senderRevision)
    {
        record.counter += static_cast<uint64_t>(counterIncrease(record, update));
        record.loadPermille = update.loadPermille;
        record.state = update.state;
        if (update.hasSenderRevision)
            record.revision = std::max(record.revision, senderRevision);
        return record;
    }

    void mergeUpdate(MemberTable& table, const MemberUpdate& update, Revision senderRevision, TimePoint now, MergeOutcome& outcome)
    {
        if (update.state == MemberState::Suspected || table.formerKeys.contains(update.key))
            return;
        if (auto removed = table.removedKeys.find(update.key); removed != table.removedKeys.end()) {
            if (counterIncrease(table.removed.at(removed->second), update) > 0)
                table.removedButAlive.insert(removed->second);
            return;
        }
        if (update.key == updateKey(table.self.id, table.self.incarnation)) {
            if (table.self.state != MemberState::Dropped && counterIncrease(table.self, update) > 0)
                addConflict(outcome, IncarnationConflict::NewerRecord, updated(table.self, update, senderRevision));
            return;
        }
        auto id = table.byKey.find(update.key);
        if (id == table.byKey.end()) {
            if (update.state != MemberState::Dropped)
                addRecordToRequest(table, update.key);
            return;
        }
        auto& entry = table.others.at(id->second);
        if (update.state == MemberState::Dropped) {
            auto last = updated(entry.record, update, senderRevision);
            mergeDeparture(table, update.key, update, last.counter, now, outcome);
            return;
        }
        if (counterIncrease(entry.record, update) > 0)
            refresh(table, entry, updated(entry.record, update, senderRevision), now, outcome);
        else if (update.hasSenderRevision)
            raiseRevision(entry, senderRevision, outcome);
    }

    void eraseOldestRemovals(MemberTable& table)
    {
        while (table.removed.size() > maximumRemovedMembers) {
            auto oldest = std::ranges::min_element(table.removed, {}, [](const auto& entry) { return entry.second.incarnation; });
            eraseRemoval(table, oldest);
        }
    }

} // namespace

UpdateKey updateKey(const DaemonId& id, Incarnation incarnation)
{
    return static_cast<UpdateKey>(hash64(id.value(), incarnation));
}

DescriptionKey descriptionKey(const MemberRecord& record)
{
    uint64_t key = hash64(record.id.value());
    for (const auto* text : { &record.zone.value(), &record.region.value(), &record.callerAddress, &record.peerAddress })
        key = hash64(*text, key);
    return static_cast<DescriptionKey>(key);
}

bool supersedes(const MemberRecord& candidate, const MemberRecord& present)
{
    if (candidate.incarnation != present.incarnation)
        return candidate.incarnation > present.incarnation;
    return candidate.counter > present.counter;
}

MemberRecord visibleRecord(const MemberEntry& member)
{
    auto record = member.record;
    if (member.isSuspected)
        record.state = MemberState::Suspected;
    return record;
}

MergeOutcome mergeHeartbeatPayload(MemberTable& table, const HeartbeatPayload& payload, TimePoint now)
{
    MergeOutcome outcome;
    if (payload.own.state == MemberState::Dropped && payload.own.id != table.self.id)
        mergeOwnDeparture(table, payload.own, now, outcome);
    else
        mergeRecord(table, payload.own, now, outcome);
    for (const auto& renewal : payload.renewals)
        mergeRenewal(table, renewal, now, outcome);
    for (const auto& record : payload.records)
        mergeRecord(table, record, now, outcome);
    for (const auto& update : payload.updates)
        mergeUpdate(table, update, payload.own.revision, now, outcome);
    return outcome;
}

std::vector<MemberRecord> expireMembers(MemberTable& table, TimePoint now)
{
    std::vector<MemberRecord> changes;
    for (auto member = table.others.begin(); member != table.others.end();) {
        auto& entry = member->second;
        auto age = now - entry.counterIncreasedAt;
        if (age >= removalTime) {
            auto expired = member++;
            auto id = expired->first;
            remove(table, expired);
            changes.push_back(table.removed.at(id));
            continue;
        }
        if (age >= suspicionTime && !entry.isSuspected) {
            entry.isSuspected = true;
            changes.push_back(visibleRecord(entry));
        }
        ++member;
    }
    eraseOldestRemovals(table);
    std::erase_if(table.departures, [now](const auto& entry) { return now - entry.second.receivedAt >= removalTime; });
    return changes;
}

void incrementOwnCounter(MemberTable& table)
{
    ++table.self.counter;
}

void announceDeparture(MemberTable& table)
{
    table.self.state = MemberState::Dropped;
    incrementOwnCounter(table);
}

void renewIncarnation(MemberTable& table, Incarnation wallClockMilliseconds, const std::optional<MemberRecord>& conflictingRecord)
{
    auto lowest = table.self.incarnation + 1;
    if (conflictingRecord)
        lowest = std::max(lowest, conflictingRecord->incarnation + 1);
    table.self.incarnation = std::max(lowest, wallClockMilliseconds);
    table.self.counter = 1;
}

} // namespace chestnut
