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
    std::vector<MemberEntry*> shuffledTrusted(MemberTable& table, std::mt19937_64& random)
    {
        std::vector<MemberEntry*> members;
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

        bool fitsRecord(const HeartbeatPayload& news) const
        {
            return news.records.size() < recordsPerHeartbeat && bytes >= estimatedRecordBytes + leastUpdatesPerHeartbeat * updateBytes;
        }
        bool fitsRenewal(const HeartbeatPayload& news) const
        {
            return news.renewals.size() < renewalsPerHeartbeat && bytes >= renewalBytes + leastUpdatesPerHeartbeat * updateBytes;
        }
        bool fitsUrgentRenewal(const HeartbeatPayload& news) const { return news.renewals.size() < renewalsPerHeartbeat && bytes >= renewalBytes; }
        bool fitsUpdate(const HeartbeatPayload& news) const { return news.updates.size() < updatesPerHeartbeat && bytes >= updateBytes; }
    };

    void addRecord(const MemberRecord& record, HeartbeatPayload& news, Room& room)
    {
        news.records.push_back(record);
        room.bytes -= std::min(room.bytes, estimatedRecordBytes);
    }

    /** Tells the sender of a request that it was removed here, or that its id is used by a newer process. */
    void addNoticeToSender(const MemberTable& table, const MemberRecord& sender, HeartbeatPayload& news, Room& room)
    {
        if (sender.state == MemberState::Dropped)
            return;
        auto removed = table.removed.find(sender.id);
        if (removed != table.removed.end() && removed->second.incarnation >= sender.incarnation)
            addRecord(removed->second, news, room);
        auto known = table.others.find(sender.id);
        if (known != table.others.end() && supersedes(known->second.record, sender))
            addRecord(known->second.record, news, room);
    }

    MemberEntry* trustedMember(MemberTable& table, UpdateKey key)
    {
        auto id = table.byKey.find(key);
        if (id == table.byKey.end())
            return nullptr;
        auto& member = table.others.at(id->second);
        return member.isSuspected ? nullptr : &member;
    }

    void addUpdate(const MemberUpdate& update, HeartbeatPayload& news, Room& room)
    {
        news.updates.push_back(update);
        room.bytes -= updateBytes;
    }

    MemberRenewal renewalOf(const MemberRecord& record)
    {
        auto steps = std::min(record.loadPermille / loadStepPermille, uint32_t { UINT8_MAX });
        auto counter = static_cast<uint16_t>(std::min(record.counter, uint64_t { UINT16_MAX }));
        return { descriptionKey(record), record.incarnation, counter, record.state, steps * loadStepPermille, record.revision };
    }

    void addRenewal(const MemberRecord& record, HeartbeatPayload& news, Room& room)
    {
        news.renewals.push_back(renewalOf(record));
        room.bytes -= renewalBytes;
    }

    /** Answers for a member that looks silent because it took a new incarnation, or because it ended. */
    void answerForFormerKey(const MemberTable& table, UpdateKey key, HeartbeatPayload& news, Room& room)
    {
        auto renewed = table.formerKeys.find(key);
        if (renewed != table.formerKeys.end() && room.fitsUrgentRenewal(news))
            addRenewal(table.others.at(renewed->second).record, news, room);
        auto departed = table.departures.find(key);
        if (departed != table.departures.end() && room.fitsUpdate(news))
            addUpdate(departed->second.update, news, room);
    }

    void answerUnknown(const MemberEntry& member, TimePoint now, std::mt19937_64& random, HeartbeatPayload& news, Room& room)
    {
        bool isRecent = member.isRenewal && now - member.admittedAt < renewalAnswerTime;
        if (isRecent && random() % fullRecordShare != 0) {
            if (room.fitsRenewal(news))
                addRenewal(member.record, news, room);
        } else if (room.fitsRecord(news))
            addRecord(member.record, news, room);
    }

    void answerSilent(MemberTable& table, UpdateKey key, HeartbeatPayload& news, Room& room)
    {
        const auto* member = trustedMember(table, key);
        if (!member)
            answerForFormerKey(table, key, news, room);
        else if (room.fitsUpdate(news))
            addUpdate(updateOf(*member, table.self.revision), news, room);
    }

    void answerRequest(MemberTable& table, const HeartbeatPayload& request, TimePoint now, std::mt19937_64& random, HeartbeatPayload& news, Room& room)
    {
        addNoticeToSender(table, request.own, news, room);
        for (auto key : request.silent)
            answerSilent(table, key, news, room);
        for (auto key : request.unknown) {
            if (const auto* member = trustedMember(table, key))
                answerUnknown(*member, now, random, news, room);
        }
    }

    void addDepartures(MemberTable& table, HeartbeatPayload& news, Room& room)
    {
        for (auto& [key, departure] : table.departures) {
            if (departure.sent >= transmissionsPerDeparture || !room.fitsUpdate(news))
                continue;
            addUpdate(departure.update, news, room);
            ++departure.sent;
        }
    }

    void addRenewals(std::vector<MemberEntry*> members, HeartbeatPayload& news, Room& room)
    {
        std::erase_if(members, [](const auto* member) { return !member->isRenewal || member->recordSent >= transmissionsPerRenewal; });
        std::ranges::stable_sort(members, {}, &MemberEntry::recordSent);
        for (auto* member : members) {
            if (!room.fitsRenewal(news))
                return;
            addRenewal(member->record, news, room);
            ++member->recordSent;
        }
    }

    void addChangedRecords(std::vector<MemberEntry*> members, HeartbeatPayload& news, Room& room)
    {
        std::erase_if(members, [](const auto* member) { return member->isRenewal || member->recordSent >= transmissionsPerChange; });
        std::ranges::stable_sort(members, {}, &MemberEntry::recordSent);
        auto limit = news.records.size() + changedRecordsPerHeartbeat;
        for (auto* member : members) {
            if (!room.fitsRecord(news) || news.records.size() >= limit)
                return;
            addRecord(member->record, news, room);
            ++member->recordSent;
        }
    }

    void addUpdates(const MemberTable& table, std::vector<MemberEntry*> members, HeartbeatPayload& news, Room& room)
    {
        auto count = std::min(members.size(), std::min(updatesPerHeartbeat - std::min(updatesPerHeartbeat, news.updates.size()), room.bytes / updateBytes));
        auto last = members.begin() + static_cast<ptrdiff_t>(count);
        if (count < members.size())
            std::ranges::nth_element(members, last, {}, &MemberEntry::updateSent);
        for (auto member = members.begin(); member != last; ++member) {
            addUpdate(updateOf(**member, table.self.revision), news, room);
            ++(*member)->updateSent;
        }
    }

    void askForSilent(const MemberTable& table, TimePoint now, std::mt19937_64& random, HeartbeatPayload& news)
    {
        std::vector<const MemberEntry*> silent;
        for (const auto& [id, member] : table.others) {
            if (now - member.counterIncreasedAt >= askAfterSilence)
                silent.push_back(&member);
        }
        std::ranges::shuffle(silent, random);
        // Half of the questions go to members closest to their removal; the rest are random, so that dead members do not
        // take them all.
        auto urgent = std::min(silent.size(), updateRequestsPerHeartbeat / 2);
        std::ranges::partial_sort(silent, silent.begin() + static_cast<ptrdiff_t>(urgent), {}, &MemberEntry::counterIncreasedAt);
        std::shuffle(silent.begin() + static_cast<ptrdiff_t>(urgent), silent.end(), random);
        silent.resize(std::min(silent.size(), updateRequestsPerHeartbeat));
        for (const auto* member : silent)
            news.silent.push_back(member->key);
    }

    void askForUnknown(MemberTable& table, HeartbeatPayload& news)
    {
        // A key that nobody answers for belongs to a member that is gone; it is asked for again when it is seen again.
        auto count = static_cast<ptrdiff_t>(std::min(table.unknown.size(), recordsPerHeartbeat));
        news.unknown.assign(table.unknown.begin(), table.unknown.begin() + count);
        table.unknown.erase(table.unknown.begin(), table.unknown.begin() + count);
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
    auto isElsewhere = [&](const MemberRecord& record) { return record.zone != table.self.zone; };
    auto elsewhere = std::find_if(members.begin() + static_cast<ptrdiff_t>(first), members.end(), isElsewhere);
    if (elsewhere != members.end())
        targets.push_back(*elsewhere);
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
    members.resize(std::min(members.size(), farewellTargets));
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
    HeartbeatPayload news;
    news.own = table.self;
    Room room { payloadBytes };
    if (request)
        answerRequest(table, *request, now, random, news, room);
    addDepartures(table, news, room);
    auto members = shuffledTrusted(table, random);
    addRenewals(members, news, room);
    addChangedRecords(members, news, room);
    addUpdates(table, members, news, room);
    if (!request) {
        askForUnknown(table, news);
        askForSilent(table, now, random, news);
    }
    return news;
}

} // namespace chestnut
