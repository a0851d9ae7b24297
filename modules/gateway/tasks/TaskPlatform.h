#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "kernel/registry/Service.h"

#include <cstdint>
#include <functional>
#include <map>

namespace chestnut {

/** Requests of each account that began to run in one window. Windows are numbered from the start of 1970 in UTC. */
struct UsageReport {
    uint64_t window = 0;
    std::map<AccountId, uint64_t> requests;

    bool operator==(const UsageReport&) const = default;
};

/** The desired number of replicas of one kind in one zone. */
struct ReplicaOrder {
    ServiceId service;
    AvailabilityZone zone;
    uint32_t replicas = 0;
    bool isReclaimable = false; /**< cheaper replicas that the platform may take away, all of a zone at once */

    auto operator<=>(const ReplicaOrder&) const = default;
};

/** Identifies the daemon that holds a singleton task. */
struct TaskAuthority {
    DaemonId holder;
    FencingNumber fencingNumber = 0;

    bool operator==(const TaskAuthority&) const = default;
};

enum class TaskResult : uint8_t {
    Done,
    Unavailable, /**< no replica can be had in this zone now */
    RateLimited, /**< the calls of all daemons exceed the platform's rate */
    Refused, /**< rejected for another reason; the same call would be rejected again */
};

/** Longest time from the check of setAdmission() to the end of the call. */
constexpr Duration longestTaskCall = std::chrono::seconds(2);

/** The platform calls that belong to singleton tasks. Errors: PlatformUnavailable when the call had no effect,
    PlatformAnswerLost when it may have had or may still get one. */
class TaskPlatform : public Service {
public:
    static constexpr std::string_view serviceName = "taskplatform";
    std::string_view name() const final { return serviceName; }

    virtual asio::awaitable<Result<TaskResult>> reportUsage(UsageReport, TaskAuthority) = 0;
    virtual asio::awaitable<Result<TaskResult>> orderReplicas(ReplicaOrder, TaskAuthority) = 0;

    /** Registers the check of whether a daemon with this authority may still call. It is made when the call is about to be sent,
        as it may have waited for the rate limit or a connection; a call that is not sent because of it ends with
        PlatformUnavailable. */
    void setAdmission(std::function<bool(const TaskAuthority&)> admission) { m_admission = std::move(admission); }

protected:
    bool admits(const TaskAuthority& authority) const { return !m_admission || m_admission(authority); }

private:
    std::function<bool(const TaskAuthority&)> m_admission;
};

} // namespace chestnut
