#pragma once

#include "decisions/fairness/AccountShares.h"
#include "decisions/limits/RateLimit.h"
#include "gateway/configuration/ConfigurationNotice.h"
#include "gateway/limits/RateLimiter.h"
#include "gateway/members/DaemonDirectory.h"
#include "gateway/replicas/LoadTracker.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/replicas/SpeedTracker.h"
#include "gateway/requests/CrashTracker.h"

namespace chestnut {

/** The daemons whose work a message sums up. */
enum class LoadScope : uint8_t {
    Daemon, /**< the sender alone */
    Zone, /**< all daemons in the sender's zone */
    Fleet, /**< all daemons */
};

/** One message between daemons. */
struct LoadMessage {
    DaemonRecord sender;
    LoadScope scope = LoadScope::Daemon;
    bool isLeaving = false;
    std::vector<ReplicaWork> work;
    std::vector<ServiceSamples> speedSamples; /**< of the same daemons; only in the first part of a message */
    std::vector<LostAttemptReport> losses;
    std::vector<SuccessReport> successes; /**< requests that were completed after attempts with them had been lost */
    std::vector<EngineCrashReport> engineCrashes; /**< with the prompt parts that they are counted against */
    std::vector<PartBeginReport> partBegins; /**< first events of requests with such parts */
    std::vector<LeavingReplica> leavingReplicas; /**< that the sender has recently recorded as leaving */
    std::vector<PausedReplica> pausedReplicas; /**< that are executing an order */
    std::vector<ReplicaEntry> entries; /**< recently changed in the store; only in messages of the scope Fleet */
    bool isStoreReachable = true; /**< by the sender */
    std::vector<DaemonId> liveDaemons; /**< daemons that send messages to the sender; only in messages of the scope Fleet */
    MessagePart part;
    std::vector<ServiceUse> accountUse; /**< of services that are short of capacity, by the same daemons; only in the first part */
    ConfigurationNotice configuration; /**< of the sender; the holders are only in the first part */
    std::vector<CapacitySamples> capacities; /**< of the same daemons, for some replicas; the others follow in later messages */
    std::vector<RateLimitReport> rateLimits; /**< that replicas name, some of them; the others follow in later messages. Only in the first part */
    std::vector<RequestDemand> demands; /**< at the same daemons, for services with rate-limited replicas; only in the first part */
    std::vector<RefusalReport> refusals; /**< recent ones, by any daemon's request; only in the first part of a message */

    bool operator==(const LoadMessage&) const = default;
};

/** Maximum number of rate limits in one message. With 650 limited replicas and four messages a second, each is sent every 10 s. */
constexpr size_t maximumRateLimitReports = 16;

/** Maximum size of a datagram in bytes. */
constexpr size_t maximumDatagram = 8192;

/** Encodes the message as datagrams of at most maximumDatagram bytes each. */
std::vector<std::string> encodeLoadMessage(const LoadMessage&);
/** Decodes one datagram. Fails with ProtocolError. */
Result<LoadMessage> decodeLoadMessage(std::string_view);

} // namespace chestnut
