#include "decisions/usage/UsageCounts.h"

#include <algorithm>

namespace chestnut {

void addRequest(UsageCounts& counts, UsageWindow window, const AccountId& account)
{
    ++counts.windows[window][account].requests;
}

std::vector<UsageEntry> unacknowledged(const UsageCounts& counts)
{
    std::vector<UsageEntry> entries;
    for (const auto& [window, accounts] : counts.windows) {
        for (const auto& [account, count] : accounts) {
            if (count.requests > count.acknowledged)
                entries.push_back({ window, account, count.requests });
        }
    }
    return entries;
}

void acknowledge(UsageCounts& counts, const std::vector<UsageEntry>& entries)
{
    for (const auto& entry : entries) {
        auto window = counts.windows.find(entry.window);
        if (window == counts.windows.end())
            continue;
        auto count = window->second.find(entry.account);
        if (count != window->second.end())
            count->second.acknowledged = std::max(count->second.acknowledged, entry.requests);
    }
}

void forgetAcknowledgements(UsageCounts& counts)
{
    for (auto& [window, accounts] : counts.windows) {
        for (auto& [account, count] : accounts)
            count.acknowledged = 0;
    }
}

void removeBefore(UsageCounts& counts, UsageWindow window)
{
    counts.windows.erase(counts.windows.begin(), counts.windows.lower_bound(window));
}

void merge(UsageLedger& ledger, const UsageSource& source, const std::vector<UsageEntry>& entries)
{
    for (const auto& entry : entries) {
        auto& known = ledger.windows[entry.window][source][entry.account];
        known = std::max(known, entry.requests);
    }
}

std::map<AccountId, uint64_t> totalsOf(const UsageLedger& ledger, UsageWindow window)
{
    std::map<AccountId, uint64_t> totals;
    auto found = ledger.windows.find(window);
    if (found == ledger.windows.end())
        return totals;
    for (const auto& [source, accounts] : found->second) {
        for (const auto& [account, requests] : accounts)
            totals[account] += requests;
    }
    return totals;
}

void removeBefore(UsageLedger& ledger, UsageWindow window)
{
    ledger.windows.erase(ledger.windows.begin(), ledger.windows.lower_bound(window));
}

} // namespace chestnut
