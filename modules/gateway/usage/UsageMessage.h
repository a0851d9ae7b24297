#pragma once

#include "base/errors/Result.h"
#include "decisions/usage/UsageCounts.h"

#include <string>
#include <string_view>
#include <variant>

namespace chestnut {

/** Counts of one process for the holder of the tasks' lease; without entries it only answers an announcement. */
struct UsageCountsMessage {
    UsageSource source;
    FencingNumber holder = 0; /**< the lease that the sender knows */
    uint64_t sequence = 0; /**< of this message */
    std::vector<UsageEntry> entries;

    bool operator==(const UsageCountsMessage&) const = default;
};

/** The holder knows the counts of a message. */
struct UsageAcknowledgement {
    FencingNumber holder = 0;
    Incarnation incarnation = 0; /**< of the process that sent the counts */
    uint64_t sequence = 0;

    bool operator==(const UsageAcknowledgement&) const = default;
};

/** A daemon holds the tasks' lease and wants counts. */
struct UsageAnnouncement {
    DaemonId daemon;
    FencingNumber holder = 0;

    bool operator==(const UsageAnnouncement&) const = default;
};

using UsageMessage = std::variant<UsageCountsMessage, UsageAcknowledgement, UsageAnnouncement>;

/** First bytes of an encoded message, by which the receiver of load messages tells it from these. */
constexpr std::string_view usageMessagePrefix = "U1";

/** Largest size of the entries in one message, in bytes, so that a datagram is not fragmented. */
constexpr size_t maximumUsageEntryBytes = 1100;

/** An upper limit of the encoded size of an entry. */
size_t encodedSizeOf(const UsageEntry&);

std::string encodeUsageMessage(const UsageMessage&);
/** Fails with ProtocolError. */
Result<UsageMessage> decodeUsageMessage(std::string_view);

} // namespace chestnut
