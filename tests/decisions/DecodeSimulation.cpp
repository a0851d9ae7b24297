#include "decisions/DecodeSimulation.h"

#include "base/digest/Digest.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    constexpr double refusalValidity = 4000;
    constexpr double pollPeriod = 10;

} // namespace

DecodeSimulation::DecodeSimulation(DecodeFleet fleet, std::vector<DecodeKind> kinds, DecodeRule rule, uint32_t seed)
    : m_fleet(fleet)
    , m_kinds(std::move(kinds))
    , m_rule(std::move(rule))
    , m_arrivals(seed)
    , m_engines(fleet.engines)
    , m_known(fleet.daemons, std::vector<OrderedRequests>(fleet.engines))
    , m_refusals(fleet.daemons, std::vector<Refusal>(fleet.engines))
{
}

std::map<std::string, DecodeOutcome> DecodeSimulation::run()
{
    for (m_now = 0; m_now < m_fleet.length; m_now += 1) {
        advanceEngines();
        refreshViews();
        if (std::fmod(m_now, pollPeriod) == 0) {
            auto waiting = std::exchange(m_waiting, {});
            std::ranges::stable_sort(waiting, {}, [this](const Request& request) { return m_kinds[request.kind].priority; });
            for (auto& request : waiting)
                serve(std::move(request));
        }
        arrive();
    }
    return m_outcomes;
}

void DecodeSimulation::arrive()
{
    for (size_t i = 0; i < m_kinds.size(); ++i) {
        const auto& kind = m_kinds[i];
        auto rate = kind.perSecond / 1000;
        if (kind.burstLength > 0)
            rate = std::fmod(m_now, kind.burstPeriod) < kind.burstLength ? rate * kind.burstPeriod / kind.burstLength : 0;
        auto count = std::poisson_distribution<int>(std::max(rate, 1e-9))(m_arrivals);
        for (int j = 0; j < count; ++j) {
            ++m_outcomes[kind.name].requests;
            auto occupancy = std::exponential_distribution<double>(1 / kind.occupancy)(m_arrivals);
            serve({ i, m_arrivals() % m_fleet.daemons, m_now, occupancy, ++m_requests, 0, false, {} });
        }
    }
}

void DecodeSimulation::advanceEngines()
{
    for (auto& engine : m_engines) {
        std::erase_if(engine.running, [this](const Job& job) { return job.end <= m_now; });
        startQueued(engine);
    }
}

void DecodeSimulation::startQueued(Engine& engine)
{
    while (engine.running.size() < m_fleet.slots && !engine.queue.empty()) {
        auto next = std::ranges::min_element(engine.queue, {}, [](const Job& job) { return std::pair(job.order, job.request.arrival); });
        auto job = *next;
        engine.queue.erase(next);
        const auto& kind = m_kinds[job.request.kind];
        if (!job.hasStarted && m_now > job.request.arrival + kind.timeout) {
            ++m_outcomes[kind.name].refusedAfterCalls;
            continue;
        }
        start(engine, std::move(job));
    }
    if (m_fleet.preempts && !engine.queue.empty())
        preempt(engine);
}

void DecodeSimulation::start(Engine& engine, Job job)
{
    job.end = m_now + job.request.occupancy;
    if (!std::exchange(job.hasStarted, true))
        record(job.request, m_now);
    engine.running.push_back(std::move(job));
}

void DecodeSimulation::preempt(Engine& engine)
{
    auto next = std::ranges::min_element(engine.queue, {}, &Job::order);
    auto least = std::ranges::max_element(engine.running, {}, &Job::order);
    if (next->order >= least->order)
        return;
    least->request.occupancy = least->end - m_now;
    std::swap(*next, *least);
    auto job = *least;
    engine.running.erase(least);
    start(engine, std::move(job));
}

double DecodeSimulation::waitingAhead(const Request& request) const
{
    auto isAhead = [&](const Request& other) { return m_kinds[other.kind].priority <= m_kinds[request.kind].priority; };
    return static_cast<double>(std::ranges::count_if(m_waiting, isAhead));
}

void DecodeSimulation::record(const Request& request, double startedAt)
{
    const auto& kind = m_kinds[request.kind];
    auto& outcome = m_outcomes[kind.name];
    ++(startedAt - request.arrival <= kind.objective ? outcome.onTime : outcome.late);
}

OrderedRequests DecodeSimulation::decodesAt(size_t engine) const
{
    OrderedRequests decodes;
    for (const auto* jobs : { &m_engines[engine].running, &m_engines[engine].queue }) {
        for (const auto& job : *jobs)
            decodes += amountAt(1U, job.order);
    }
    return decodes;
}

void DecodeSimulation::refreshViews()
{
    for (size_t daemon = 0; daemon < m_fleet.daemons; ++daemon) {
        // The daemons update their views one after the other.
        auto offset = std::floor(m_fleet.viewPeriod * static_cast<double>(daemon) / static_cast<double>(m_fleet.daemons));
        if (std::fmod(m_now + offset, m_fleet.viewPeriod) != 0)
            continue;
        for (size_t i = 0; i < m_fleet.engines; ++i)
            m_known[daemon][i] = decodesAt(i);
    }
}

std::vector<PlacementView> DecodeSimulation::viewsOf(const Request& request) const
{
    const auto& kind = m_kinds[request.kind];
    const auto& refusals = m_refusals[m_rule.sharesRefusals ? 0 : request.daemon];
    std::vector<PlacementView> views;
    for (size_t i = 0; i < m_fleet.engines; ++i) {
        PlacementView view;
        view.id = ReplicaId("i-" + std::to_string(i));
        view.slots = m_fleet.slots;
        const auto& known = m_known[request.daemon][i];
        view.requests = known.sum();
        view.moreUrgentRequests = known.sum(0, m_rule.priorities.firstOrderOf(kind.priority));
        view.lessUrgentRequests = known.sum(m_rule.priorities.endOrderOf(kind.priority));
        view.requestsAtRefusal = refusals[i].until > m_now ? refusals[i].requests : 0;
        // A request is not sent to an engine again that has refused it.
        view.isEjected = std::ranges::find(request.refusedBy, i) != request.refusedBy.end();
        views.push_back(std::move(view));
    }
    return views;
}

void DecodeSimulation::recordRefusal(Refusal& refusal, uint32_t requests) const
{
    auto isRecent = m_now < refusal.until;
    refusal = { isRecent ? std::min(refusal.requests, requests) : requests, m_now + refusalValidity };
}

bool DecodeSimulation::call(Request& request, size_t index)
{
    auto& engine = m_engines[index];
    auto& outcome = m_outcomes[m_kinds[request.kind].name];
    ++outcome.calls;
    ++request.calls;
    auto order = m_rule.orderOf(m_kinds[request.kind]);
    auto requests = engine.running.size() + engine.queue.size();
    if (requests >= m_fleet.slots + m_fleet.queueLimit) {
        request.refusedBy.push_back(index);
        recordRefusal(m_refusals[m_rule.sharesRefusals ? 0 : request.daemon][index], std::max(m_known[request.daemon][index].sum(), m_fleet.slots));
        return false;
    }
    m_known[request.daemon][index] += amountAt(1U, order);
    engine.queue.push_back({ request, order, 0 });
    startQueued(engine);
    return true;
}

void DecodeSimulation::serve(Request request)
{
    const auto& kind = m_kinds[request.kind];
    while (true) {
        auto waited = m_now - request.arrival;
        auto step = waited > kind.timeout ? DecodeStep {} : m_rule.decide({ kind, viewsOf(request), request.calls, waitingAhead(request), hash64(std::to_string(request.number), 0), request.hasWaited, waited, m_now, request.daemon });
        if (step.action == DecodeStep::Action::Refuse) {
            ++(request.calls > 0 || request.hasWaited ? m_outcomes[kind.name].refusedAfterCalls : m_outcomes[kind.name].refusedAtOnce);
            return;
        }
        if (step.action == DecodeStep::Action::Wait) {
            m_outcomes[kind.name].waits += request.hasWaited ? 0 : 1;
            request.hasWaited = true;
            m_waiting.push_back(std::move(request));
            return;
        }
        if (call(request, step.engine))
            return;
    }
}

} // namespace chestnut
