#pragma once

#include "bench/policy/Daemon.h"
#include "decisions/roles/Roles.h"

#include <memory>

namespace chestnut::bench {

/** All daemons of a deployment, the ejection summaries between them and the role controller. */
class OwnPolicy : public Policy {
public:
    OwnPolicy(Fleet&, const PolicyOptions&);

    void arrived(const Job&) override;
    void firstToken(const Attempt&) override;
    void ended(const Attempt&, bool isFinished) override;
    void expired(const Job&) override;
    void reported(uint32_t engine, const LoadReport&, const std::vector<CacheEvent>&) override;
    void engineChanged(uint32_t engine) override;

private:
    Daemon& daemonOf(const Attempt& attempt) { return *m_daemons[m_fleet.job(attempt.job).daemon]; }
    void exchangeSummaries();
    void controlRoles();

    Fleet& m_fleet;
    PolicyOptions m_options;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    MixDemand m_arrived; // tokens since the last round of role control
    MixDemand m_demand;
    std::vector<TimePoint> m_roleSince;
};

} // namespace chestnut::bench
