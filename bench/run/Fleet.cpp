#include "bench/run/Fleet.h"

#include "decisions/roles/Roles.h"

#include <algorithm>

namespace chestnut::bench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration reportPeriod = 1s;
    /** Time between the measurement of a load report and its arrival at the daemons. */
    constexpr Duration reportLag = 700ms;
    constexpr uint64_t cacheEventLossInterval = 50; // one in this many batches of cache events is lost

} // namespace

Fleet::Fleet(const Scenario& scenario)
    : m_scenario(scenario)
    , m_jobs(arrivalsOf(scenario))
    , m_states(m_jobs.size())
    , m_unavailable(scenario.deployment.engines, false)
    , m_random(scenario.seed)
    , m_pending(m_jobs.size())
{
    for (uint32_t index = 0; index < scenario.deployment.engines; index++) {
        m_engines.push_back(std::make_unique<FakeEngine>(m_clock, scenario.deployment.engine,
            [this, index](uint64_t attempt, uint32_t tokens, bool isLast) { onToken(index, attempt, tokens, isLast); }));
        if (scenario.startsSplit)
            m_engines[index]->setRole(index % 2 == 0 ? EngineRole::Prefill : EngineRole::Decode);
    }
}

AvailabilityZone Fleet::zoneOfEngine(uint32_t index) const
{
    return AvailabilityZone("zone" + std::to_string(index % m_scenario.deployment.zones));
}

AvailabilityZone Fleet::zoneOfDaemon(uint32_t index) const
{
    return zoneOfEngine(index);
}

Duration Fleet::delay(uint32_t daemon, uint32_t engine) const
{
    auto isSameZone = daemon % m_scenario.deployment.zones == engine % m_scenario.deployment.zones;
    return isSameZone ? 100us : m_scenario.deployment.zoneDelay;
}

void Fleet::run(Policy& policy)
{
    m_policy = &policy;
    for (const auto& job : m_jobs) {
        m_clock.at(job.arrival, [this, id = job.id] { m_policy->jobArrived(m_jobs[id]); });
        m_clock.at(job.deadline, [this, id = job.id] { expire(id); });
    }
    for (const auto& slowdown : m_scenario.slowdowns) {
        m_clock.at(TimePoint(slowdown.begin), [this, slowdown] { m_engines[slowdown.engine]->setSlowdown(slowdown.factor); });
        m_clock.at(TimePoint(slowdown.end), [this, slowdown] { m_engines[slowdown.engine]->setSlowdown(1); });
    }
    for (uint32_t engine = 0; engine < engineCount(); engine++) {
        auto offset = reportPeriod * engine / engineCount();
        m_clock.at(TimePoint(offset), [this, engine] { scheduleReports(engine); });
    }
    while (hasPendingJobs() && m_clock.runNext()) { }
}

void Fleet::scheduleReports(uint32_t engine)
{
    auto report = m_engines[engine]->report();
    auto events = m_engines[engine]->takeCacheEvents();
    if (m_random() % cacheEventLossInterval == 0)
        events.clear();
    m_clock.after(reportLag, [this, engine, report, events] { m_policy->loadReported(engine, report, events); });
    m_clock.after(reportPeriod, [this, engine] { scheduleReports(engine); });
}

uint64_t Fleet::send(const Job& job, uint32_t engine, uint32_t priority, bool isHedge)
{
    auto id = m_nextAttempt++;
    auto& state = m_states[job.id];
    m_attempts[id] = { id, job.id, engine, m_clock.now(), isHedge };
    state.running.push_back(id);
    state.attempts++;
    EngineRequest request { id, priority, job.promptTokens + state.tokensBefore, job.outputTokens - state.tokensBefore, job.prefixBlocks };
    m_clock.after(delay(job.daemon, engine), [this, engine, request] {
        if (m_attempts.contains(request.attempt))
            m_engines[engine]->submit(request);
    });
    return id;
}

void Fleet::preempt(uint64_t attempt)
{
    auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    auto job = found->second.job;
    m_states[job].tokensBefore += m_engines[found->second.engine]->cancel(attempt).generated;
    endAttempt(attempt, false);
}

void Fleet::refuse(const Job& job)
{
    auto& state = m_states[job.id];
    if (state.outcome != JobOutcome::Pending)
        return;
    state.outcome = state.attempts == 0 ? JobOutcome::RefusedEarly : JobOutcome::TimedOut;
    m_pending--;
}

void Fleet::endAttempt(uint64_t id, bool isFinished)
{
    auto found = m_attempts.find(id);
    auto attempt = found->second;
    m_attempts.erase(found);
    std::erase(m_states[attempt.job].running, id);
    m_policy->attemptEnded(attempt, isFinished);
}

void Fleet::onToken(uint32_t engine, uint64_t id, uint32_t tokens, bool isLast)
{
    auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    auto attempt = found->second;
    auto& state = m_states[attempt.job];
    auto delayToCaller = delay(m_jobs[attempt.job].daemon, engine) + m_scenario.deployment.clientDelay;
    if (tokens == 1) {
        auto others = state.running;
        for (auto other : others) {
            if (other == id)
                continue;
            const auto& slower = m_attempts.at(other);
            auto progress = m_engines[slower.engine]->cancel(other);
            m_hedgedTokens += progress.prefilled + progress.generated;
            endAttempt(other, false);
        }
        if (!state.hasFirstToken) {
            state.hasFirstToken = true;
            state.firstToken = m_clock.now() + delayToCaller;
        }
        m_policy->firstTokenReceived(attempt);
    }
    if (!isLast)
        return;
    state.lastToken = m_clock.now() + delayToCaller;
    state.outcome = JobOutcome::Done;
    m_pending--;
    endAttempt(id, true);
}

void Fleet::expire(uint64_t job)
{
    auto& state = m_states[job];
    if (state.outcome != JobOutcome::Pending)
        return;
    state.outcome = JobOutcome::TimedOut;
    m_pending--;
    auto running = state.running;
    for (auto attempt : running) {
        m_engines[m_attempts.at(attempt).engine]->cancel(attempt);
        endAttempt(attempt, false);
    }
    if (running.empty())
        m_policy->jobExpired(m_jobs[job]);
}

void Fleet::changeRole(uint32_t engine, EngineRole role)
{
    m_unavailable[engine] = true;
    m_roleChanges++;
    m_policy->engineChanged(engine);
    continueRoleChange(engine, role);
}

void Fleet::continueRoleChange(uint32_t engine, EngineRole role)
{
    if (!m_engines[engine]->isIdle()) {
        m_clock.after(100ms, [this, engine, role] { continueRoleChange(engine, role); });
        return;
    }
    m_clock.after(roleChangeCost, [this, engine, role] {
        m_engines[engine]->setRole(role);
        m_unavailable[engine] = false;
        m_policy->engineChanged(engine);
    });
}

double Fleet::processedTokens() const
{
    double tokens = 0;
    for (const auto& engine : m_engines)
        tokens += engine->processedTokens();
    return tokens;
}

} // namespace chestnut::bench
