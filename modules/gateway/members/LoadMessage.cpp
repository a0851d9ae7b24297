#include "gateway/members/LoadMessage.h"

#include "gateway/members/LoadReportCodec.h"
#include "gateway/members/LoadSampleCodec.h"
#include "gateway/members/LoadValueCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr int messageVersion = 8;
    /** Maximum number of items of each list in one datagram. With ids of up to 40 bytes a full part takes 8 KB; longer ones
        need more parts. */
    constexpr size_t workItemsPerPart = 40;
    constexpr size_t liveDaemonsPerPart = 30;
    constexpr size_t leavingReplicasPerPart = 15;
    constexpr size_t capacitiesPerPart = 32;
    constexpr size_t entriesPerPart = 12;
    constexpr size_t engineCrashesPerPart = 3;
    constexpr size_t partBeginsPerPart = 12;
    /** Limits the memory of a receiver, which stores a list for each part. The two-year target needs far fewer parts. */
    constexpr uint32_t maximumParts = 256;

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

    json encodeNotice(const ConfigurationNotice& notice)
    {
        json item { notice.version, notice.isSettled };
        for (const auto& holder : notice.holders)
            item.push_back(holder.value());
        return item;
    }

    /** Daemons of earlier versions send no notice. */
    ConfigurationNotice decodeNotice(const json& document)
    {
        ConfigurationNotice notice;
        auto item = document.find("config");
        if (item == document.end())
            return notice;
        notice.version = item->at(0).get<uint64_t>();
        notice.isSettled = item->at(1).get<bool>();
        checkSize(*item, 2 + maximumHolders);
        for (size_t i = 2; i < item->size(); ++i)
            notice.holders.emplace_back(item->at(i).get<std::string>());
        return notice;
    }

    std::string encodePart(const LoadMessage& message)
    {
        json document {
            { "v", messageVersion },
            { "from", encodeDaemonRecord(message.sender) },
            { "scope", static_cast<int>(message.scope) },
            { "leaving", message.isLeaving },
            { "work", encodeWork(message.work) },
            { "orders", encodeOrders(message.work) },
            { "speeds", encodeSamples(message.speedSamples) },
            { "capacity", encodeCapacities(message.capacities) },
            { "losses", encodeLosses(message.losses) },
            { "served", encodeSuccesses(message.successes) },
            { "crashes", encodeEngineCrashes(message.engineCrashes) },
            { "begun", encodePartBegins(message.partBegins) },
            { "gone", encodeLeaving(message.leavingReplicas) },
            { "paused", encodePauses(message.pausedReplicas) },
            { "entries", encodeEntries(message.entries) },
            { "store", message.isStoreReachable },
            { "living", valuesOf(message.liveDaemons) },
            { "refusals", encodeRefusals(message.refusals) },
            { "part", { message.part.index, message.part.count } },
            { "config", encodeNotice(message.configuration) },
        };
        if (!message.accountUse.empty())
            document["use"] = encodeAccountUse(message.accountUse);
        if (!message.demands.empty())
            document["demand"] = encodeDemands(message.demands);
        if (!message.rateLimits.empty())
            document["limits"] = encodeRateLimits(message.rateLimits);
        auto bytes = json::to_cbor(document);
        return { bytes.begin(), bytes.end() };
    }

    size_t partsOf(size_t items, size_t itemsPerPart)
    {
        return (items + itemsPerPart - 1) / itemsPerPart;
    }

    uint32_t countOfParts(const LoadMessage& message)
    {
        auto parts = std::max({ partsOf(message.work.size(), workItemsPerPart), partsOf(message.liveDaemons.size(), liveDaemonsPerPart), partsOf(message.leavingReplicas.size(), leavingReplicasPerPart), partsOf(message.entries.size(), entriesPerPart), partsOf(message.engineCrashes.size(), engineCrashesPerPart), partsOf(message.partBegins.size(), partBeginsPerPart), partsOf(message.capacities.size(), capacitiesPerPart), size_t(1) });
        return static_cast<uint32_t>(parts);
    }

    template <typename Item>
    std::vector<Item> sliceOf(const std::vector<Item>& items, const MessagePart& part)
    {
        auto first = items.size() * part.index / part.count;
        auto last = items.size() * (part.index + 1) / part.count;
        return { items.begin() + static_cast<ptrdiff_t>(first), items.begin() + static_cast<ptrdiff_t>(last) };
    }

    LoadMessage partOf(const LoadMessage& message, const MessagePart& part)
    {
        auto slice = message;
        slice.part = part;
        if (part.index > 0) {
            slice.speedSamples.clear();
            slice.configuration.holders.clear();
            slice.accountUse.clear();
            slice.refusals.clear();
            slice.demands.clear();
            slice.rateLimits.clear();
        }
        slice.work = sliceOf(message.work, part);
        slice.liveDaemons = sliceOf(message.liveDaemons, part);
        slice.leavingReplicas = sliceOf(message.leavingReplicas, part);
        slice.entries = sliceOf(message.entries, part);
        slice.engineCrashes = sliceOf(message.engineCrashes, part);
        slice.partBegins = sliceOf(message.partBegins, part);
        slice.capacities = sliceOf(message.capacities, part);
        return slice;
    }

    std::vector<std::string> encodeParts(const LoadMessage& message, uint32_t count)
    {
        if (count == 1)
            return { encodePart(message) };
        std::vector<std::string> datagrams;
        for (uint32_t index = 0; index < count; ++index)
            datagrams.push_back(encodePart(partOf(message, { index, count })));
        return datagrams;
    }

    bool fitsBuffer(const std::string& datagram)
    {
        return datagram.size() <= maximumDatagram;
    }

} // namespace

std::vector<std::string> encodeLoadMessage(const LoadMessage& message)
{
    auto count = countOfParts(message);
    auto datagrams = encodeParts(message, count);
    while (!std::ranges::all_of(datagrams, fitsBuffer) && count <= maximumParts / 2) {
        count *= 2;
        datagrams = encodeParts(message, count);
    }
    return datagrams;
}

Result<LoadMessage> decodeLoadMessage(std::string_view datagram)
{
    try {
        auto document = json::from_cbor(datagram.begin(), datagram.end(), true, false);
        if (!document.is_object() || document.value("v", 0) != messageVersion)
            return makeError(ErrorKind::ProtocolError, "datagram is not a load message of a supported version");
        auto sender = decodeDaemonRecord(document.at("from").get<std::string>());
        if (!sender)
            return sender.error();
        LoadMessage message { std::move(*sender), decodeScope(document.at("scope").get<int>()) };
        message.isLeaving = document.at("leaving").get<bool>();
        message.work = decodeWork(document.at("work"));
        decodeOrders(document.value("orders", json::array()), message.work);
        message.speedSamples = decodeSamples(document.at("speeds"));
        // Daemons of earlier versions send none.
        for (const auto& item : document.value("capacity", json::array()))
            message.capacities.push_back(decodeCapacity(item));
        message.losses = decodeLosses(document.at("losses"));
        message.successes = decodeSuccesses(document.at("served"));
        message.engineCrashes = decodeEngineCrashes(document.at("crashes"));
        message.partBegins = decodePartBegins(document.at("begun"));
        message.leavingReplicas = decodeLeaving(document.at("gone"));
        message.pausedReplicas = decodePauses(document.at("paused"));
        message.entries = decodeEntries(document.at("entries"));
        message.refusals = decodeRefusals(document.value("refusals", json::array()));
        message.isStoreReachable = document.at("store").get<bool>();
        message.liveDaemons = decodeIds<DaemonId>(document.at("living"));
        message.accountUse = decodeAccountUse(document);
        message.demands = decodeDemands(document.value("demand", json::array()));
        message.rateLimits = decodeRateLimits(document.value("limits", json::array()));
        message.configuration = decodeNotice(document);
        message.part = { document.at("part").at(0).get<uint32_t>(), document.at("part").at(1).get<uint32_t>() };
        if (message.part.index >= message.part.count || message.part.count > maximumParts)
            return makeError(ErrorKind::ProtocolError, "part number of load message out of range");
        return message;
    } catch (const json::exception& exception) {
        return makeError(ErrorKind::ProtocolError, exception.what());
    }
}

} // namespace chestnut
