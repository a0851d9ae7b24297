#pragma once

#include "base/ids/StrongId.h"
#include "kernel/timers/TimerService.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chestnut::soak {

enum class CallKind : uint8_t {
    Idempotent,
    NonIdempotent,
    Resumable, /**< a stream that another replica may continue */
    Stream, /**< a stream that may be executed only once */
};

/** Outcomes of the clients' attempts. */
struct LedgerCounts {
    uint64_t served = 0;
    uint64_t refused = 0; /**< with a status that promises that the attempt was not executed */
    uint64_t failed = 0; /**< with any other response, or none */

    bool operator==(const LedgerCounts&) const = default;
};

/** Combines what clients and replicas observe of each attempt and collects the broken promises. */
class Ledger {
public:
    explicit Ledger(TimerService&);

    /** Records that a client sends an attempt, or a refused one again with the same id: that is a new attempt. A late execution
        of the refused one then counts with those of the new one. */
    void recordSent(const RequestId&, CallKind);
    /** Records that a replica has started to execute the attempt. */
    void recordExecution(const RequestId&, const ReplicaId&);
    void recordServed() { ++m_counts.served; }
    void recordRefused(const RequestId&, int status);
    void recordFailed() { ++m_counts.failed; }
    bool wasExecuted(const RequestId&) const;
    std::optional<TimePoint> sentAt(const RequestId&) const;

    void reportViolation(const std::string& promise, const std::string& detail);

    const std::vector<std::string>& violations() const { return m_violations; }
    LedgerCounts counts() const { return m_counts; }

private:
    struct Attempt {
        CallKind kind = CallKind::Idempotent;
        TimePoint sentAt;
        std::vector<ReplicaId> executions;
        bool isRefused = false;
    };

    TimerService& m_timers;
    TimePoint m_startedAt;
    std::map<RequestId, Attempt> m_attempts;
    std::vector<std::string> m_violations;
    LedgerCounts m_counts;
};

} // namespace chestnut::soak
