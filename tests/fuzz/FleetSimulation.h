#pragma once

#include "claims/responses/RecordedResponses.h"
#include "decisions/claims/ClaimLog.h"
#include "decisions/membership/Membership.h"
#include "decisions/tickets/Ticket.h"
#include "Oracle.h"

#include <functional>
#include <iosfwd>
#include <memory>

namespace chestnut::fuzz {

/** Deliberate defects. A test switches each one on to show that the check of its invariant can fail. */
enum class Variant : uint8_t {
    Correct,
    ConflictingOrders, /**< orders are sent under the previous sequence number, without writing the intent first */
    DrainSkipped, /**< an engine counts as drained immediately, while requests still run on it */
    LeaseEndIgnored, /**< orders are sent without checking that the lease is still held */
    ResponseToOtherAccount, /**< recorded responses are looked up by key only, without the account */
    FalseRefusal, /**< a backend server that crashed during a call is reported as a failed connection */
    ClaimSkipped, /**< calls are dispatched without a claim */
    LeavingServerUsed, /**< calls are still dispatched to backend servers that are leaving */
    UngracefulStop, /**< a planned stop waits neither for running requests nor for the end of cached discovery responses */
    RevisionReverts, /**< a configuration is applied without comparing revisions */
};

enum class CommandKind : uint8_t {
    Advance, /**< a: seconds */
    Call, /**< a: daemon, b: key and account, c: fault */
    Generate, /**< a: daemon, b: engine, c: seconds */
    Submit, /**< a: daemon, b: object, c: state */
    Kill,
    Restart,
    Pause,
    Resume,
    Isolate, /**< disconnects a daemon from the key-value service and its peers */
    Reconnect,
    Stop, /**< planned stop */
    Outage, /**< of the key-value service; odd c: begins, even c: ends */
    LoseResponse, /**< the response to the next write is lost; even b: the write also takes effect late */
    DelayOrders, /**< orders arrive a modulo 7 seconds late */
};
constexpr uint8_t commandKinds = static_cast<uint8_t>(CommandKind::DelayOrders) + 1;

struct Command {
    CommandKind kind = CommandKind::Advance;
    uint8_t a = 0;
    uint8_t b = 0;
    uint8_t c = 0;
};
std::ostream& operator<<(std::ostream&, const Command&);

/** Simulates three daemons, a key-value service, two engines (one ignores fencing numbers) and two backend servers in
    virtual time. The daemons take their decisions with the functions of modules/decisions. */
class FleetSimulation {
public:
    explicit FleetSimulation(Variant, uint64_t seed);
    ~FleetSimulation();

    void apply(const Command&);
    /** Ends all faults and advances the time until every accepted ticket has to be in force. */
    void settle();

    Oracle oracle;

private:
    struct KeyValueModel;
    struct Engine;
    struct Server;
    struct Daemon;
    struct PendingCall;

    void tick();
    void exchangeHeartbeats(Daemon&);
    bool canReach(const Daemon&, const Daemon&) const;
    bool canReachStore(const Daemon&) const;
    void pullConfiguration(Daemon&);
    void applyConfiguration(Daemon&, const Configuration&);
    void submit(Daemon&, const Command&);
    void maintainLease(Daemon&);
    void orderEngines(Daemon&);
    void stepEngine(Daemon&, const EngineSpec&);
    bool writeIntent(const EngineId&, uint64_t expectedWrites, const OrderIntent&);
    void send(Daemon&, Engine&, const OrderIntent&);
    void deliverOrders(Engine&);
    DrainProgress& updateDrain(Daemon&, Engine&);
    void call(Daemon&, const Command&);
    void continueCall(Daemon&, PendingCall&);
    bool resolveClaim(Daemon&, PendingCall&);
    void respondToDuplicate(Daemon&, PendingCall&, const ClaimEntry& winning);
    void dispatch(Daemon&, PendingCall&);
    void refuse(PendingCall&, ErrorKind);
    void generate(Daemon&, const Command&);
    void start(Daemon&);
    void stop(Daemon&);
    void exitWhenDone(Daemon&);
    void checkRevisions();
    size_t inFlight(const Daemon&) const;

    Variant m_variant;
    std::mt19937_64 m_random;
    TimePoint m_now { Duration::zero() };
    std::unique_ptr<KeyValueModel> m_store;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Server>> m_servers;
    Duration m_orderDelay { 0 };
    uint64_t m_lastAttempt = 0;
    TicketNumber m_lastTicketNumber = 0;
    Revision m_available = 0; /**< newest revision that a connected daemon can get */
    TimePoint m_availableSince;
};

} // namespace chestnut::fuzz
