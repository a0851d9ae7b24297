#include "soak/Ledger.h"

namespace chestnut::soak {

namespace {

    /** Replicas that one attempt of a repeatable kind may run at; the soak's manifest says so. */
    constexpr size_t maximumRuns = 2;

    size_t runsAllowed(CallKind kind)
    {
        return kind == CallKind::NonIdempotent || kind == CallKind::Stream ? 1 : maximumRuns;
    }

} // namespace

Ledger::Ledger(TimerService& timers)
    : m_timers(timers)
    , m_startedAt(timers.now())
{
}

void Ledger::noteSent(const RequestId& id, CallKind kind)
{
    m_attempts[id].kind = kind;
}

void Ledger::noteRun(const RequestId& id, const ReplicaId& replica)
{
    auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        violate("UNASKED", "replica " + replica.value() + " ran " + id.value() + ", which no client sent");
        return;
    }
    auto& attempt = found->second;
    attempt.runs.push_back(replica);
    if (attempt.isRefused)
        violate("REFUSED", id.value() + " ran at " + replica.value() + " after its refusal");
    if (attempt.runs.size() > runsAllowed(attempt.kind))
        violate("TWICE", id.value() + " ran at " + attempt.runs.front().value() + " and again at " + replica.value());
}

void Ledger::noteRefused(const RequestId& id, int status)
{
    ++m_counts.refused;
    auto& attempt = m_attempts[id];
    attempt.isRefused = true;
    if (!attempt.runs.empty())
        violate("REFUSED", id.value() + " had run at " + attempt.runs.front().value() + " and was refused with " + std::to_string(status));
}

bool Ledger::hasRun(const RequestId& id) const
{
    auto found = m_attempts.find(id);
    return found != m_attempts.end() && !found->second.runs.empty();
}

void Ledger::violate(const std::string& promise, const std::string& detail)
{
    auto seconds = std::to_string(toSeconds(m_timers.now() - m_startedAt));
    m_violations.push_back(promise + " at " + seconds + " s: " + detail);
}

} // namespace chestnut::soak
