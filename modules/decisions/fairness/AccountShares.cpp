#include "decisions/fairness/AccountShares.h"

#include <algorithm>
#include <map>

namespace chestnut {

namespace {

    /** A service is short when more than this part of the admitted requests is refused, and not by chance. */
    constexpr double shortPart = 0.02;
    constexpr double fewestRefusals = 1; // per second
    /** From this refused part on the limits apply in full. Below it they are relaxed, so that they end soon after a shortage. */
    constexpr double fullyShortPart = 0.05;
    /** Requests per second that are admitted also when none was served lately, as only they show that the capacity is back. The
        number does not depend on the demand, which a caller that retries at once raises without end. */
    constexpr double leastCapacity = 5;
    /** The capacity counts as this multiple of what was served, so that the limits follow when it grows. */
    constexpr double growth = 1.1;
    /** Least part of an account's requests, relative to the part of all requests. */
    constexpr double leastRelativePart = 0.25;
    /** An account's demand counts up to this multiple of the capacity. A caller that retries at once raises its demand without end,
        and the least part of it would take the capacity from the others. */
    constexpr double demandPerCapacity = 2;
    constexpr int bisections = 40;

    /** Accounts with the same demand. */
    struct Demand {
        double requested = 0;
        double accounts = 1;
    };

    struct PriorityDemand {
        std::vector<Demand> demands;
        double requested = 0;
    };

    using DemandByPriority = std::map<uint32_t, PriorityDemand>;

    /** The accounts that are not listed are no larger than the smallest listed one. */
    DemandByPriority demandOf(const ServiceUse& use)
    {
        DemandByPriority demand;
        double smallest = 0;
        for (const auto& account : use.accounts) {
            if (!account.account.empty() && account.requested > 0)
                smallest = smallest == 0 ? account.requested : std::min(smallest, account.requested);
        }
        for (const auto& account : use.accounts) {
            if (account.requested <= 0)
                continue;
            auto& group = demand[account.priority];
            group.requested += account.requested;
            auto isSum = account.account.empty() && smallest > 0 && account.requested > smallest;
            group.demands.push_back(isSum ? Demand { smallest, account.requested / smallest } : Demand { account.requested, 1 });
        }
        return demand;
    }

    double partAt(double level, double requested, double least)
    {
        return std::max(std::min(1.0, level / requested), least);
    }

    /** The level up to which each account is served when `capacity` is shared. */
    double levelFor(const PriorityDemand& group, double capacity, double least)
    {
        double low = 0;
        double high = 0;
        for (const auto& demand : group.demands)
            high = std::max(high, demand.requested);
        for (int i = 0; i < bisections; ++i) {
            auto level = (low + high) / 2;
            double used = 0;
            for (const auto& demand : group.demands)
                used += demand.accounts * demand.requested * partAt(level, demand.requested, least);
            (used > capacity ? high : low) = level;
        }
        return low;
    }

    /** The requests of an account that count. */
    double countedDemand(double requested, double capacity)
    {
        return std::min(requested, demandPerCapacity * capacity);
    }

    /** The use with the demand of each account bounded. */
    ServiceUse withCountedDemand(ServiceUse use, double capacity)
    {
        for (auto& account : use.accounts) {
            if (!account.account.empty())
                account.requested = countedDemand(account.requested, capacity);
        }
        return use;
    }

    /** The number of an account's requests in a second for which there is capacity. */
    double fairRate(const ServiceUse& use, const AccountUse& own, double capacity)
    {
        auto demand = demandOf(use);
        double requested = 0;
        for (const auto& [priority, group] : demand)
            requested += group.requested;
        auto least = leastRelativePart * std::min(1.0, capacity / requested);
        for (const auto& [priority, group] : demand) {
            // What less urgent accounts get in any case is not given away.
            requested -= group.requested;
            auto available = std::max(capacity - least * requested, 0.0);
            if (priority == own.priority && group.requested > available)
                return own.requested * partAt(levelFor(group, available, least), own.requested, least);
            if (priority == own.priority)
                break;
            capacity = std::max(capacity - group.requested, least * requested);
        }
        return own.requested;
    }

    bool isLarger(const AccountUse& left, const AccountUse& right)
    {
        return left.requested != right.requested ? left.requested > right.requested : left.account < right.account;
    }

} // namespace

void add(ServiceUse& sum, const ServiceUse& use)
{
    sum.admitted += use.admitted;
    sum.refused += use.refused;
    for (const auto& account : use.accounts) {
        auto isSame = [&](const AccountUse& other) { return other.account == account.account && other.priority == account.priority; };
        auto found = std::ranges::find_if(sum.accounts, isSame);
        if (found == sum.accounts.end())
            sum.accounts.push_back(account);
        else
            found->requested += account.requested;
    }
}

void compact(ServiceUse& use)
{
    std::vector<AccountUse> listed;
    std::map<uint32_t, double> others;
    for (auto& account : use.accounts) {
        if (account.account.empty())
            others[account.priority] += account.requested;
        else
            listed.push_back(std::move(account));
    }
    std::ranges::sort(listed, isLarger);
    for (size_t i = maximumListedAccounts; i < listed.size(); ++i)
        others[listed[i].priority] += listed[i].requested;
    listed.resize(std::min(listed.size(), maximumListedAccounts));
    while (others.size() > maximumOtherPriorities) {
        auto last = std::prev(others.end());
        std::prev(last)->second += last->second;
        others.erase(last);
    }
    for (const auto& [priority, requested] : others)
        listed.push_back({ AccountId(), priority, requested });
    use.accounts = std::move(listed);
}

bool isShort(const ServiceUse& use)
{
    return use.refused >= fewestRefusals && use.refused > shortPart * use.admitted;
}

double admittedPart(const ServiceUse& use, const AccountId& account, uint32_t priority)
{
    auto isOwn = [&](const AccountUse& other) { return other.account == account && other.priority == priority; };
    auto own = std::ranges::find_if(use.accounts, isOwn);
    if (!isShort(use) || account.empty() || own == use.accounts.end() || own->requested <= 0)
        return 1;
    auto capacity = std::max(growth * (use.admitted - use.refused), leastCapacity);
    auto counted = *own;
    counted.requested = countedDemand(own->requested, capacity);
    auto fairPart = fairRate(withCountedDemand(use, capacity), counted, capacity) / own->requested;
    auto strength = std::min(1.0, use.refused / (fullyShortPart * use.admitted));
    return 1 - strength * (1 - fairPart);
}

} // namespace chestnut
