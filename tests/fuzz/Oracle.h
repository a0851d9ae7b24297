#pragma once

#include "base/errors/ErrorKind.h"
#include "base/time/TimePoint.h"
#include "decisions/leases/Order.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chestnut::fuzz {

enum class Check : uint8_t {
    H1NoConflictingOrders,
    H2NoInterruptionByPlannedChange,
    H3NoOrderWithoutAuthority,
    H4OwnCompleteResponse,
    H5TrueRefusal,
    H6AtMostOnce,
    H7LeavingServerGetsNoWork,
    H8GracefulStop,
    H9ConfigurationInForce,
};

constexpr std::array<const char*, 9> checkNames { "H1 no conflicting orders", "H2 no interruption by a planned change",
    "H3 no order without authority", "H4 own and complete response", "H5 true refusal", "H6 at most once",
    "H7 leaving server gets no work", "H8 graceful stop", "H9 configuration in force" };

constexpr Duration maximumLeavingDelay = std::chrono::seconds(5);
constexpr Duration maximumConfigurationDelay = std::chrono::seconds(17);

/** Checks the events that the simulation reports against the invariants, independently of the daemons' decisions. */
class Oracle {
public:
    void orderSent(const EngineId&, const OrderIntent&, bool hasAuthority);
    void engineChanged(const EngineId&, size_t interrupted);
    void callExecuted(const std::string& call, uint64_t attempt);
    void callCompleted(const std::string& call, uint64_t attempt, const std::string& response, const std::string& expectedResponse);
    void callRefused(uint64_t attempt, ErrorKind);
    void callDispatched(const std::string& server, std::optional<Duration> sinceLeaving);
    void daemonExited(const std::string& daemon, size_t inFlight, Duration sinceLeaving);
    void revisionApplied(const std::string& daemon, Incarnation, Revision);
    void revisionLags(const std::string& daemon, Revision applied, Revision accepted, Duration sinceAccepted);
    void acceptedTicketLost(TicketNumber);

    struct Violation {
        Check check;
        std::string detail;
    };
    std::optional<Violation> violation; /**< the first violation */

private:
    void report(Check, std::string detail);

    std::map<std::tuple<EngineId, FencingNumber, uint64_t>, OrderIntent> m_orders;
    std::map<std::string, std::set<uint64_t>> m_executions;
    std::set<uint64_t> m_executedAttempts;
    std::map<std::pair<std::string, Incarnation>, Revision> m_applied;
};

} // namespace chestnut::fuzz
