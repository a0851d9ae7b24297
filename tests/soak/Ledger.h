#pragma once

#include "base/ids/StrongId.h"
#include "kernel/timers/TimerService.h"

#include <map>
#include <string>
#include <vector>

namespace chestnut::soak {

enum class CallKind : uint8_t {
    Idempotent,
    NonIdempotent,
    Resumable, /**< a stream that may go on at another replica */
    Stream, /**< a stream that may run once */
};

/** What became of the attempts of the clients. */
struct LedgerCounts {
    uint64_t served = 0;
    uint64_t refused = 0; /**< with the promise that they have not run */
    uint64_t failed = 0; /**< with any other answer, or none */

    bool operator==(const LedgerCounts&) const = default;
};

/** Joins what clients and replicas see of each attempt and collects the promises that were broken. */
class Ledger {
public:
    explicit Ledger(TimerService&);

    void noteSent(const RequestId&, CallKind);
    /** A replica began to work on the attempt. */
    void noteRun(const RequestId&, const ReplicaId&);
    void noteServed() { ++m_counts.served; }
    void noteRefused(const RequestId&, int status);
    void noteFailed() { ++m_counts.failed; }
    bool hasRun(const RequestId&) const;

    void violate(const std::string& promise, const std::string& detail);

    const std::vector<std::string>& violations() const { return m_violations; }
    LedgerCounts counts() const { return m_counts; }

private:
    struct Attempt {
        CallKind kind = CallKind::Idempotent;
        std::vector<ReplicaId> runs;
        bool isRefused = false;
    };

    TimerService& m_timers;
    TimePoint m_startedAt;
    std::map<RequestId, Attempt> m_attempts;
    std::vector<std::string> m_violations;
    LedgerCounts m_counts;
};

} // namespace chestnut::soak
