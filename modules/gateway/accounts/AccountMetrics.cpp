#include "gateway/accounts/AccountMetrics.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr Duration publicationPeriod = std::chrono::minutes(1);
    /** Bounds the memory; a daemon serves fewer requests in a minute. */
    constexpr size_t maximumCountedAccounts = 30'000;
    constexpr const char* requestsName = "chestnut_account_requests_last_minute";
    constexpr const char* refusalsName = "chestnut_account_refusals_last_minute";

    MetricLabels labelsOf(const AccountId& account)
    {
        return { { "account", account.value() } };
    }

} // namespace

AccountMetrics::AccountMetrics(TimerService& timers, Metrics& metrics)
    : m_timers(timers)
    , m_metrics(metrics)
{
}

void AccountMetrics::record(const AccountId& account, bool isRefused)
{
    if (!m_timer.isActive())
        m_timer = m_timers.every(publicationPeriod, [this] { publish(); });
    if (m_counts.size() >= maximumCountedAccounts && !m_counts.contains(account))
        return;
    auto& counts = m_counts[account];
    counts.account = account;
    ++counts.requests;
    counts.refusals += isRefused ? 1 : 0;
}

void AccountMetrics::show(const Counts& counts)
{
    m_metrics.setGauge(requestsName, static_cast<double>(counts.requests), labelsOf(counts.account));
    m_metrics.setGauge(refusalsName, static_cast<double>(counts.refusals), labelsOf(counts.account));
}

void AccountMetrics::publish()
{
    std::vector<Counts> largest;
    for (auto& [account, counts] : m_counts)
        largest.push_back(std::move(counts));
    m_counts.clear();
    auto isLarger = [](const Counts& left, const Counts& right) { return std::pair(right.requests, left.account) < std::pair(left.requests, right.account); };
    std::ranges::sort(largest, isLarger);
    largest.resize(std::min(largest.size(), maximumShownAccounts));
    for (const auto& account : m_shown) {
        if (std::ranges::find(largest, account, &Counts::account) != largest.end())
            continue;
        m_metrics.removeGauge(requestsName, labelsOf(account));
        m_metrics.removeGauge(refusalsName, labelsOf(account));
    }
    m_shown.clear();
    for (const auto& counts : largest) {
        show(counts);
        m_shown.push_back(counts.account);
    }
}

} // namespace chestnut
