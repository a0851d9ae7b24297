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

    void noteConflict(MergeOutcome& outcome, SelfConflict conflict, const MemberRecord& record)
    {
        outcome.conflict = std::max(outcome.conflict, conflict);
        if (!outcome.conflictingRecord || supersedes(record, *outcome.conflictingRecord))
            outcome.conflictingRecord = record;
    }

    void mergeOwnRecord(const MemberTable& table, const MemberRecord& record, MergeOutcome& outcome)
    {
        if (record.state == MemberState::Dropped && record.incarnation >= table.self.incarnation)
            noteConflict(outcome, SelfConflict::AnnouncedDropped, record);
        else if (record.state != MemberState::Dropped && supersedes(record, table.self))
            noteConflict(outcome, SelfConflict::NewerRecord, record);
    }

    bool wasRemoved(const MemberTable& table, const MemberRecord& record)
    {
        auto removed = table.removed.find(record.id);
        return removed != table.removed.end() && record.incarnation <= removed->second.incarnation;
    }

    void forgetRemoval(MemberTable& table, std::map<DaemonId, MemberRecord>::iterator removed)
    {
        table.removedKeys.erase(updateKey(removed->first, removed->second.incarnation));
        table.removedButAlive.erase(removed->first);
        table.removed.erase(removed);
    }

    void admit(MemberTable& table, const MemberRecord& record, TimePoint now, MergeOutcome& outcome)
    {
        if (auto removed = table.removed.find(record.id); removed != table.removed.end())
            forgetRemoval(table, removed);
        auto key = updateKey(record.id, record.incarnation);
        std::erase(table.unknown, key);
        auto& member = table.others[record.id];
        table.byKey.erase(member.key);
        member = KnownMember { record, key, now };
        table.byKey[key] = record.id;
        outcome.changes.push_back(record);
    }

    /** Takes over a newer record of the same incarnation; its revision never goes down. */
    void refresh(KnownMember& member, MemberRecord record, TimePoint now, MergeOutcome& outcome)
    {
        record.revision = std::max(record.revision, member.record.revision);
        auto before = visibleRecord(member);
        if (isDescriptionDifferent(member.record, record))
            member.recordSent = 0;
        member.record = std::move(record);
        member.counterGrewAt = now;
        member.isSuspected = false;
        member.updateSent = 0;
        if (isVisiblyDifferent(before, member.record))
            outcome.changes.push_back(member.record);
    }

    /** An update may have carried the counter without the revision; revisions only grow within an incarnation, so the
        larger one counts whatever the counter. */
    void raiseRevision(KnownMember& member, Revision revision, MergeOutcome& outcome)
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
        // Dropped and Suspected are judgements of one daemon; another one decides by the counter itself.
        if (record.state == MemberState::Dropped || record.state == MemberState::Suspected || wasRemoved(table, record))
            return;
        auto known = table.others.find(record.id);
        if (known == table.others.end() || record.incarnation > known->second.record.incarnation)
            admit(table, record, now, outcome);
        else if (supersedes(record, known->second.record))
            refresh(known->second, record, now, outcome);
        else if (record.incarnation == known->second.record.incarnation)
            raiseRevision(known->second, record.revision, outcome);
    }

    void noteUnknown(MemberTable& table, UpdateKey key)
    {
        if (table.unknown.size() < updatesPerHeartbeat && std::ranges::find(table.unknown, key) == table.unknown.end())
            table.unknown.push_back(key);
    }

    /** How far the update's counter is ahead of the known one; negative when it is older. */
    int16_t counterGrowth(const MemberRecord& known, const MemberUpdate& update)
    {
        return static_cast<int16_t>(static_cast<uint16_t>(update.counter - static_cast<uint16_t>(known.counter)));
    }

    MemberRecord updated(MemberRecord record, const MemberUpdate& update, Revision senderRevision)
    {
        record.counter += static_cast<uint64_t>(counterGrowth(record, update));
        record.loadPermille = update.loadPermille;
        record.state = update.state;
        if (update.hasSenderRevision)
            record.revision = std::max(record.revision, senderRevision);
        return record;
    }

    void mergeUpdate(MemberTable& table, const MemberUpdate& update, Revision senderRevision, TimePoint now, MergeOutcome& outcome)
    {
        if (update.state > MemberState::Leaving)
            return;
        if (auto removed = table.removedKeys.find(update.key); removed != table.removedKeys.end()) {
            if (counterGrowth(table.removed.at(removed->second), update) > 0)
                table.removedButAlive.insert(removed->second);
            return;
        }
        if (update.key == updateKey(table.self.id, table.self.incarnation)) {
            if (counterGrowth(table.self, update) > 0)
                noteConflict(outcome, SelfConflict::NewerRecord, updated(table.self, update, senderRevision));
            return;
        }
        auto id = table.byKey.find(update.key);
        if (id == table.byKey.end()) {
            noteUnknown(table, update.key);
            return;
        }
        auto& known = table.others.at(id->second);
        if (counterGrowth(known.record, update) > 0)
            refresh(known, updated(known.record, update, senderRevision), now, outcome);
        else if (update.hasSenderRevision)
            raiseRevision(known, senderRevision, outcome);
    }

    void forgetOldestRemovals(MemberTable& table)
    {
        while (table.removed.size() > rememberedRemovals) {
            auto oldest = std::ranges::min_element(table.removed, {}, [](const auto& entry) { return entry.second.incarnation; });
            forgetRemoval(table, oldest);
        }
    }

    MemberUpdate updateOf(const KnownMember& member, Revision senderRevision)
    {
        const auto& record = member.record;
        auto steps = std::min(record.loadPermille / loadStepPermille, uint32_t { UINT8_MAX });
        return { member.key, static_cast<uint16_t>(record.counter), record.state, record.revision == senderRevision, steps * loadStepPermille };
    }

    /** Members that are not suspected, in random order. */
    std::vector<KnownMember*> shuffledTrusted(MemberTable& table, std::mt19937_64& random)
    {
        std::vector<KnownMember*> members;
        for (auto& [id, member] : table.others) {
            if (!member.isSuspected)
                members.push_back(&member);
        }
        std::ranges::shuffle(members, random);
        return members;
    }

    /** Bytes left for records and updates. */
    struct Room {
        size_t bytes;

        bool fitsRecord(const HeartbeatNews& news) const
        {
            return news.records.size() < recordsPerHeartbeat && bytes >= estimatedRecordBytes + leastUpdatesPerHeartbeat * updateBytes;
        }
        bool fitsUpdate(const HeartbeatNews& news) const { return news.updates.size() < updatesPerHeartbeat && bytes >= updateBytes; }
    };

    void addRecord(const MemberRecord& record, HeartbeatNews& news, Room& room)
    {
        news.records.push_back(record);
        room.bytes -= std::min(room.bytes, estimatedRecordBytes);
    }

    /** Tells the sender of a request that it was removed here, or that its id is used by a newer process. */
    void addNoticeToSender(const MemberTable& table, const MemberRecord& sender, HeartbeatNews& news, Room& room)
    {
        auto removed = table.removed.find(sender.id);
        if (removed != table.removed.end() && removed->second.incarnation >= sender.incarnation)
            addRecord(removed->second, news, room);
        auto known = table.others.find(sender.id);
        if (known != table.others.end() && supersedes(known->second.record, sender))
            addRecord(known->second.record, news, room);
    }

    KnownMember* trustedMember(MemberTable& table, UpdateKey key)
    {
        auto id = table.byKey.find(key);
        if (id == table.byKey.end())
            return nullptr;
        auto& member = table.others.at(id->second);
        return member.isSuspected ? nullptr : &member;
    }

    void answerRequest(MemberTable& table, const HeartbeatNews& request, HeartbeatNews& news, Room& room)
    {
        addNoticeToSender(table, request.own, news, room);
        for (auto key : request.unknown) {
            auto* member = trustedMember(table, key);
            if (member && room.fitsRecord(news))
                addRecord(member->record, news, room);
        }
        for (auto key : request.silent) {
            auto* member = trustedMember(table, key);
            if (!member || !room.fitsUpdate(news))
                continue;
            news.updates.push_back(updateOf(*member, table.self.revision));
            room.bytes -= updateBytes;
        }
    }

    void addChangedRecords(std::vector<KnownMember*> members, HeartbeatNews& news, Room& room)
    {
        auto limit = news.records.size() + changedRecordsPerHeartbeat;
        std::ranges::stable_sort(members, {}, &KnownMember::recordSent);
        for (auto* member : members) {
            if (!room.fitsRecord(news) || news.records.size() >= limit || member->recordSent >= transmissionsPerChange)
                return;
            addRecord(member->record, news, room);
            ++member->recordSent;
        }
    }

    void addUpdates(const MemberTable& table, std::vector<KnownMember*> members, HeartbeatNews& news, Room& room)
    {
        std::ranges::stable_sort(members, {}, &KnownMember::updateSent);
        for (auto* member : members) {
            if (!room.fitsUpdate(news))
                return;
            news.updates.push_back(updateOf(*member, table.self.revision));
            room.bytes -= updateBytes;
            ++member->updateSent;
        }
    }

    void askForSilent(const MemberTable& table, TimePoint now, std::mt19937_64& random, HeartbeatNews& news)
    {
        std::vector<UpdateKey> silent;
        for (const auto& [id, member] : table.others) {
            if (now - member.counterGrewAt >= askAfterSilence)
                silent.push_back(member.key);
        }
        std::ranges::shuffle(silent, random);
        silent.resize(std::min(silent.size(), silentPerHeartbeat));
        news.silent = std::move(silent);
    }

    void askForUnknown(MemberTable& table, HeartbeatNews& news)
    {
        // A key that nobody answers for belongs to a member that is gone; it is asked for again when it is seen again.
        auto count = static_cast<ptrdiff_t>(std::min(table.unknown.size(), recordsPerHeartbeat));
        news.unknown.assign(table.unknown.begin(), table.unknown.begin() + count);
        table.unknown.erase(table.unknown.begin(), table.unknown.begin() + count);
    }

} // namespace

UpdateKey updateKey(const DaemonId& id, Incarnation incarnation)
{
    return static_cast<UpdateKey>(hash64(id.value(), incarnation));
}

bool supersedes(const MemberRecord& candidate, const MemberRecord& present)
{
    if (candidate.incarnation != present.incarnation)
        return candidate.incarnation > present.incarnation;
    return candidate.counter > present.counter;
}

MemberRecord visibleRecord(const KnownMember& member)
{
    auto record = member.record;
    if (member.isSuspected)
        record.state = MemberState::Suspected;
    return record;
}

MergeOutcome mergeNews(MemberTable& table, const HeartbeatNews& news, TimePoint now)
{
    MergeOutcome outcome;
    mergeRecord(table, news.own, now, outcome);
    for (const auto& record : news.records)
        mergeRecord(table, record, now, outcome);
    for (const auto& update : news.updates)
        mergeUpdate(table, update, news.own.revision, now, outcome);
    return outcome;
}

std::vector<MemberRecord> expireMembers(MemberTable& table, TimePoint now)
{
    std::vector<MemberRecord> changes;
    for (auto member = table.others.begin(); member != table.others.end();) {
        auto& known = member->second;
        auto silence = now - known.counterGrewAt;
        if (silence >= removalTime) {
            known.record.state = MemberState::Dropped;
            changes.push_back(known.record);
            table.byKey.erase(known.key);
            table.removedKeys[known.key] = member->first;
            table.removed[member->first] = known.record;
            member = table.others.erase(member);
            continue;
        }
        if (silence >= suspicionTime && !known.isSuspected) {
            known.isSuspected = true;
            changes.push_back(visibleRecord(known));
        }
        ++member;
    }
    forgetOldestRemovals(table);
    return changes;
}

std::vector<MemberRecord> chooseHeartbeatTargets(const MemberTable& table, std::mt19937_64& random)
{
    std::vector<MemberRecord> members;
    for (const auto& [id, member] : table.others)
        members.push_back(member.record);
    std::ranges::shuffle(members, random);
    auto first = std::min(members.size(), randomHeartbeatTargets);
    std::vector<MemberRecord> targets(members.begin(), members.begin() + static_cast<ptrdiff_t>(first));
    auto isElsewhere = [&](const MemberRecord& record) { return record.zone != table.self.zone; };
    auto elsewhere = std::find_if(members.begin() + static_cast<ptrdiff_t>(first), members.end(), isElsewhere);
    if (elsewhere != members.end())
        targets.push_back(*elsewhere);
    return targets;
}

std::optional<MemberRecord> takeRemovedButAlive(MemberTable& table)
{
    if (table.removedButAlive.empty())
        return std::nullopt;
    auto id = table.removedButAlive.extract(table.removedButAlive.begin()).value();
    return table.removed.at(id);
}

HeartbeatNews composeNews(MemberTable& table, TimePoint now, std::mt19937_64& random, size_t newsBytes, const HeartbeatNews* request)
{
    HeartbeatNews news;
    news.own = table.self;
    Room room { newsBytes };
    if (request)
        answerRequest(table, *request, news, room);
    auto members = shuffledTrusted(table, random);
    addChangedRecords(members, news, room);
    addUpdates(table, members, news, room);
    if (!request) {
        askForUnknown(table, news);
        askForSilent(table, now, random, news);
    }
    return news;
}

void advanceSelf(MemberTable& table)
{
    ++table.self.counter;
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
