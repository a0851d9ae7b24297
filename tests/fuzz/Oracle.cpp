#include "Oracle.h"

#include "decisions/discovery/Discovery.h"

namespace chestnut::fuzz {

void Oracle::report(Check check, std::string detail)
{
    if (!violation)
        violation = Violation { check, std::move(detail) };
}

void Oracle::orderSent(const EngineId& engine, const OrderIntent& order, bool hasAuthority)
{
    if (!hasAuthority)
        report(Check::H3NoOrderWithoutAuthority, order.holder + " orders " + engine.value() + " after its lease ended");
    auto [first, isNew] = m_orders.try_emplace({ engine, order.fencingNumber, order.sequence }, order);
    if (!isNew && first->second != order)
        report(Check::H1NoConflictingOrders, engine.value() + " got two orders with one number");
}

void Oracle::engineChanged(const EngineId& engine, size_t interrupted)
{
    if (interrupted > 0)
        report(Check::H2NoInterruptionByPlannedChange, engine.value() + " interrupted " + std::to_string(interrupted));
}

void Oracle::callRan(const std::string& call, uint64_t attempt)
{
    m_ranAttempts.insert(attempt);
    m_runs[call].insert(attempt);
    if (m_runs[call].size() > 1)
        report(Check::H6AtMostOnce, call + " ran again");
}

void Oracle::callAnswered(const std::string& call, uint64_t attempt, const std::string& answer, const std::string& own)
{
    if (answer != own)
        report(Check::H4OwnWholeAnswer, call + " attempt " + std::to_string(attempt) + " got " + answer);
}

void Oracle::callRefused(uint64_t attempt, ErrorKind kind)
{
    if (describe(kind).outcome == Outcome::NotRun && m_ranAttempts.contains(attempt))
        report(Check::H5TrueRefusal, std::string(describe(kind).name) + " for attempt " + std::to_string(attempt) + ", which ran");
}

void Oracle::serverGotWork(const std::string& server, std::optional<Duration> sinceLeaving)
{
    if (sinceLeaving && *sinceLeaving > leavingBound)
        report(Check::H7LeavingServerGetsNoWork, server + " got work " + std::to_string(toSeconds(*sinceLeaving)) + " s after it began to leave");
}

void Oracle::daemonExited(const std::string& daemon, size_t inFlight, Duration sinceLeaving)
{
    if (inFlight > 0)
        report(Check::H8GracefulStop, daemon + " exited with " + std::to_string(inFlight) + " requests");
    if (sinceLeaving < discoveryValidity)
        report(Check::H8GracefulStop, daemon + " exited while callers still had its address");
}

void Oracle::revisionApplied(const std::string& daemon, Incarnation incarnation, Revision revision)
{
    auto& applied = m_applied[{ daemon, incarnation }];
    if (revision < applied)
        report(Check::H9ConfigurationInForce, daemon + " went back to revision " + std::to_string(revision));
    applied = std::max(applied, revision);
}

void Oracle::revisionLags(const std::string& daemon, Revision applied, Revision accepted, Duration sinceAccepted)
{
    if (applied < accepted && sinceAccepted > inForceBound)
        report(Check::H9ConfigurationInForce, daemon + " has revision " + std::to_string(applied) + " instead of " + std::to_string(accepted));
}

void Oracle::acceptedLost(TicketNumber ticket)
{
    report(Check::H9ConfigurationInForce, "accepted ticket " + std::to_string(ticket) + " is gone");
}

} // namespace chestnut::fuzz
