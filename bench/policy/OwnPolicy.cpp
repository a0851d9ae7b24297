#include "bench/policy/OwnPolicy.h"

namespace chestnut::bench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration heartbeatPeriod = 1s;
    constexpr Duration roleControlPeriod = 5s;
    constexpr uint32_t minimumPerZone = 1;

} // namespace

OwnPolicy::OwnPolicy(Fleet& fleet, const PolicyOptions& options)
    : m_fleet(fleet)
    , m_options(options)
    , m_roleSince(fleet.engineCount())
{
    for (uint32_t index = 0; index < fleet.scenario().deployment.daemons; index++)
        m_daemons.push_back(std::make_unique<Daemon>(fleet, index, options));
    fleet.clock().after(heartbeatPeriod, [this] { exchangeSummaries(); });
    if (options.roleControl)
        fleet.clock().after(roleControlPeriod, [this] { controlRoles(); });
}

void OwnPolicy::jobArrived(const Job& job)
{
    auto work = m_daemons[job.daemon]->expectedWork(job);
    m_arrived.prefillTokensPerSecond += work.prefillTokens;
    m_arrived.decodeTokensPerSecond += work.decodeTokens;
    m_daemons[job.daemon]->jobArrived(job);
}

void OwnPolicy::firstTokenReceived(const Attempt& attempt)
{
    daemonOf(attempt).firstTokenReceived(attempt);
}

void OwnPolicy::attemptEnded(const Attempt& attempt, bool isFinished)
{
    daemonOf(attempt).attemptEnded(attempt, isFinished);
}

void OwnPolicy::jobExpired(const Job& job)
{
    m_daemons[job.daemon]->jobExpired(job);
}

void OwnPolicy::loadReported(uint32_t engine, const LoadReport& report, const std::vector<CacheEvent>& events)
{
    for (auto& daemon : m_daemons)
        daemon->loadReported(engine, report, events);
}

void OwnPolicy::engineChanged(uint32_t engine)
{
    m_roleSince[engine] = m_fleet.clock().now();
    for (auto& daemon : m_daemons)
        daemon->engineChanged(engine);
}

void OwnPolicy::exchangeSummaries()
{
    for (auto& sender : m_daemons) {
        auto summary = sender->takeSummary();
        for (auto& receiver : m_daemons) {
            if (receiver != sender)
                receiver->mergeSummary(summary);
        }
    }
    m_fleet.clock().after(heartbeatPeriod, [this] { exchangeSummaries(); });
}

void OwnPolicy::controlRoles()
{
    auto seconds = toSeconds(roleControlPeriod);
    ModelDemand sample { m_arrived.prefillTokensPerSecond / seconds, m_arrived.decodeTokensPerSecond / seconds };
    m_arrived = {};
    m_demand = smoothedDemand(m_demand, sample, roleControlPeriod);
    std::vector<RoleEngine> engines;
    for (uint32_t index = 0; index < m_fleet.engineCount(); index++) {
        RoleEngine engine;
        engine.id = EngineId(std::to_string(index));
        engine.zone = m_fleet.zoneOfEngine(index);
        engine.role = m_fleet.engine(index).role();
        const auto& profile = m_fleet.scenario().deployment.engine;
        auto step = profile.iterationSeconds + profile.iterationSecondsPerSequence * profile.slots;
        engine.rates = { profile.prefillTokensPerSecond, 1 / step };
        engine.slots = profile.slots;
        engine.isUnavailable = m_fleet.isUnavailable(index);
        engine.roleSince = m_roleSince[index];
        engines.push_back(std::move(engine));
    }
    if (auto change = decideRoleChange(m_demand, engines, minimumPerZone, m_fleet.clock().now()))
        m_fleet.changeRole(static_cast<uint32_t>(std::stoul(change->engine.value())), change->to);
    m_fleet.clock().after(roleControlPeriod, [this] { controlRoles(); });
}

} // namespace chestnut::bench
