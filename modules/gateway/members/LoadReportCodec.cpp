#include "gateway/members/LoadReportCodec.h"

#include "base/digest/Digest.h"
#include "gateway/members/LoadValueCodec.h"

namespace chestnut {

using nlohmann::json;

namespace {

    /** Longest time until a replica leaves; the limit keeps calculations with it in range. */
    constexpr Duration longestTimeLeft = std::chrono::hours(24);

    /** Each part carries all lost attempts; one with a longer id, which a client chooses, is not reported. */
    constexpr size_t maximumAttemptIdBytes = 128;

    EngineStage decodeStage(int number)
    {
        return number == 1 ? EngineStage::Prefill : number == 2 ? EngineStage::Decode
                                                                : EngineStage::None;
    }

    Duration decodeTimeLeft(const json& item)
    {
        Duration time(item.get<int64_t>());
        if (time < Duration::zero() || time > longestTimeLeft)
            throw json::out_of_range::create(406, "time left out of range", &item);
        return time;
    }

} // namespace

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

std::vector<LostAttemptReport> decodeLosses(const json& list)
{
    std::vector<LostAttemptReport> losses;
    for (const auto& item : list) {
        if (auto content = digestFromHex(item.at(0).get<std::string>()))
            losses.push_back({ { *content, RequestId(item.at(1).get<std::string>()), ReplicaId(item.at(2).get<std::string>()), item.at(3).get<int64_t>() }, Duration(item.at(4).get<int64_t>()), Duration(item.at(5).get<int64_t>()) });
    }
    return losses;
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
        list.push_back({ entry.id.value(), entry.service.value(), entry.address, entry.zone.value(), entry.slots, static_cast<int>(entry.stage), entry.startedAt, entry.heartbeat, entry.isReclaimable, entry.version.value() });
    return list;
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
        if (item.size() > 9)
            entry.version = SoftwareVersion(item.at(9).get<std::string>());
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

json encodeRateLimits(const std::vector<RateLimitReport>& reports)
{
    auto list = json::array();
    for (const auto& [replica, statement, age] : reports) {
        json item { replica.value(), statement.startedAt, age.count() };
        if (statement.perSecond)
            item.push_back(*statement.perSecond);
        list.push_back(std::move(item));
    }
    return list;
}

std::vector<RateLimitReport> decodeRateLimits(const json& list)
{
    checkSize(list, maximumRateLimitReports);
    std::vector<RateLimitReport> reports;
    for (const auto& item : list) {
        RateStatement statement { item.at(1).get<int64_t>(), {} };
        if (item.size() > 3)
            statement.perSecond = decodeSum(item.at(3));
        reports.push_back({ ReplicaId(item.at(0).get<std::string>()), statement, decodeAge(item.at(2)) });
    }
    return reports;
}

} // namespace chestnut
