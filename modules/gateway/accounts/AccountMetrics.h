#pragma once

#include "base/ids/StrongId.h"
#include "kernel/metrics/Metrics.h"
#include "kernel/timers/TimerService.h"

#include <unordered_map>
#include <vector>

namespace chestnut {

/** Shows the requests and refusals of the client accounts with the most requests in the last minute, at most
    maximumShownAccounts, so that the number of series is bounded. */
class AccountMetrics {
public:
    AccountMetrics(TimerService&, Metrics&);

    /** Records a request that was served or refused. */
    void record(const AccountId&, bool isRefused);

private:
    struct Counts {
        AccountId account;
        uint64_t requests = 0;
        uint64_t refusals = 0;
    };

    void publish();
    void show(const Counts&);

    TimerService& m_timers;
    Metrics& m_metrics;
    std::unordered_map<AccountId, Counts> m_counts; /**< since the last publication */
    std::vector<AccountId> m_shown;
    TimerSubscription m_timer; /**< inactive before the first request of an account */
};

constexpr size_t maximumShownAccounts = 10;

} // namespace chestnut
