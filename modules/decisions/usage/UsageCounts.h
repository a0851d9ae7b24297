#pragma once

#include "base/ids/StrongId.h"
#include "decisions/usage/UsageWindow.h"

#include <map>
#include <vector>

namespace chestnut {

/** The requests of one account that began in one window at one daemon, since that daemon's start. */
struct UsageEntry {
    UsageWindow window = 0;
    AccountId account;
    uint64_t requests = 0;

    bool operator==(const UsageEntry&) const = default;
};

/** One process that counts requests. */
struct UsageSource {
    DaemonId daemon;
    Incarnation incarnation = 0;

    auto operator<=>(const UsageSource&) const = default;
};

/** The counts of one process, and which of them the present holder has acknowledged. */
struct UsageCounts {
    struct Count {
        uint64_t requests = 0;
        uint64_t acknowledged = 0;
    };

    std::map<UsageWindow, std::map<AccountId, Count>> windows;
};

void addRequest(UsageCounts&, UsageWindow, const AccountId&);

/** The counts that the holder does not know yet. They are cumulative, so a repetition changes nothing. */
std::vector<UsageEntry> unacknowledged(const UsageCounts&);

void acknowledge(UsageCounts&, const std::vector<UsageEntry>&);

/** A new holder knows nothing. */
void forgetAcknowledgements(UsageCounts&);

void removeBefore(UsageCounts&, UsageWindow);

/** The counts of all processes, as the holder of the tasks' lease knows them. */
struct UsageLedger {
    std::map<UsageWindow, std::map<UsageSource, std::map<AccountId, uint64_t>>> windows;
};

/** Takes over counts in any order and any number of times. */
void merge(UsageLedger&, const UsageSource&, const std::vector<UsageEntry>&);

/** The requests of each account in a window, over all processes. */
std::map<AccountId, uint64_t> totalsOf(const UsageLedger&, UsageWindow);

void removeBefore(UsageLedger&, UsageWindow);

} // namespace chestnut
