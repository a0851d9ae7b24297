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
        report(Check::H3NoOrderWithoutAuthority, order.holder + " sent an order to " + engine.value() + " after its lease ended");
    auto [first, isNew] = m_orders.try_emplace({ engine, order.fencingNumber, order.sequence }, order);
    if (!isNew && first->second != order)
        report(Check::H1NoConflictingOrders, engine.value() + " received different orders with the same number");
}

void Oracle::engineChanged(const EngineId& engine, size_t interrupted)
{
    if (interrupted > 0)
        report(Check::H2NoInterruptionByPlannedChange, engine.value() + " interrupted requests: " + std::to_string(interrupted));
}

void Oracle::callExecuted(const std::string& call, uint64_t attempt)
{
    m_executedAttempts.insert(attempt);
    m_executions[call].insert(attempt);
    if (m_executions[call].size() > 1)
        report(Check::H6AtMostOnce, call + " was executed more than once");
}

void Oracle::callCompleted(const std::string& call, uint64_t attempt, const std::string& response, const std::string& expectedResponse)
{
    if (response != expectedResponse)
        report(Check::H4OwnCompleteResponse, call + " attempt " + std::to_string(attempt) + " received " + response);
}

void Oracle::callRefused(uint64_t attempt, ErrorKind kind)
{
    if (describe(kind).outcome == Outcome::NotRun && m_executedAttempts.contains(attempt))
        report(Check::H5TrueRefusal, std::string(describe(kind).name) + " for attempt " + std::to_string(attempt) + ", which was executed");
}

void Oracle::callDispatched(const std::string& server, std::optional<Duration> sinceLeaving)
{
    if (sinceLeaving && *sinceLeaving > maximumLeavingDelay)
        report(Check::H7LeavingServerGetsNoWork, server + " received a call " + std::to_string(toSeconds(*sinceLeaving)) + " s after it began to leave");
}

void Oracle::daemonExited(const std::string& daemon, size_t inFlight, Duration sinceLeaving)
{
    if (inFlight > 0)
        report(Check::H8GracefulStop, daemon + " exited with " + std::to_string(inFlight) + " unfinished requests");
    if (sinceLeaving < discoveryValidity)
        report(Check::H8GracefulStop, daemon + " exited while cached discovery responses still contained its address");
}

void Oracle::revisionApplied(const std::string& daemon, Incarnation incarnation, Revision revision)
{
    auto& applied = m_applied[{ daemon, incarnation }];
    if (revision < applied)
        report(Check::H9ConfigurationInForce, daemon + " reverted to revision " + std::to_string(revision));
    applied = std::max(applied, revision);
}

void Oracle::revisionLags(const std::string& daemon, Revision applied, Revision accepted, Duration sinceAccepted)
{
    if (applied < accepted && sinceAccepted > maximumConfigurationDelay)
        report(Check::H9ConfigurationInForce, daemon + " has revision " + std::to_string(applied) + " instead of " + std::to_string(accepted));
}

void Oracle::acceptedTicketLost(TicketNumber ticket)
{
    report(Check::H9ConfigurationInForce, "accepted ticket " + std::to_string(ticket) + " was lost");
}

} // namespace chestnut::fuzz
