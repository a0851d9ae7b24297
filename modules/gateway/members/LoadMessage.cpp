#include "gateway/members/LoadMessage.h"

#include "base/digest/Digest.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr int messageVersion = 8;
    /** Positions at which the three sums of tokens are divided. */
    constexpr EnginePosition relaxedOrder = 5;
    constexpr EnginePosition deferredOrder = 7;
    /** Maximum number of items of each list in one datagram. With ids of up to 40 bytes a full part takes 8 KB; longer ones
        need more parts. */
    constexpr size_t workItemsPerPart = 40;
    constexpr size_t liveDaemonsPerPart = 30;
    constexpr size_t leavingReplicasPerPart = 15;
    constexpr size_t capacitiesPerPart = 32;
    constexpr size_t entriesPerPart = 12;
    constexpr size_t engineCrashesPerPart = 3;
    constexpr size_t partBeginsPerPart = 12;
    /** Older reports are not sent; the limit keeps calculations with reported ages in range. */
    constexpr Duration maximumReportAge = std::chrono::minutes(1);
    /** Longest time until a replica leaves; the limit keeps calculations with it in range. */
    constexpr Duration longestTimeLeft = std::chrono::hours(24);
    /** Limits the memory of a receiver, which stores a list for each part. The two-year target needs far fewer parts. */
    constexpr uint32_t maximumParts = 256;
    /** Services in one message whose use by accounts is reported. */
    constexpr size_t maximumShortServices = 16;
    /** Each part carries all lost attempts; one with a longer id, which a client chooses, is not reported. */
    constexpr size_t maximumAttemptIdBytes = 128;

    json encodeWork(const std::vector<ReplicaWork>& work)
    {
        auto list = json::array();
        for (const auto& item : work)
            list.push_back({ item.replica.value(), item.requests, static_cast<int64_t>(item.queued.sum(0, relaxedOrder)), static_cast<int64_t>(item.queued.sum(relaxedOrder, deferredOrder)), static_cast<int64_t>(item.queued.sum(deferredOrder)) });
        return list;
    }

    /** The tokens as daemons without priorities understand them. */
    QueuedTokens tokensOfRanks(const json& urgent, const json& relaxed, const json& deferred)
    {
        QueuedTokens tokens;
        tokens.set(orderOf(PrefillRank::Urgent), urgent.get<double>());
        tokens.set(relaxedOrder, relaxed.get<double>());
        tokens.set(deferredOrder, deferred.get<double>());
        return tokens;
    }

    bool hasSeveralPriorities(const ReplicaWork& work)
    {
        auto ofRanks = work.queued.at(orderOf(PrefillRank::Urgent)) + work.queued.at(relaxedOrder) + work.queued.at(deferredOrder);
        return work.decodes.sum() > 0 || work.queued.sum() > ofRanks;
    }

    /** The work by position, for the items whose three sums of tokens do not say it: index of the item, then position, tokens and
        decode requests of each position with work. */
    json encodeOrders(const std::vector<ReplicaWork>& work)
    {
        auto list = json::array();
        for (size_t i = 0; i < work.size(); ++i) {
            if (!hasSeveralPriorities(work[i]))
                continue;
            json item { i };
            for (EnginePosition order = 0; order < enginePositions; ++order) {
                auto tokens = static_cast<int64_t>(work[i].queued.at(order));
                auto requests = work[i].decodes.at(order);
                if (tokens > 0 || requests > 0)
                    item.insert(item.end(), { order, tokens, requests });
            }
            list.push_back(std::move(item));
        }
        return list;
    }

    void decodeOrders(const json& list, std::vector<ReplicaWork>& work)
    {
        for (const auto& item : list) {
            auto index = item.at(0).get<size_t>();
            if (index >= work.size())
                throw json::out_of_range::create(406, "item of work out of range", &item);
            QueuedTokens queued;
            OrderedRequests decodes;
            for (size_t i = 1; i + 2 < item.size(); i += 3) {
                auto order = item.at(i).get<EnginePosition>();
                if (order >= enginePositions)
                    throw json::out_of_range::create(406, "position out of range", &item);
                queued.set(order, item.at(i + 1).get<uint32_t>());
                decodes.set(order, item.at(i + 2).get<uint32_t>());
            }
            work[index].queued = queued;
            work[index].decodes = decodes;
        }
    }

    json encodeTime(const TimeSamples& samples)
    {
        return { static_cast<float>(samples.count), static_cast<float>(samples.milliseconds) };
    }

    /** Rejects NaN and infinity, which CBOR can encode: they would stay in each sum that they are added to. */
    double decodeSum(const json& item)
    {
        auto value = item.get<double>();
        if (!std::isfinite(value) || value < 0)
            throw json::out_of_range::create(406, "sample sum out of range", &item);
        return value;
    }

    TimeSamples decodeTime(const json& item)
    {
        return { decodeSum(item.at(0)), decodeSum(item.at(1)) };
    }

    json encodeSamples(const std::vector<ServiceSamples>& list)
    {
        auto items = json::array();
        for (const auto& [service, prefill, firstEvent, eventGap, occupancy] : list) {
            json sums { static_cast<float>(prefill.count), static_cast<float>(prefill.tokens), static_cast<float>(prefill.milliseconds), static_cast<float>(prefill.tokensSquared), static_cast<float>(prefill.tokensTimesMilliseconds) };
            items.push_back({ service.value(), std::move(sums), encodeTime(firstEvent), encodeTime(eventGap), encodeTime(occupancy) });
        }
        return items;
    }

    std::vector<ServiceSamples> decodeSamples(const json& items)
    {
        std::vector<ServiceSamples> list;
        for (const auto& item : items) {
            const auto& sums = item.at(1);
            PrefillSamples prefill { decodeSum(sums.at(0)), decodeSum(sums.at(1)), decodeSum(sums.at(2)), decodeSum(sums.at(3)), decodeSum(sums.at(4)) };
            list.push_back({ ServiceId(item.at(0).get<std::string>()), prefill, decodeTime(item.at(2)), decodeTime(item.at(3)), decodeTime(item.at(4)) });
        }
        return list;
    }

    /** Steps of the encoded logarithms: 12 for a doubling of a count and 24 for a doubling of a mean, so that an encoded value
        differs from the sum by at most 3%. */
    constexpr double countSteps = 12;
    constexpr double meanSteps = 24;
    constexpr double meanSquareSteps = 16;
    /** Counts from a quarter of a call on are resolved. */
    constexpr double countUnit = 0.25;
    constexpr int middleByte = 128;
    constexpr size_t capacityBytes = 2 * loadBands + 2;

    uint8_t byteOf(double value)
    {
        return static_cast<uint8_t>(std::clamp(std::lround(value), 0L, 255L));
    }

    uint8_t encodeCount(double count)
    {
        return byteOf(countSteps * std::log2(1 + count / countUnit));
    }

    double decodeCount(uint8_t byte)
    {
        return (std::exp2(byte / countSteps) - 1) * countUnit;
    }

    uint8_t encodeMean(double sum, double count, double steps)
    {
        return sum > 0 && count > 0 ? byteOf(middleByte + steps * std::log2(sum / count)) : middleByte;
    }

    double decodeMean(uint8_t byte, double steps)
    {
        return std::exp2((byte - middleByte) / steps);
    }

    json encodeCapacities(const std::vector<CapacitySamples>& list)
    {
        auto items = json::array();
        for (const auto& samples : list) {
            std::vector<uint8_t> bytes;
            for (const auto& [count, timeRatios] : samples.bands) {
                bytes.push_back(encodeCount(count));
                bytes.push_back(encodeMean(timeRatios, count, meanSteps));
            }
            bytes.push_back(encodeMean(samples.squaredRatios, callsOf(samples), meanSquareSteps));
            bytes.push_back(encodeCount(samples.errors));
            items.push_back({ samples.replica.value(), json::binary(std::move(bytes)) });
        }
        return items;
    }

    CapacitySamples decodeCapacity(const json& item)
    {
        const auto& bytes = item.at(1).get_binary();
        if (bytes.size() != capacityBytes)
            throw json::out_of_range::create(406, "capacity samples of a wrong size", &item);
        CapacitySamples samples { ReplicaId(item.at(0).get<std::string>()) };
        for (size_t band = 0; band < loadBands; ++band) {
            auto count = decodeCount(bytes[2 * band]);
            samples.bands.at(band) = { count, count * decodeMean(bytes[2 * band + 1], meanSteps) };
        }
        samples.squaredRatios = callsOf(samples) * decodeMean(bytes[capacityBytes - 2], meanSquareSteps);
        samples.errors = decodeCount(bytes[capacityBytes - 1]);
        return samples;
    }

    json encodeLosses(const std::vector<LostAttemptReport>& losses)
    {
        auto list = json::array();
        for (const auto& [loss, age, runTime] : losses) {
            if (loss.attempt.value().size() > maximumAttemptIdBytes)
                continue;
            list.push_back({ toHex(loss.content), loss.attempt.value(), loss.replica.value(), loss.replicaStart, age.count(), runTime.count() });
        }
        return list;
    }

    json encodeSuccesses(const std::vector<SuccessReport>& successes)
    {
        auto list = json::array();
        for (const auto& item : successes)
            list.push_back({ toHex(item.content), item.age.count() });
        return list;
    }

    std::vector<SuccessReport> decodeSuccesses(const json& list)
    {
        std::vector<SuccessReport> successes;
        for (const auto& item : list) {
            if (auto content = digestFromHex(item.at(0).get<std::string>()))
                successes.push_back({ *content, Duration(item.at(1).get<int64_t>()) });
        }
        return successes;
    }

    std::vector<ReplicaWork> decodeWork(const json& list)
    {
        std::vector<ReplicaWork> work;
        for (const auto& item : list)
            work.push_back({ ReplicaId(item.at(0).get<std::string>()), item.at(1).get<uint32_t>(), tokensOfRanks(item.at(2), item.at(3), item.at(4)), {} });
        return work;
    }

    std::vector<LostAttemptReport> decodeLosses(const json& list)
    {
        std::vector<LostAttemptReport> losses;
        for (const auto& item : list) {
            if (auto content = digestFromHex(item.at(0).get<std::string>()))
                losses.push_back({ { *content, RequestId(item.at(1).get<std::string>()), ReplicaId(item.at(2).get<std::string>()), item.at(3).get<int64_t>() }, Duration(item.at(4).get<int64_t>()), Duration(item.at(5).get<int64_t>()) });
        }
        return losses;
    }

    json encodeEngineCrashes(const std::vector<EngineCrashReport>& reports)
    {
        auto list = json::array();
        for (const auto& [engine, age, isRefuted, suspects, waited] : reports) {
            auto parts = json::array();
            for (const auto& part : suspects)
                parts.push_back({ part.id, part.position });
            list.push_back({ engine.replica.value(), engine.startedAt, age.count(), isRefuted, std::move(parts), waited.count() });
        }
        return list;
    }

    Duration decodeAge(const json& item)
    {
        Duration age(item.get<int64_t>());
        if (age < Duration::zero() || age > maximumReportAge)
            throw json::out_of_range::create(406, "age of a report out of range", &item);
        return age;
    }

    void checkSize(const json& list, size_t maximum)
    {
        if (list.size() > maximum)
            throw json::out_of_range::create(406, "too many reports", &list);
    }

    std::vector<EngineCrashReport> decodeEngineCrashes(const json& list)
    {
        checkSize(list, maximumCrashReports);
        std::vector<EngineCrashReport> reports;
        for (const auto& item : list) {
            EngineCrashReport report { { ReplicaId(item.at(0).get<std::string>()), item.at(1).get<int64_t>() }, decodeAge(item.at(2)), item.at(3).get<bool>(), {}, decodeAge(item.at(5)) };
            checkSize(item.at(4), maximumReportedSuspects);
            for (const auto& part : item.at(4))
                report.suspects.push_back({ part.at(0).get<uint64_t>(), part.at(1).get<uint32_t>() });
            reports.push_back(std::move(report));
        }
        return reports;
    }

    json encodePartBegins(const std::vector<PartBeginReport>& reports)
    {
        auto list = json::array();
        for (const auto& [part, age] : reports)
            list.push_back({ part, age.count() });
        return list;
    }

    std::vector<PartBeginReport> decodePartBegins(const json& list)
    {
        checkSize(list, maximumBeginReports);
        std::vector<PartBeginReport> reports;
        for (const auto& item : list)
            reports.push_back({ item.at(0).get<uint64_t>(), decodeAge(item.at(1)) });
        return reports;
    }

    json encodeEntries(const std::vector<ReplicaEntry>& entries)
    {
        auto list = json::array();
        for (const auto& entry : entries)
            list.push_back({ entry.id.value(), entry.service.value(), entry.address, entry.zone.value(), entry.slots, static_cast<int>(entry.stage), entry.startedAt, entry.heartbeat, entry.isReclaimable });
        return list;
    }

    EngineStage decodeStage(int number)
    {
        return number == 1 ? EngineStage::Prefill : number == 2 ? EngineStage::Decode
                                                                : EngineStage::None;
    }

    /** Decodes the entries of replicas that are not leaving; the leaving ones are in a separate list. */
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
            // Earlier versions do not send it.
            entry.isReclaimable = item.size() > 8 && item.at(8).get<bool>();
            entries.push_back(std::move(entry));
        }
        return entries;
    }

    json encodePauses(const std::vector<PausedReplica>& pauses)
    {
        auto list = json::array();
        for (const auto& pause : pauses)
            list.push_back({ pause.replica.value(), pause.orderTick });
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
        for (const auto& replica : replicas) {
            json item { replica.id.value(), replica.startedAt, replica.heartbeat, replica.isDraining };
            if (replica.leavesIn)
                item.push_back(replica.leavesIn->count());
            list.push_back(std::move(item));
        }
        return list;
    }

    Duration decodeTimeLeft(const json& item)
    {
        Duration time(item.get<int64_t>());
        if (time < Duration::zero() || time > longestTimeLeft)
            throw json::out_of_range::create(406, "time left out of range", &item);
        return time;
    }

    std::vector<LeavingReplica> decodeLeaving(const json& list)
    {
        std::vector<LeavingReplica> replicas;
        for (const auto& item : list) {
            replicas.push_back({ ReplicaId(item.at(0).get<std::string>()), item.at(1).get<int64_t>(), item.at(2).get<int64_t>(), item.at(3).get<bool>() });
            // Earlier versions do not send it.
            if (item.size() > 4)
                replicas.back().leavesIn = decodeTimeLeft(item.at(4));
        }
        return replicas;
    }

    json encodeRefusals(const std::vector<RefusalReport>& reports)
    {
        auto list = json::array();
        for (const auto& [replica, requests, age] : reports)
            list.push_back({ replica.value(), requests, age.count() });
        return list;
    }

    std::vector<RefusalReport> decodeRefusals(const json& list)
    {
        checkSize(list, maximumRefusalReports);
        std::vector<RefusalReport> reports;
        for (const auto& item : list)
            reports.push_back({ ReplicaId(item.at(0).get<std::string>()), item.at(1).get<uint32_t>(), decodeAge(item.at(2)) });
        return reports;
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

    json encodeAccountUse(const std::vector<ServiceUse>& list)
    {
        auto items = json::array();
        for (const auto& use : list) {
            auto accounts = json::array();
            for (const auto& account : use.accounts)
                accounts.push_back({ account.account.value(), account.priority, static_cast<float>(account.requested) });
            items.push_back({ use.service.value(), static_cast<float>(use.admitted), static_cast<float>(use.refused), std::move(accounts) });
        }
        return items;
    }

    /** Daemons of earlier versions send no use. */
    std::vector<ServiceUse> decodeAccountUse(const json& document)
    {
        std::vector<ServiceUse> list;
        auto items = document.find("use");
        if (items == document.end())
            return list;
        checkSize(*items, maximumShortServices);
        for (const auto& item : *items) {
            ServiceUse use { ServiceId(item.at(0).get<std::string>()), decodeSum(item.at(1)), decodeSum(item.at(2)), {} };
            checkSize(item.at(3), maximumListedAccounts + maximumOtherPriorities);
            for (const auto& account : item.at(3))
                use.accounts.push_back({ AccountId(account.at(0).get<std::string>()), account.at(1).get<uint32_t>(), decodeSum(account.at(2)) });
            list.push_back(std::move(use));
        }
        return list;
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
