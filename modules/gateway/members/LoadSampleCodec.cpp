#include "gateway/members/LoadSampleCodec.h"

#include "gateway/members/LoadValueCodec.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

using nlohmann::json;

namespace {

    /** Positions at which the three sums of tokens are divided. */
    constexpr EnginePosition relaxedOrder = 5;
    constexpr EnginePosition deferredOrder = 7;

    /** Services in one message whose use by accounts or whose demand is reported. */
    constexpr size_t maximumReportedServices = 16;

    /** Steps of the encoded logarithms: 12 for a doubling of a count and 24 for a doubling of a mean, so that an encoded value
        differs from the sum by at most 3%. */
    constexpr double countSteps = 12;
    constexpr double meanSteps = 24;
    constexpr double meanSquareSteps = 16;
    /** Counts from a quarter of a call on are resolved. */
    constexpr double countUnit = 0.25;
    constexpr int middleByte = 128;
    constexpr size_t capacityBytes = 2 * loadBands + 2;

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

    json encodeTime(const TimeSamples& samples)
    {
        return { static_cast<float>(samples.count), static_cast<float>(samples.milliseconds) };
    }

    TimeSamples decodeTime(const json& item)
    {
        return { decodeSum(item.at(0)), decodeSum(item.at(1)) };
    }

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

} // namespace

json encodeWork(const std::vector<ReplicaWork>& work)
{
    auto list = json::array();
    for (const auto& item : work)
        list.push_back({ item.replica.value(), item.requests, static_cast<int64_t>(item.queued.sum(0, relaxedOrder)), static_cast<int64_t>(item.queued.sum(relaxedOrder, deferredOrder)), static_cast<int64_t>(item.queued.sum(deferredOrder)) });
    return list;
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

std::vector<ReplicaWork> decodeWork(const json& list)
{
    std::vector<ReplicaWork> work;
    for (const auto& item : list)
        work.push_back({ ReplicaId(item.at(0).get<std::string>()), item.at(1).get<uint32_t>(), tokensOfRanks(item.at(2), item.at(3), item.at(4)), {} });
    return work;
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
    checkSize(*items, maximumReportedServices);
    for (const auto& item : *items) {
        ServiceUse use { ServiceId(item.at(0).get<std::string>()), decodeSum(item.at(1)), decodeSum(item.at(2)), {} };
        checkSize(item.at(3), maximumListedAccounts + maximumOtherPriorities);
        for (const auto& account : item.at(3))
            use.accounts.push_back({ AccountId(account.at(0).get<std::string>()), account.at(1).get<uint32_t>(), decodeSum(account.at(2)) });
        list.push_back(std::move(use));
    }
    return list;
}

json encodeDemands(const std::vector<RequestDemand>& list)
{
    auto items = json::array();
    for (const auto& [service, perSecond] : list)
        items.push_back({ service.value(), static_cast<float>(perSecond) });
    return items;
}

std::vector<RequestDemand> decodeDemands(const json& items)
{
    checkSize(items, maximumReportedServices);
    std::vector<RequestDemand> list;
    for (const auto& item : items)
        list.push_back({ ServiceId(item.at(0).get<std::string>()), decodeSum(item.at(1)) });
    return list;
}

} // namespace chestnut
