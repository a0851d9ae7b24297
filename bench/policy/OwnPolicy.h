#pragma once

#include "bench/policy/Daemon.h"
#include "decisions/roles/Roles.h"

#include <memory>

namespace chestnut::bench {

/** The project's policy: all daemons of a deployment, the latency summaries that they exchange for ejection, and the role controller. */
class OwnPolicy : public Policy {
public:
    OwnPolicy(Fleet&, const PolicyOptions&);

    void jobArrived(const Job&) override;
    void firstTokenReceived(const Attempt&) override;
    void attemptEnded(const Attempt&, bool isFinished) override;
    void jobExpired(const Job&) override;
    void loadReported(uint32_t engine, const LoadReport&, const std::vector<CacheEvent>&) override;
    void engineChanged(uint32_t engine) override;

private:
    Daemon& daemonOf(const Attempt& attempt) { return *m_daemons[m_fleet.job(attempt.job).daemon]; }
    void exchangeSummaries();
    void controlRoles();

    Fleet& m_fleet;
    PolicyOptions m_options;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    ModelDemand m_arrived; // tokens since the last round of role control
    ModelDemand m_demand;
    std::vector<TimePoint> m_roleSince;
};

} // namespace chestnut::bench
