#include "soak/Ledger.h"

namespace chestnut::soak {

namespace {

    /** Executions allowed for one attempt that may be retried; max_attempts in the soak's manifest. */
    constexpr size_t maximumExecutions = 2;

    size_t allowedExecutions(CallKind kind)
    {
        return kind == CallKind::NonIdempotent || kind == CallKind::Stream ? 1 : maximumExecutions;
    }

} // namespace

Ledger::Ledger(TimerService& timers)
    : m_timers(timers)
    , m_startedAt(timers.now())
{
}

void Ledger::recordSent(const RequestId& id, CallKind kind)
{
    m_attempts.insert_or_assign(id, Attempt { kind, m_timers.now(), {}, false });
}

void Ledger::recordExecution(const RequestId& id, const ReplicaId& replica)
{
    auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        reportViolation("UNASKED", "replica " + replica.value() + " ran " + id.value() + ", which no client sent");
        return;
    }
    auto& attempt = found->second;
    attempt.executions.push_back(replica);
    if (attempt.isRefused)
        reportViolation("REFUSED", id.value() + " ran at " + replica.value() + " after it was refused");
    if (attempt.executions.size() > allowedExecutions(attempt.kind))
        reportViolation("TWICE", id.value() + " ran at " + attempt.executions.front().value() + " and again at " + replica.value());
}

void Ledger::recordRefused(const RequestId& id, int status)
{
    ++m_counts.refused;
    auto& attempt = m_attempts[id];
    attempt.isRefused = true;
    if (!attempt.executions.empty())
        reportViolation("REFUSED", id.value() + " had run at " + attempt.executions.front().value() + " and was refused with " + std::to_string(status));
}

bool Ledger::wasExecuted(const RequestId& id) const
{
    auto found = m_attempts.find(id);
    return found != m_attempts.end() && !found->second.executions.empty();
}

std::optional<TimePoint> Ledger::sentAt(const RequestId& id) const
{
    auto found = m_attempts.find(id);
    return found == m_attempts.end() ? std::nullopt : std::optional(found->second.sentAt);
}

void Ledger::reportViolation(const std::string& promise, const std::string& detail)
{
    auto seconds = std::to_string(toSeconds(m_timers.now() - m_startedAt));
    m_violations.push_back(promise + " at " + seconds + " s: " + detail);
}

} // namespace chestnut::soak
