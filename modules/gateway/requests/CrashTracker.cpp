#include "gateway/requests/CrashTracker.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace chestnut {

namespace {

    /** Crashes after which a request content is blocked: it is sent to no replica. */
    constexpr size_t crashesToBlock = 3;
    /** A crashed replica needs longer than this to restart; it may return under its old id. */
    constexpr Duration shortestRestart = std::chrono::seconds(1);
    constexpr Duration lossRetention = std::chrono::minutes(5);
    /** Each loss is reported for this long, so in several datagrams, because some do not arrive. */
    constexpr Duration reportTime = std::chrono::seconds(3);
    constexpr size_t maximumReports = 16;
    /** Exceeds reportTime, so that a late report of a peer does not restore a refuted loss. */
    constexpr Duration successRetention = std::chrono::seconds(10);
    constexpr Duration expiryPeriod = std::chrono::milliseconds(500);
    /** Limits the memory for losses to about 400 KB. */
    constexpr size_t maximumLosses = 4096;

    /** The parts are evaluated at most this often, because each request asks for them. */
    constexpr Duration partsUpdatePeriod = std::chrono::milliseconds(50);
    /** Limits the memory for changes that nobody asks for. */
    constexpr size_t maximumPartChanges = 256;

    /** Maximum error of the times in reports, caused by the transit time of a datagram. */
    constexpr Duration reportTimeError = std::chrono::milliseconds(10);

    /** One process start of a replica. */
    struct ReplicaStart {
        ReplicaId replica;
        int64_t start = 0;

        auto operator<=>(const ReplicaStart&) const = default;
    };

    /** Counts the crashes of one start of a replica: a process crashes once, and an address whose process has ended may reset
        every later attempt. When the start is unknown, a single crash loses all attempts that were sent before it. */
    size_t countCrashes(const ReplicaStart& start, std::vector<LostAttemptTimes> losses)
    {
        if (start.start != 0)
            return 1;
        std::ranges::sort(losses, {}, &LostAttemptTimes::detectedAt);
        size_t crashes = 0;
        std::optional<TimePoint> lastCrash;
        for (const auto& loss : losses) {
            if (lastCrash && loss.sentAt <= *lastCrash + reportTimeError)
                continue;
            ++crashes;
            lastCrash = loss.detectedAt;
        }
        return crashes;
    }

} // namespace

CrashTracker::CrashTracker(TimerService& timers, uint64_t seed)
    : m_timers(timers)
    , m_seed(seed)
{
}

bool CrashTracker::add(const LostAttempt& loss, TimePoint sentAt)
{
    return addLoss(loss, { sentAt, m_timers.now() });
}

bool CrashTracker::add(const LostAttemptReport& report)
{
    auto detectedAt = m_timers.now() - report.age;
    return addLoss(report.loss, { detectedAt - report.runTime, detectedAt });
}

bool CrashTracker::addLoss(const LostAttempt& loss, LostAttemptTimes times)
{
    expire();
    auto success = m_successes.find(loss.content);
    if (success != m_successes.end() && times.detectedAt <= success->second.at) {
        success->second.hadLoss = true;
        return false;
    }
    return m_losses.try_emplace(loss, times).second;
}

void CrashTracker::recordCompletion(const Digest& content)
{
    releaseSharedBlock(m_sharedBlocks, content, m_timers.now(), m_timers.now());
    recordCompletion({ content, Duration::zero() });
}

void CrashTracker::recordCompletion(const SuccessReport& report)
{
    expire();
    releaseSharedBlock(m_sharedBlocks, report.content, m_timers.now() - report.age, std::nullopt);
    auto& success = m_successes[report.content];
    success.at = std::max(success.at, m_timers.now() - report.age);
    auto loss = m_losses.lower_bound(LostAttempt { report.content, RequestId(), ReplicaId() });
    while (loss != m_losses.end() && loss->first.content == report.content) {
        auto isRefuted = loss->second.detectedAt <= success.at;
        success.hadLoss = success.hadLoss || isRefuted;
        loss = isRefuted ? m_losses.erase(loss) : std::next(loss);
    }
}

void CrashTracker::recordReplicaResponse(const ReplicaId& replica, TimePoint sentAt)
{
    std::erase_if(m_losses, [&](const auto& entry) {
        const auto& [loss, times] = entry;
        return loss.replica == replica && times.detectedAt <= sentAt && sentAt - times.detectedAt < shortestRestart;
    });
}

std::optional<ObservedBlock> CrashTracker::observedBlockOf(const Digest& content) const
{
    std::map<ReplicaStart, std::vector<LostAttemptTimes>> lossesOf;
    ObservedBlock block { content };
    for (auto loss = m_losses.lower_bound(LostAttempt { content, RequestId(), ReplicaId() }); loss != m_losses.end() && loss->first.content == content; ++loss) {
        if (m_timers.now() - loss->second.detectedAt > lossRetention)
            continue;
        lossesOf[{ loss->first.replica, loss->first.replicaStart }].push_back(loss->second);
        block.lastCrash = std::max(block.lastCrash, loss->second.detectedAt);
    }
    size_t crashes = 0;
    for (auto& [start, losses] : lossesOf)
        crashes += countCrashes(start, std::move(losses));
    block.crashes = static_cast<uint32_t>(crashes);
    return crashes >= crashesToBlock ? std::optional(block) : std::nullopt;
}

bool CrashTracker::isBlocked(const Digest& content) const
{
    return findSharedBlock(m_sharedBlocks, content, m_timers.now()) || observedBlockOf(content);
}

std::vector<ObservedBlock> CrashTracker::observedBlocks() const
{
    std::vector<ObservedBlock> blocks;
    for (auto loss = m_losses.begin(); loss != m_losses.end();) {
        const auto& content = loss->first.content;
        if (auto block = observedBlockOf(content))
            blocks.push_back(*block);
        loss = std::find_if(loss, m_losses.end(), [&](const auto& entry) { return entry.first.content != content; });
    }
    for (const auto& part : findCrashingParts(m_parts, m_timers.now())) {
        if (part.state == PartState::Blocked)
            blocks.push_back({ PromptPartId { part.part }, part.crashes, part.lastCrash });
    }
    return blocks;
}

std::vector<LostAttemptReport> CrashTracker::recentLosses() const
{
    std::vector<LostAttemptReport> losses;
    auto now = m_timers.now();
    for (const auto& [loss, times] : m_losses) {
        if (now - times.detectedAt < reportTime)
            losses.push_back({ loss, now - times.detectedAt, times.detectedAt - times.sentAt });
    }
    if (losses.size() <= maximumReports)
        return losses;
    // One crash loses the attempts of many contents; the one that caused it has been lost before.
    std::map<Digest, size_t> lossesOf;
    for (const auto& [loss, times] : m_losses)
        ++lossesOf[loss.content];
    std::ranges::stable_sort(losses, [&](const LostAttemptReport& left, const LostAttemptReport& right) {
        auto leftLosses = lossesOf[left.loss.content];
        auto rightLosses = lossesOf[right.loss.content];
        return leftLosses != rightLosses ? leftLosses > rightLosses : left.age < right.age;
    });
    losses.resize(maximumReports);
    return losses;
}

std::vector<SuccessReport> CrashTracker::recentSuccesses() const
{
    std::vector<SuccessReport> reports;
    auto now = m_timers.now();
    for (const auto& [content, success] : m_successes) {
        if (success.hadLoss && now - success.at < reportTime && reports.size() < maximumReports)
            reports.push_back({ content, now - success.at });
    }
    return reports;
}

void CrashTracker::expire()
{
    auto now = m_timers.now();
    if (now - m_expiredAt < expiryPeriod)
        return;
    m_expiredAt = now;
    std::erase_if(m_successes, [now](const auto& entry) { return now - entry.second.at > successRetention; });
    std::erase_if(m_losses, [now](const auto& entry) { return now - entry.second.detectedAt > lossRetention; });
    while (m_losses.size() > maximumLosses) {
        auto oldest = std::ranges::min_element(m_losses, {}, [](const auto& entry) { return entry.second.detectedAt; });
        m_losses.erase(oldest);
    }
    expireCrashes(m_parts, now);
}

void CrashTracker::addPartCrash(const EngineStart& engine, std::span<const SharedPart> parts, TimePoint sentAt)
{
    expire();
    recordEngineCrash(m_parts, engine, parts, sentAt, m_timers.now());
}

void CrashTracker::addPartCrash(const EngineCrashReport& report)
{
    expire();
    mergeEngineCrash(m_parts, report, m_timers.now());
}

void CrashTracker::recordPartsBegun(const EngineStart& engine, std::span<const SharedPart> parts, TimePoint sentAt)
{
    expire();
    recordEngineResponse(m_parts, engine, sentAt);
    chestnut::recordPartsBegun(m_parts, parts, m_timers.now());
    for (const auto& part : parts)
        releaseSharedBlock(m_sharedBlocks, PromptPartId { part.id }, m_timers.now(), m_timers.now());
}

void CrashTracker::recordPartBegin(const PartBeginReport& report)
{
    mergePartBegin(m_parts, report, m_timers.now());
    releaseSharedBlock(m_sharedBlocks, PromptPartId { report.part }, m_timers.now() - report.age, std::nullopt);
}

PartAdmission CrashTracker::admitParts(std::span<const SharedPart> parts, bool mayHaveRun)
{
    updateCrashingParts();
    auto admission = PartAdmission::Admitted;
    for (const auto& part : parts) {
        auto crashing = m_crashingParts.find(part.id);
        if (crashing == m_crashingParts.end())
            continue;
        if (mayHaveRun)
            return PartAdmission::Blocked;
        if (crashing->second.state != PartState::Blocked)
            continue;
        auto jitter = static_cast<double>(hash64(std::to_string(part.id), m_seed)) / static_cast<double>(std::numeric_limits<uint64_t>::max());
        if (!takeTrial(m_parts, crashing->second, jitter, m_timers.now()))
            return PartAdmission::Blocked;
        admission = PartAdmission::Trial;
    }
    return admission;
}

size_t CrashTracker::blockedParts() const
{
    return static_cast<size_t>(std::ranges::count_if(m_crashingParts, [](const auto& entry) { return entry.second.state == PartState::Blocked; }));
}

void CrashTracker::addSharedParts(std::map<uint64_t, CrashingPart>& parts) const
{
    for (const auto& [subject, block] : m_sharedBlocks.blocks) {
        const auto* id = std::get_if<PromptPartId>(&subject);
        if (!id || !findSharedBlock(m_sharedBlocks, subject, m_timers.now()))
            continue;
        auto& part = parts[id->value];
        if (part.state != PartState::Blocked)
            part = { id->value, PartState::Blocked, block.crashes, lastCrashOf(subject, block), {} };
    }
}

void CrashTracker::updateCrashingParts()
{
    auto now = m_timers.now();
    if (now - m_partsUpdatedAt < partsUpdatePeriod || (m_parts.crashes.empty() && m_crashingParts.empty() && m_sharedBlocks.blocks.empty()))
        return;
    m_partsUpdatedAt = now;
    std::map<uint64_t, CrashingPart> current;
    for (auto& part : findCrashingParts(m_parts, now))
        current.emplace(part.part, std::move(part));
    addSharedParts(current);
    for (const auto& [id, part] : current) {
        auto former = m_crashingParts.find(id);
        if (former == m_crashingParts.end() || former->second.state != part.state)
            m_partChanges.push_back({ part, false });
    }
    for (const auto& [id, part] : m_crashingParts) {
        if (!current.contains(id))
            m_partChanges.push_back({ part, true });
    }
    m_crashingParts = std::move(current);
    if (m_partChanges.size() > maximumPartChanges)
        m_partChanges.erase(m_partChanges.begin(), m_partChanges.end() - maximumPartChanges);
}

} // namespace chestnut
