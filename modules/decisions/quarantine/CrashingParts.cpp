#include "decisions/quarantine/CrashingParts.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace chestnut {

namespace {

    constexpr uint32_t crashesToSuspect = 2;
    constexpr uint32_t crashesToBlock = 3;
    /** Crashes within this time count as one: a loss of power ends many engines at once, and popular parts wait at each. */
    constexpr Duration commonCauseTime = std::chrono::milliseconds(100);
    /** A crash counts after this time, within which reports of peers about the same crash and first events arrive. */
    constexpr Duration settleTime = std::chrono::milliseconds(300);
    /** Error of the times in reports, caused by the transit time of a datagram. */
    constexpr Duration reportTimeError = std::chrono::milliseconds(10);
    /** A crashed engine needs longer than this to restart; its recorded start may then still be the old one. */
    constexpr Duration shortestRestart = std::chrono::seconds(1);
    /** Each crash is reported for this long, so in several datagrams, because some do not arrive. */
    constexpr Duration reportTime = std::chrono::seconds(3);
    /** A popular part waits at several engines at once only if it begins often: not to begin for so many times the longest
        wait, while other requests do, excludes it. */
    constexpr int64_t waitsOfUnpopular = 4;
    constexpr Duration shortestUnpopularTime = std::chrono::seconds(1);
    /** Peers do not report earlier first events. */
    constexpr Duration longestUnpopularTime = reportTime - shortestRestart;
    /** Multiplied by the number of crashes, so that a part that crashes engines in its trials is tried ever less often. */
    constexpr Duration trialDelay = std::chrono::seconds(30);
    constexpr Duration longestTrialDelay = std::chrono::minutes(5);
    constexpr Duration crashRetention = std::chrono::minutes(20);
    /** Exceeds reportTime, so that a late report of a peer does not restore a refuted suspicion. */
    constexpr Duration beginRetention = std::chrono::minutes(5);
    constexpr size_t maximumCrashes = 256;
    constexpr size_t maximumSuspects = 64;
    constexpr size_t maximumBegins = 8192;

    using CrashOfEngine = std::pair<const EngineStart, EngineCrash>;
    using CrashesByPart = std::map<uint64_t, std::vector<const CrashOfEngine*>>;

    /** Whether a request with the part has begun since the crash. */
    bool hasBegunSince(const CrashingPartTable& table, uint64_t part, TimePoint crash)
    {
        auto begun = table.begunAt.find(part);
        return begun != table.begunAt.end() && crash <= begun->second;
    }

    /** Drops the oldest quarter of the entries when there are too many, so that most calls cost nothing. Returns the time of
        the last one that was dropped. */
    template <typename Key, typename Value, typename TimeOf>
    std::optional<TimePoint> limitSize(std::map<Key, Value>& entries, size_t maximum, TimeOf timeOf)
    {
        if (entries.size() <= maximum)
            return std::nullopt;
        std::vector<TimePoint> times;
        std::ranges::transform(entries, std::back_inserter(times), [&](const auto& entry) { return timeOf(entry.second); });
        auto limit = times.begin() + static_cast<ptrdiff_t>(times.size() / 4);
        std::ranges::nth_element(times, limit);
        std::erase_if(entries, [&](const auto& entry) { return timeOf(entry.second) <= *limit; });
        return *limit;
    }

    void removeRefutedSuspects(const CrashingPartTable& table, EngineCrash& crash)
    {
        std::erase_if(crash.suspects, [&](const auto& suspect) { return hasBegunSince(table, suspect.first, crash.at); });
    }

    void addSuspects(const CrashingPartTable& table, EngineCrash& crash, std::span<const SharedPart> parts)
    {
        if (crash.suspects.size() + parts.size() > maximumSuspects)
            removeRefutedSuspects(table, crash);
        for (const auto& part : parts) {
            if (crash.suspects.size() < maximumSuspects && !hasBegunSince(table, part.id, crash.at))
                crash.suspects.try_emplace(part.id, part.position);
        }
    }

    EngineCrash& crashOf(CrashingPartTable& table, const EngineStart& engine, TimePoint at)
    {
        limitSize(table.crashes, maximumCrashes, [](const auto& crash) { return crash.at; });
        auto& crash = table.crashes.try_emplace(engine, EngineCrash { at, false, {}, {}, table.lastBegin }).first->second;
        crash.at = std::min(crash.at, at);
        return crash;
    }

    void recordBegin(CrashingPartTable& table, uint64_t part, TimePoint at)
    {
        auto& begunAt = table.begunAt.try_emplace(part, at).first->second;
        begunAt = std::max(begunAt, at);
        if (!table.lastBegin)
            table.beginsKnownSince = at;
        table.lastBegin = std::max(table.lastBegin.value_or(at), at);
        if (auto dropped = limitSize(table.begunAt, maximumBegins, [](TimePoint time) { return time; }))
            table.beginsKnownSince = std::max(table.beginsKnownSince, *dropped);
    }

    CrashesByPart countedCrashes(const CrashingPartTable& table, TimePoint latest)
    {
        CrashesByPart crashesByPart;
        for (const auto& entry : table.crashes) {
            const auto& crash = entry.second;
            if (crash.isRefuted || crash.at > latest)
                continue;
            for (const auto& [part, position] : crash.suspects) {
                if (!hasBegunSince(table, part, crash.at))
                    crashesByPart[part].push_back(&entry);
            }
        }
        return crashesByPart;
    }

    /** Whether requests with the part had not begun for long before the crash although others had. A popular part, which a
        loss of power finds waiting at many engines, has. */
    bool isUnpopular(const CrashingPartTable& table, uint64_t part, const EngineCrash& crash, Duration waited)
    {
        auto required = std::max(shortestUnpopularTime, waitsOfUnpopular * waited);
        if (!crash.lastBegin || required > longestUnpopularTime)
            return false;
        auto begun = table.begunAt.find(part);
        auto begunAt = begun == table.begunAt.end() ? table.beginsKnownSince : begun->second;
        return std::min(*crash.lastBegin, crash.at) - begunAt > required;
    }

    CrashingPart describePart(const CrashingPartTable& table, uint64_t part, std::vector<const CrashOfEngine*> crashes, TimePoint now)
    {
        CrashingPart result { part };
        std::ranges::sort(crashes, {}, [](const auto* entry) { return entry->second.at; });
        auto waited = std::ranges::max(crashes, {}, [](const auto* entry) { return entry->second.waited; })->second.waited;
        std::optional<TimePoint> last;
        for (const auto* entry : crashes) {
            const auto& [engine, crash] = *entry;
            result.replicas.insert(engine.replica);
            auto isApart = !last || crash.at - *last >= commonCauseTime;
            // No engine is back sooner, so that nothing is lost by waiting for first events that peers report.
            auto isReported = now - crash.at >= shortestRestart;
            if (!isApart && !(isReported && isUnpopular(table, part, crash, waited)))
                continue;
            ++result.crashes;
            last = crash.at;
        }
        result.lastCrash = crashes.back()->second.at;
        result.state = result.crashes >= crashesToBlock ? PartState::Blocked : PartState::Suspected;
        return result;
    }

    /** Compares parts by guilt. Of the parts of the same requests, a popular one has begun most recently, and the first one of
        a prompt is the most popular. */
    auto guiltOf(const CrashingPartTable& table, const CrashingPart& part, const std::vector<const CrashOfEngine*>& crashes)
    {
        auto begun = table.begunAt.find(part.part);
        auto sinceBegin = begun == table.begunAt.end() ? Duration::max() : part.lastCrash - begun->second;
        return std::tuple(part.state, sinceBegin, crashes.size(), crashes.front()->second.suspects.at(part.part));
    }

    std::optional<CrashingPart> guiltiestPart(const CrashingPartTable& table, const CrashesByPart& crashesByPart, TimePoint now)
    {
        std::optional<CrashingPart> best;
        for (const auto& [part, crashes] : crashesByPart) {
            auto candidate = describePart(table, part, crashes, now);
            if (candidate.crashes < crashesToSuspect)
                continue;
            if (!best || guiltOf(table, candidate, crashes) > guiltOf(table, *best, crashesByPart.at(best->part)))
                best = std::move(candidate);
        }
        return best;
    }

    /** Removes the crashes at which this part was a suspect. */
    void removeExplained(CrashesByPart& crashesByPart, uint64_t explanation)
    {
        auto explained = crashesByPart.at(explanation);
        for (auto& [part, crashes] : crashesByPart)
            std::erase_if(crashes, [&](const auto* crash) { return std::ranges::find(explained, crash) != explained.end(); });
        std::erase_if(crashesByPart, [](const auto& entry) { return entry.second.empty(); });
    }

    /** The suspects to report, those of most crashes first. */
    std::vector<SharedPart> reportedSuspects(const EngineCrash& crash, const CrashesByPart& crashesByPart)
    {
        std::vector<SharedPart> parts;
        for (const auto& [id, position] : crash.suspects) {
            if (crashesByPart.contains(id))
                parts.push_back({ id, position });
        }
        std::ranges::stable_sort(parts, std::ranges::greater(), [&](const SharedPart& part) { return crashesByPart.at(part.id).size(); });
        parts.resize(std::min(parts.size(), maximumReportedSuspects));
        return parts;
    }

} // namespace

void recordEngineCrash(CrashingPartTable& table, const EngineStart& engine, std::span<const SharedPart> parts, TimePoint sentAt, TimePoint now)
{
    auto& crash = crashOf(table, engine, now);
    // A request that was sent after the crash was reset by the address of the ended process.
    if (sentAt > crash.at + reportTimeError)
        return;
    crash.waited = std::max(crash.waited, crash.at - sentAt);
    addSuspects(table, crash, parts);
}

void mergeEngineCrash(CrashingPartTable& table, const EngineCrashReport& report, TimePoint now)
{
    auto& crash = crashOf(table, report.engine, now - report.age);
    crash.isRefuted = crash.isRefuted || report.isRefuted;
    crash.waited = std::max(crash.waited, report.waited);
    addSuspects(table, crash, report.suspects);
}

void recordPartsBegun(CrashingPartTable& table, std::span<const SharedPart> parts, TimePoint now)
{
    for (const auto& part : parts)
        recordBegin(table, part.id, now);
}

void mergePartBegin(CrashingPartTable& table, const PartBeginReport& report, TimePoint now)
{
    recordBegin(table, report.part, now - report.age);
}

void recordEngineResponse(CrashingPartTable& table, const EngineStart& engine, TimePoint sentAt)
{
    auto entry = table.crashes.find(engine);
    if (entry == table.crashes.end())
        return;
    auto& crash = entry->second;
    crash.isRefuted = crash.isRefuted || (crash.at <= sentAt && sentAt - crash.at < shortestRestart);
}

std::vector<CrashingPart> findCrashingParts(const CrashingPartTable& table, TimePoint now)
{
    auto crashesByPart = countedCrashes(table, now - settleTime);
    std::vector<CrashingPart> parts;
    while (auto part = guiltiestPart(table, crashesByPart, now)) {
        removeExplained(crashesByPart, part->part);
        parts.push_back(std::move(*part));
    }
    return parts;
}

bool takeTrial(CrashingPartTable& table, const CrashingPart& part, double jitter, TimePoint now)
{
    auto delay = std::min(longestTrialDelay, trialDelay * static_cast<int64_t>(part.crashes));
    auto due = part.lastCrash + delay + fromSeconds(toSeconds(delay) * jitter);
    auto trial = table.trials.find(part.part);
    if (now < due || (trial != table.trials.end() && now < trial->second + delay))
        return false;
    table.trials[part.part] = now;
    return true;
}

std::vector<EngineCrashReport> recentEngineCrashes(const CrashingPartTable& table, TimePoint now)
{
    auto isRecent = [now](const auto& entry) { return now - entry.second.at < reportTime; };
    if (std::ranges::none_of(table.crashes, isRecent))
        return {};
    auto crashesByPart = countedCrashes(table, now);
    std::vector<EngineCrashReport> reports;
    for (const auto& entry : table.crashes) {
        if (!isRecent(entry))
            continue;
        const auto& [engine, crash] = entry;
        auto suspects = reportedSuspects(crash, crashesByPart);
        if (crash.isRefuted || !suspects.empty())
            reports.push_back({ engine, now - crash.at, crash.isRefuted, std::move(suspects), std::min(crash.waited, reportTime) });
    }
    std::ranges::sort(reports, {}, &EngineCrashReport::age);
    reports.resize(std::min(reports.size(), maximumCrashReports));
    return reports;
}

std::vector<PartBeginReport> recentPartBegins(const CrashingPartTable& table, TimePoint now)
{
    std::map<uint64_t, size_t> crashesOf;
    for (const auto& [engine, crash] : table.crashes) {
        for (const auto& [part, position] : crash.suspects)
            ++crashesOf[part];
    }
    std::vector<PartBeginReport> reports;
    for (const auto& [part, crashes] : crashesOf) {
        auto begun = table.begunAt.find(part);
        if (begun != table.begunAt.end() && now - begun->second < reportTime)
            reports.push_back({ part, now - begun->second });
    }
    std::ranges::stable_sort(reports, std::ranges::greater(), [&](const PartBeginReport& report) { return crashesOf.at(report.part); });
    reports.resize(std::min(reports.size(), maximumBeginReports));
    return reports;
}

void expireCrashes(CrashingPartTable& table, TimePoint now)
{
    // Peers report a crash as long as it is recent. Refuted suspicions go before the first events that refute them.
    for (auto& [engine, crash] : table.crashes) {
        if (now - crash.at > reportTime)
            removeRefutedSuspects(table, crash);
    }
    std::erase_if(table.crashes, [&](const auto& entry) {
        auto isExplained = entry.second.isRefuted || entry.second.suspects.empty();
        return now - entry.second.at > (isExplained ? beginRetention : crashRetention);
    });
    std::erase_if(table.begunAt, [now](const auto& entry) { return now - entry.second > beginRetention; });
    std::erase_if(table.trials, [now](const auto& entry) { return now - entry.second > crashRetention; });
}

} // namespace chestnut
