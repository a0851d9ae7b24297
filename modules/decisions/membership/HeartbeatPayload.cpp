#include "decisions/membership/Membership.h"

#include <algorithm>

namespace chestnut {

namespace {

    MemberUpdate updateOf(const MemberEntry& member, Revision senderRevision)
    {
        const auto& record = member.record;
        auto steps = std::min(record.loadPermille / loadStepPermille, uint32_t { UINT8_MAX });
        return { member.key, static_cast<uint16_t>(record.counter), record.state, record.revision == senderRevision, steps * loadStepPermille };
    }

    /** Members that are not suspected, in random order. */
    std::vector<MemberEntry*> shuffledUnsuspected(MemberTable& table, std::mt19937_64& random)
    {
        std::vector<MemberEntry*> members;
        for (auto& [id, member] : table.others) {
            if (!member.isSuspected)
                members.push_back(&member);
        }
        std::ranges::shuffle(members, random);
        return members;
    }

    /** Payload bytes left for records and updates. */
    struct PayloadSpace {
        size_t bytes;

        bool fitsRecord(const HeartbeatPayload& payload) const
        {
            return payload.records.size() < recordsPerHeartbeat && bytes >= estimatedRecordBytes + minimumUpdatesPerHeartbeat * updateBytes;
        }
        bool fitsRenewal(const HeartbeatPayload& payload) const
        {
            return payload.renewals.size() < renewalsPerHeartbeat && bytes >= renewalBytes + minimumUpdatesPerHeartbeat * updateBytes;
        }
        bool fitsUrgentRenewal(const HeartbeatPayload& payload) const { return payload.renewals.size() < renewalsPerHeartbeat && bytes >= renewalBytes; }
        bool fitsUpdate(const HeartbeatPayload& payload) const { return payload.updates.size() < updatesPerHeartbeat && bytes >= updateBytes; }
    };

    void addRecord(const MemberRecord& record, HeartbeatPayload& payload, PayloadSpace& space)
    {
        payload.records.push_back(record);
        space.bytes -= std::min(space.bytes, estimatedRecordBytes);
    }

    /** Notifies the sender of a request that it was removed here, or that a newer process uses its id. */
    void addNoticeToSender(const MemberTable& table, const MemberRecord& sender, HeartbeatPayload& payload, PayloadSpace& space)
    {
        if (sender.state == MemberState::Dropped)
            return;
        auto removed = table.removed.find(sender.id);
        if (removed != table.removed.end() && removed->second.incarnation >= sender.incarnation)
            addRecord(removed->second, payload, space);
        auto entry = table.others.find(sender.id);
        if (entry != table.others.end() && supersedes(entry->second.record, sender))
            addRecord(entry->second.record, payload, space);
    }

    MemberEntry* unsuspectedMember(MemberTable& table, UpdateKey key)
    {
        auto id = table.byKey.find(key);
        if (id == table.byKey.end())
            return nullptr;
        auto& member = table.others.at(id->second);
        return member.isSuspected ? nullptr : &member;
    }

    void addUpdate(const MemberUpdate& update, HeartbeatPayload& payload, PayloadSpace& space)
    {
        payload.updates.push_back(update);
        space.bytes -= updateBytes;
    }

    MemberRenewal renewalOf(const MemberRecord& record)
    {
        auto steps = std::min(record.loadPermille / loadStepPermille, uint32_t { UINT8_MAX });
        auto counter = static_cast<uint16_t>(std::min(record.counter, uint64_t { UINT16_MAX }));
        return { descriptionKey(record), record.incarnation, counter, record.state, steps * loadStepPermille, record.revision };
    }

    void addRenewal(const MemberRecord& record, HeartbeatPayload& payload, PayloadSpace& space)
    {
        payload.renewals.push_back(renewalOf(record));
        space.bytes -= renewalBytes;
    }

    /** Replies to the request for an update of a member that took a new incarnation, or departed. */
    void addRenewalOrDeparture(const MemberTable& table, UpdateKey key, HeartbeatPayload& payload, PayloadSpace& space)
    {
        auto renewed = table.formerKeys.find(key);
        if (renewed != table.formerKeys.end() && space.fitsUrgentRenewal(payload))
            addRenewal(table.others.at(renewed->second).record, payload, space);
        auto departed = table.departures.find(key);
        if (departed != table.departures.end() && space.fitsUpdate(payload))
            addUpdate(departed->second.update, payload, space);
    }

    void addRequestedRecord(const MemberEntry& member, TimePoint now, std::mt19937_64& random, HeartbeatPayload& payload, PayloadSpace& space)
    {
        bool isRecent = member.isRenewal && now - member.admittedAt < renewalReplyTime;
        if (isRecent && random() % fullRecordShare != 0) {
            if (space.fitsRenewal(payload))
                addRenewal(member.record, payload, space);
        } else if (space.fitsRecord(payload))
            addRecord(member.record, payload, space);
    }

    void addRequestedUpdate(MemberTable& table, UpdateKey key, HeartbeatPayload& payload, PayloadSpace& space)
    {
        const auto* member = unsuspectedMember(table, key);
        if (!member)
            addRenewalOrDeparture(table, key, payload, space);
        else if (space.fitsUpdate(payload))
            addUpdate(updateOf(*member, table.self.revision), payload, space);
    }

    void addRequested(MemberTable& table, const HeartbeatPayload& request, TimePoint now, std::mt19937_64& random, HeartbeatPayload& payload, PayloadSpace& space)
    {
        addNoticeToSender(table, request.own, payload, space);
        for (auto key : request.updateRequests)
            addRequestedUpdate(table, key, payload, space);
        for (auto key : request.recordRequests) {
            if (const auto* member = unsuspectedMember(table, key))
                addRequestedRecord(*member, now, random, payload, space);
        }
    }

    void addDepartures(MemberTable& table, HeartbeatPayload& payload, PayloadSpace& space)
    {
        for (auto& [key, departure] : table.departures) {
            if (departure.sent >= transmissionsPerDeparture || !space.fitsUpdate(payload))
                continue;
            addUpdate(departure.update, payload, space);
            ++departure.sent;
        }
    }

    void addRenewals(std::vector<MemberEntry*> members, HeartbeatPayload& payload, PayloadSpace& space)
    {
        std::erase_if(members, [](const auto* member) { return !member->isRenewal || member->recordSent >= transmissionsPerRenewal; });
        std::ranges::stable_sort(members, {}, &MemberEntry::recordSent);
        for (auto* member : members) {
            if (!space.fitsRenewal(payload))
                return;
            addRenewal(member->record, payload, space);
            ++member->recordSent;
        }
    }

    void addChangedRecords(std::vector<MemberEntry*> members, HeartbeatPayload& payload, PayloadSpace& space)
    {
        std::erase_if(members, [](const auto* member) { return member->isRenewal || member->recordSent >= transmissionsPerChange; });
        std::ranges::stable_sort(members, {}, &MemberEntry::recordSent);
        auto limit = payload.records.size() + changedRecordsPerHeartbeat;
        for (auto* member : members) {
            if (!space.fitsRecord(payload) || payload.records.size() >= limit)
                return;
            addRecord(member->record, payload, space);
            ++member->recordSent;
        }
    }

    void addUpdates(const MemberTable& table, std::vector<MemberEntry*> members, HeartbeatPayload& payload, PayloadSpace& space)
    {
        auto count = std::min(members.size(), std::min(updatesPerHeartbeat - std::min(updatesPerHeartbeat, payload.updates.size()), space.bytes / updateBytes));
        auto last = members.begin() + static_cast<ptrdiff_t>(count);
        if (count < members.size())
            std::ranges::nth_element(members, last, {}, &MemberEntry::updateSent);
        for (auto member = members.begin(); member != last; ++member) {
            addUpdate(updateOf(**member, table.self.revision), payload, space);
            ++(*member)->updateSent;
        }
    }

    void requestUpdates(const MemberTable& table, TimePoint now, std::mt19937_64& random, HeartbeatPayload& payload)
    {
        std::vector<const MemberEntry*> overdue;
        for (const auto& [id, member] : table.others) {
            if (now - member.counterIncreasedAt >= updateRequestDelay)
                overdue.push_back(&member);
        }
        std::ranges::shuffle(overdue, random);
        // Half of the requests are for the members closest to their removal; the rest are random, so that stopped members
        // do not use up all of them.
        auto urgent = std::min(overdue.size(), updateRequestsPerHeartbeat / 2);
        std::ranges::partial_sort(overdue, overdue.begin() + static_cast<ptrdiff_t>(urgent), {}, &MemberEntry::counterIncreasedAt);
        std::shuffle(overdue.begin() + static_cast<ptrdiff_t>(urgent), overdue.end(), random);
        overdue.resize(std::min(overdue.size(), updateRequestsPerHeartbeat));
        for (const auto* member : overdue)
            payload.updateRequests.push_back(member->key);
    }

    void requestRecords(MemberTable& table, HeartbeatPayload& payload)
    {
        // Each key is requested once. If no peer has the record, the member has departed; the next update with the key
        // adds it again.
        auto count = static_cast<ptrdiff_t>(std::min(table.recordsToRequest.size(), recordsPerHeartbeat));
        payload.recordRequests.assign(table.recordsToRequest.begin(), table.recordsToRequest.begin() + count);
        table.recordsToRequest.erase(table.recordsToRequest.begin(), table.recordsToRequest.begin() + count);
    }

} // namespace

std::vector<MemberRecord> chooseHeartbeatTargets(const MemberTable& table, std::mt19937_64& random)
{
    std::vector<MemberRecord> members;
    for (const auto& [id, member] : table.others)
        members.push_back(member.record);
    std::ranges::shuffle(members, random);
    auto first = std::min(members.size(), randomHeartbeatTargets);
    std::vector<MemberRecord> targets(members.begin(), members.begin() + static_cast<ptrdiff_t>(first));
    auto isOtherZone = [&](const MemberRecord& record) { return record.zone != table.self.zone; };
    auto otherZone = std::find_if(members.begin() + static_cast<ptrdiff_t>(first), members.end(), isOtherZone);
    if (otherZone != members.end())
        targets.push_back(*otherZone);
    return targets;
}

std::vector<MemberRecord> chooseDepartureTargets(const MemberTable& table, std::mt19937_64& random)
{
    std::vector<MemberRecord> members;
    for (const auto& [id, member] : table.others) {
        if (!member.isSuspected)
            members.push_back(member.record);
    }
    std::ranges::shuffle(members, random);
    members.resize(std::min(members.size(), departureTargets));
    return members;
}

std::optional<MemberRecord> takeRemovedButAlive(MemberTable& table, std::mt19937_64& random)
{
    if (table.removedButAlive.empty())
        return std::nullopt;
    auto chosen = std::next(table.removedButAlive.begin(), static_cast<ptrdiff_t>(random() % table.removedButAlive.size()));
    auto id = table.removedButAlive.extract(chosen).value();
    return table.removed.at(id);
}

HeartbeatPayload composeHeartbeatPayload(MemberTable& table, TimePoint now, std::mt19937_64& random, size_t payloadBytes, const HeartbeatPayload* request)
{
    HeartbeatPayload payload;
    payload.own = table.self;
    PayloadSpace space { payloadBytes };
    if (request)
        addRequested(table, *request, now, random, payload, space);
    addDepartures(table, payload, space);
    auto members = shuffledUnsuspected(table, random);
    addRenewals(members, payload, space);
    addChangedRecords(members, payload, space);
    addUpdates(table, members, payload, space);
    if (!request) {
        requestRecords(table, payload);
        requestUpdates(table, now, random, payload);
    }
    return payload;
}

} // namespace chestnut
