#pragma once

#include "base/ids/StrongId.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chestnut {

/** Recent requests of one account with one priority to one service. Those of several daemons may be added. */
struct AccountUse {
    AccountId account; /**< empty: the accounts that are not listed, together */
    uint32_t priority = 0; /**< zero is the most urgent */
    double requested = 0; /**< per second */

    bool operator==(const AccountUse&) const = default;
};

/** Recent requests to one service. */
struct ServiceUse {
    ServiceId service;
    double admitted = 0; /**< that the accounts' shares allowed, per second */
    double refused = 0; /**< of these, refused for lack of capacity, per second */
    std::vector<AccountUse> accounts; /**< the largest ones, and the sum of the others for each priority */

    bool operator==(const ServiceUse&) const = default;
};

/** Accounts that a daemon lists for each service; the others are small, and are not limited. */
constexpr size_t maximumListedAccounts = 8;
/** Distinct priorities of the other accounts; less urgent ones are added to the last. */
constexpr size_t maximumOtherPriorities = 3;

/** Adds the use of the same service by another daemon. */
void add(ServiceUse&, const ServiceUse&);

/** Keeps the largest accounts and sums up the others. */
void compact(ServiceUse&);

/** Whether the service refuses requests for lack of capacity. */
bool isShort(const ServiceUse&);

/** The part of an account's requests that is admitted; one while the service is not short. Handles a large account, or a caller
    that retries at once, that would displace the others: the capacity, which is what was served lately and a little more, goes to the
    most urgent requests first, and within a priority to each account the same amount, as far as it asks for it. What an account
    leaves is lent to the others. No account gets less than a quarter of the part that all get together, its demand counted up to
    twice the capacity. Only the listed accounts
    are limited. */
double admittedPart(const ServiceUse&, const AccountId&, uint32_t priority);

} // namespace chestnut
