#include "EngineSimulator.h"

#include "common/StandinText.h"
#include "decisions/routing/PrefixIndex.h"
#include "decisions/routing/Routing.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>

namespace chestnut {

namespace {

    constexpr Duration samplePeriod = std::chrono::milliseconds(50);
    constexpr double prefillChunk = 512; /**< tokens */
    constexpr size_t maximumSamples = 1200;
    constexpr size_t maximumFinishedJobs = 256; /**< finished jobs whose streams can still be resumed */
    constexpr size_t maximumEvents = 4096;
    constexpr size_t maximumLogEntries = 20000;

} // namespace

EngineSimulator::EngineSimulator(asio::io_context& context, EngineSettings settings, EngineFaults faults)
    : m_context(context)
    , m_timers(context)
    , m_settings(std::move(settings))
    , m_faults(std::move(faults))
{
    m_order.model = ModelId(m_settings.model);
    m_order.version = m_settings.version;
}

void EngineSimulator::start()
{
    sampleLoad();
    m_sampleTimer = m_timers.every(samplePeriod, [this] { sampleLoad(); });
}

Result<std::shared_ptr<EngineJob>> EngineSimulator::submit(RequestId id, CompletionBody body, bool isChat, int priority)
{
    if (!m_isReady)
        return makeError(ErrorKind::Overloaded, "the engine is changing its model, version or role");
    if (body.model != m_order.model)
        return makeError(ErrorKind::NotFound, "the engine runs model " + m_order.model.value());
    auto job = std::make_shared<EngineJob>(m_context);
    job->id = id;
    job->isChat = isChat;
    job->priority = priority;
    job->arrival = ++m_arrivals;
    job->totalTokens = standinTokenCount(body.prompt, body.maximumTokens);
    job->producedTokens = body.resumeAfter;
    job->body = std::move(body);
    m_jobs[id] = job;
    m_queue.push_back(job);
    startQueuedJobs();
    return job;
}

std::shared_ptr<EngineJob> EngineSimulator::find(const RequestId& id) const
{
    auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second;
}

bool EngineSimulator::cancel(const RequestId& id)
{
    auto job = find(id);
    if (!job || job->isFinished)
        return false;
    job->isCancelled = true;
    std::erase(m_queue, job);
    if (!job->isRunning)
        finish(*job);
    job->changed.cancel();
    m_jobs.erase(id);
    return true;
}

void EngineSimulator::startQueuedJobs()
{
    while (m_running < m_settings.slots && !m_queue.empty()) {
        auto next = std::ranges::min_element(m_queue, {}, [](const auto& job) { return std::pair(job->priority, job->arrival); });
        auto job = *next;
        m_queue.erase(next);
        job->isRunning = true;
        ++m_running;
        asio::co_spawn(m_context, run(shared_from_this(), job), asio::detached);
    }
}

asio::awaitable<void> EngineSimulator::run(std::shared_ptr<EngineSimulator> self, std::shared_ptr<EngineJob> job)
{
    const auto& faults = self->m_faults;
    if (!faults.crashPrompt.empty() && job->body.prompt.find(faults.crashPrompt) != std::string::npos)
        std::abort();
    auto text = job->body.prompt + job->body.resumeText;
    job->prefillTokens = std::max(1.0, static_cast<double>(text.size()) / charactersPerToken - self->cachePrompt(job->body.prompt));
    self->m_prefills.push_back(job);
    if (!std::exchange(self->m_isPrefilling, true))
        asio::co_spawn(self->m_context, prefillLoop(self), asio::detached);
    boost::system::error_code ignored;
    co_await job->prefilled.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    while (!job->isCancelled && job->producedTokens < job->totalTokens) {
        ++job->producedTokens;
        job->changed.cancel();
        co_await self->m_timers.sleep(fromSeconds(faults.slowFactor / self->m_settings.decodeTokensPerSecond));
    }
    job->isRunning = false;
    --self->m_running;
    self->finish(*job);
    self->startQueuedJobs();
}

asio::awaitable<void> EngineSimulator::prefillLoop(std::shared_ptr<EngineSimulator> self)
{
    while (!self->m_prefills.empty()) {
        auto job = *std::ranges::min_element(self->m_prefills, {}, [](const auto& waiting) { return std::pair(waiting->priority, waiting->arrival); });
        auto chunk = job->isCancelled ? job->prefillTokens : std::min(prefillChunk, job->prefillTokens);
        if (!job->isCancelled)
            co_await self->m_timers.sleep(fromSeconds(chunk / self->m_settings.prefillTokensPerSecond * self->m_faults.slowFactor));
        job->prefillTokens -= chunk;
        if (job->prefillTokens > 0)
            continue;
        std::erase(self->m_prefills, job);
        job->prefilled.cancel();
    }
    self->m_isPrefilling = false;
}

void EngineSimulator::finish(EngineJob& job)
{
    job.isFinished = true;
    job.changed.cancel();
    m_finished.push_back(job.id);
    if (m_finished.size() > maximumFinishedJobs) {
        m_jobs.erase(m_finished.front());
        m_finished.pop_front();
    }
}

double EngineSimulator::cachePrompt(const std::string& prompt)
{
    double cached = 0;
    bool isPrefix = true;
    for (auto hash : prefixBlockHashes(prompt)) {
        isPrefix = isPrefix && m_cache.contains(hash);
        if (isPrefix)
            cached += tokensPerBlock;
        if (!m_cache.insert(hash).second)
            continue;
        m_cacheOrder.push_back(hash);
        addEvent(true, hash);
    }
    while (m_cacheOrder.size() > m_settings.cachedBlocks) {
        addEvent(false, m_cacheOrder.front());
        m_cache.erase(m_cacheOrder.front());
        m_cacheOrder.pop_front();
    }
    return cached;
}

void EngineSimulator::addEvent(bool isStored, uint64_t hash)
{
    ++m_lastSequence;
    if (m_faults.cacheGapEvery > 0 && m_lastSequence % m_faults.cacheGapEvery == 0)
        return;
    m_events.push_back({ m_timers.now() + m_settings.eventDelay, { m_lastSequence, isStored, { hash } } });
    if (m_events.size() > maximumEvents)
        m_events.pop_front();
}

nlohmann::json EngineSimulator::cacheEvents(uint64_t after) const
{
    auto events = nlohmann::json::array();
    for (const auto& [visibleAt, event] : m_events) {
        if (event.sequence > after && visibleAt <= m_timers.now())
            events.push_back(toJson(event));
    }
    return { { "first", after }, { "events", events } };
}

EngineLoad EngineSimulator::currentLoad() const
{
    EngineLoad load;
    load.slots = m_settings.slots;
    load.totalBlocks = m_settings.blocks;
    load.running = m_running;
    double reservedTokens = 0;
    for (const auto& [id, job] : m_jobs) {
        if (job->isFinished)
            continue;
        auto promptTokens = static_cast<double>(job->body.prompt.size()) / charactersPerToken;
        if (job->producedTokens == job->body.resumeAfter)
            load.queuedPrefillTokens += job->isRunning ? job->prefillTokens : promptTokens;
        load.queuedDecodeTokens += static_cast<double>(job->totalTokens - std::min(job->totalTokens, job->producedTokens));
        reservedTokens += promptTokens + static_cast<double>(job->totalTokens);
    }
    auto used = std::min<double>(load.totalBlocks, reservedTokens / tokensPerBlock);
    load.freeBlocks = load.totalBlocks - static_cast<uint32_t>(used);
    return load;
}

void EngineSimulator::sampleLoad()
{
    m_samples.push_back({ m_timers.now(), currentLoad() });
    if (m_samples.size() > maximumSamples)
        m_samples.pop_front();
}

EngineLoad EngineSimulator::load() const
{
    if (m_faults.loadLagMs == 0)
        return currentLoad();
    auto sampleTime = m_timers.now() - std::chrono::milliseconds(m_faults.loadLagMs);
    auto sample = m_samples.front();
    for (const auto& candidate : m_samples) {
        if (candidate.at <= sampleTime)
            sample = candidate;
    }
    sample.load.age = m_timers.now() - sample.at;
    return sample.load;
}

EngineState EngineSimulator::state() const
{
    return { m_order, m_isReady };
}

Result<void> EngineSimulator::order(const EngineOrder& order)
{
    bool isOld = std::pair(order.fencingNumber, order.sequence) < std::pair(m_order.fencingNumber, m_order.sequence);
    if (isOld && m_settings.checksFencing && !m_faults.ignoresFencing)
        return makeError(ErrorKind::StaleAuthority, "stale_authority");
    bool changes = order.role != m_order.role || order.model != m_order.model || order.version != m_order.version || order.adapters != m_order.adapters;
    m_order = order;
    if (changes)
        asio::co_spawn(m_context, applyChange(shared_from_this(), order), asio::detached);
    return Result<void>();
}

asio::awaitable<void> EngineSimulator::applyChange(std::shared_ptr<EngineSimulator> self, EngineOrder)
{
    auto changeNumber = ++self->m_changes;
    self->m_isReady = false;
    auto jobs = self->m_jobs;
    for (const auto& [id, job] : jobs) {
        if (self->cancel(id))
            ++self->m_interrupted;
    }
    self->m_cache.clear();
    self->m_cacheOrder.clear();
    co_await self->m_timers.sleep(self->m_settings.changeTime / 2);
    if (self->m_faults.crashDuringChange)
        std::abort();
    co_await self->m_timers.sleep(self->m_settings.changeTime / 2);
    if (changeNumber == self->m_changes)
        self->m_isReady = true;
}

void EngineSimulator::record(nlohmann::json entry)
{
    m_log.push_back(std::move(entry));
    if (m_log.size() > maximumLogEntries)
        m_log.pop_front();
}

nlohmann::json EngineSimulator::log() const
{
    return { { "entries", m_log }, { "interrupted", m_interrupted } };
}

} // namespace chestnut
