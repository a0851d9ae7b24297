#include "gateway/members/LoadMessage.h"

#include "base/digest/Digest.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr int messageVersion = 6;
    /** Items of each list in one datagram. Ids take up to 40 bytes, so a full part takes 8 KB. */
    constexpr size_t workInPart = 40;
    constexpr size_t livingInPart = 30;
    constexpr size_t leavingInPart = 15;
    constexpr size_t entriesInPart = 12;
    /** Far more than the two-year target needs; a receiver keeps a list for each part. */
    constexpr uint32_t maximumParts = 256;

    json encodeWork(const std::vector<ReplicaWork>& work)
    {
        auto list = json::array();
        for (const auto& item : work)
            list.push_back({ item.replica.value(), item.requests, static_cast<int64_t>(item.prefillTokens), static_cast<int64_t>(item.deferredTokens) });
        return list;
    }

    json encodeLosses(const std::vector<LostAttemptReport>& losses)
    {
        auto list = json::array();
        for (const auto& [loss, age, runTime] : losses)
            list.push_back({ toHex(loss.content), loss.attempt.value(), loss.replica.value(), age.count(), runTime.count() });
        return list;
    }

    json encodeServed(const std::vector<SuccessReport>& served)
    {
        auto list = json::array();
        for (const auto& item : served)
            list.push_back({ toHex(item.content), item.age.count() });
        return list;
    }

    std::vector<SuccessReport> decodeServed(const json& list)
    {
        std::vector<SuccessReport> served;
        for (const auto& item : list) {
            if (auto content = digestFromHex(item.at(0).get<std::string>()))
                served.push_back({ *content, Duration(item.at(1).get<int64_t>()) });
        }
        return served;
    }

    std::vector<ReplicaWork> decodeWork(const json& list)
    {
        std::vector<ReplicaWork> work;
        for (const auto& item : list)
            work.push_back({ ReplicaId(item.at(0).get<std::string>()), item.at(1).get<uint32_t>(), item.at(2).get<double>(), item.at(3).get<double>() });
        return work;
    }

    std::vector<LostAttemptReport> decodeLosses(const json& list)
    {
        std::vector<LostAttemptReport> losses;
        for (const auto& item : list) {
            if (auto content = digestFromHex(item.at(0).get<std::string>()))
                losses.push_back({ { *content, RequestId(item.at(1).get<std::string>()), ReplicaId(item.at(2).get<std::string>()) }, Duration(item.at(3).get<int64_t>()), Duration(item.at(4).get<int64_t>()) });
        }
        return losses;
    }

    json encodeEntries(const std::vector<ReplicaEntry>& entries)
    {
        auto list = json::array();
        for (const auto& entry : entries)
            list.push_back({ entry.id.value(), entry.service.value(), entry.address, entry.zone.value(), entry.slots, static_cast<int>(entry.stage), entry.startedAt, entry.heartbeat });
        return list;
    }

    EngineStage decodeStage(int number)
    {
        return number == 1 ? EngineStage::Prefill : number == 2 ? EngineStage::Decode
                                                                : EngineStage::None;
    }

    /** Entries of replicas that do not leave; leaving ones have a list of their own. */
    std::vector<ReplicaEntry> decodeEntries(const json& list)
    {
        std::vector<ReplicaEntry> entries;
        for (const auto& item : list) {
            ReplicaEntry entry;
            entry.id = ReplicaId(item.at(0).get<std::string>());
            entry.service = ServiceId(item.at(1).get<std::string>());
            entry.address = item.at(2).get<std::string>();
            entry.zone = AvailabilityZone(item.at(3).get<std::string>());
            entry.slots = item.at(4).get<uint32_t>();
            entry.stage = decodeStage(item.at(5).get<int>());
            entry.startedAt = item.at(6).get<int64_t>();
            entry.heartbeat = item.at(7).get<int64_t>();
            entries.push_back(std::move(entry));
        }
        return entries;
    }

    json encodePauses(const std::vector<PausedReplica>& pauses)
    {
        auto list = json::array();
        for (const auto& pause : pauses)
            list.push_back({ pause.replica.value(), pause.beat });
        return list;
    }

    std::vector<PausedReplica> decodePauses(const json& list)
    {
        std::vector<PausedReplica> pauses;
        for (const auto& item : list)
            pauses.push_back({ ReplicaId(item.at(0).get<std::string>()), item.at(1).get<uint64_t>() });
        return pauses;
    }

    json encodeLeaving(const std::vector<LeavingReplica>& replicas)
    {
        auto list = json::array();
        for (const auto& replica : replicas)
            list.push_back({ replica.id.value(), replica.startedAt, replica.heartbeat, replica.isDraining });
        return list;
    }

    std::vector<LeavingReplica> decodeLeaving(const json& list)
    {
        std::vector<LeavingReplica> replicas;
        for (const auto& item : list)
            replicas.push_back({ ReplicaId(item.at(0).get<std::string>()), item.at(1).get<int64_t>(), item.at(2).get<int64_t>(), item.at(3).get<bool>() });
        return replicas;
    }

    template <typename Id>
    std::vector<Id> decodeIds(const json& list)
    {
        std::vector<Id> ids;
        for (const auto& item : list)
            ids.emplace_back(item.get<std::string>());
        return ids;
    }

    template <typename Id>
    std::vector<std::string> valuesOf(const std::vector<Id>& ids)
    {
        std::vector<std::string> values;
        std::ranges::transform(ids, std::back_inserter(values), &Id::value);
        return values;
    }

    LoadScope decodeScope(int number)
    {
        return number == 1 ? LoadScope::Zone : number == 2 ? LoadScope::Fleet
                                                           : LoadScope::Daemon;
    }

    std::string encodePart(const LoadMessage& news)
    {
        json document {
            { "v", messageVersion },
            { "from", encodeDaemonRecord(news.sender) },
            { "scope", static_cast<int>(news.scope) },
            { "leaving", news.isLeaving },
            { "work", encodeWork(news.work) },
            { "losses", encodeLosses(news.losses) },
            { "served", encodeServed(news.served) },
            { "gone", encodeLeaving(news.leavingReplicas) },
            { "paused", encodePauses(news.pausedReplicas) },
            { "entries", encodeEntries(news.entries) },
            { "store", news.seesStore },
            { "living", valuesOf(news.living) },
            { "part", { news.part.index, news.part.count } },
        };
        auto bytes = json::to_cbor(document);
        return { bytes.begin(), bytes.end() };
    }

    size_t partsOf(size_t items, size_t inPart)
    {
        return (items + inPart - 1) / inPart;
    }

    uint32_t countOfParts(const LoadMessage& news)
    {
        auto parts = std::max({ partsOf(news.work.size(), workInPart), partsOf(news.living.size(), livingInPart), partsOf(news.leavingReplicas.size(), leavingInPart), partsOf(news.entries.size(), entriesInPart), size_t(1) });
        return static_cast<uint32_t>(parts);
    }

    template <typename Item>
    std::vector<Item> sliceOf(const std::vector<Item>& items, const MessagePart& part)
    {
        auto first = items.size() * part.index / part.count;
        auto last = items.size() * (part.index + 1) / part.count;
        return { items.begin() + static_cast<ptrdiff_t>(first), items.begin() + static_cast<ptrdiff_t>(last) };
    }

} // namespace

std::vector<std::string> encodeLoadMessage(const LoadMessage& news)
{
    auto count = countOfParts(news);
    if (count == 1)
        return { encodePart(news) };
    std::vector<std::string> datagrams;
    for (uint32_t index = 0; index < count; ++index) {
        auto part = news;
        part.part = { index, count };
        part.work = sliceOf(news.work, part.part);
        part.living = sliceOf(news.living, part.part);
        part.leavingReplicas = sliceOf(news.leavingReplicas, part.part);
        part.entries = sliceOf(news.entries, part.part);
        datagrams.push_back(encodePart(part));
    }
    return datagrams;
}

Result<LoadMessage> decodeLoadMessage(std::string_view datagram)
{
    auto document = json::from_cbor(datagram.begin(), datagram.end(), true, false);
    if (!document.is_object() || document.value("v", 0) != messageVersion)
        return makeError(ErrorKind::ProtocolError, "datagram is no load news of a known version");
    try {
        auto sender = decodeDaemonRecord(document.at("from").get<std::string>());
        if (!sender)
            return sender.error();
        LoadMessage news { std::move(*sender), decodeScope(document.at("scope").get<int>()) };
        news.isLeaving = document.at("leaving").get<bool>();
        news.work = decodeWork(document.at("work"));
        news.losses = decodeLosses(document.at("losses"));
        news.served = decodeServed(document.at("served"));
        news.leavingReplicas = decodeLeaving(document.at("gone"));
        news.pausedReplicas = decodePauses(document.at("paused"));
        news.entries = decodeEntries(document.at("entries"));
        news.seesStore = document.at("store").get<bool>();
        news.living = decodeIds<DaemonId>(document.at("living"));
        news.part = { document.at("part").at(0).get<uint32_t>(), document.at("part").at(1).get<uint32_t>() };
        if (news.part.index >= news.part.count || news.part.count > maximumParts)
            return makeError(ErrorKind::ProtocolError, "part number of load news out of range");
        return news;
    } catch (const json::exception& exception) {
        return makeError(ErrorKind::ProtocolError, exception.what());
    }
}

} // namespace chestnut
