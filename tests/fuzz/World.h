#pragma once

#include "claims/answers/RecordedResponses.h"
#include "decisions/claims/ClaimLog.h"
#include "decisions/membership/Membership.h"
#include "decisions/tickets/Ticket.h"
#include "Oracle.h"

#include <functional>
#include <iosfwd>
#include <memory>

namespace chestnut::fuzz {

/** Known-wrong behaviours that a test switches on, to show that the check of an invariant can fail. */
enum class Variant : uint8_t {
    Correct,
    ConflictingOrders, /**< orders are sent without writing the intent, under the former sequence number */
    DrainInterrupts, /**< an engine counts as drained at once */
    FencingDropped, /**< the lease's end is not checked before an order */
    AnswerToOther, /**< recorded answers are found by key without the account */
    RefusalLies, /**< a lost backend server is reported as a failed connection */
    ClaimSkipped, /**< calls are dispatched without a claim */
    LeavingGetsWork, /**< the membership of backend servers is ignored */
    UngracefulStop, /**< a planned stop does not wait for requests and cached discovery answers */
    RevisionGoesBack, /**< a document is applied without comparing revisions */
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
    Cut, /**< from the key-value service and the peers */
    Heal,
    Stop, /**< planned */
    Outage, /**< of the key-value service; c: begins or ends */
    LoseAnswer, /**< of the next write; b: the write is also late */
    DelayOrders, /**< orders arrive up to a seconds late */
};
constexpr uint8_t commandKinds = static_cast<uint8_t>(CommandKind::DelayOrders) + 1;

struct Command {
    CommandKind kind = CommandKind::Advance;
    uint8_t a = 0;
    uint8_t b = 0;
    uint8_t c = 0;
};
std::ostream& operator<<(std::ostream&, const Command&);

/** A few daemons, a key-value model, two engines (one ignores fencing numbers) and two backend servers in virtual time.
    The daemons decide through the functions of modules/decisions. */
class World {
public:
    explicit World(Variant, uint64_t seed);
    ~World();

    void apply(const Command&);
    /** Ends all faults and lets the world settle; then everything accepted has to be in force. */
    void settle();

    Oracle oracle;

private:
    struct KeyValueModel;
    struct Engine;
    struct Server;
    struct Daemon;
    struct PendingCall;

    void tick();
    void beat(Daemon&);
    bool reach(const Daemon&, const Daemon&) const;
    bool reachesStore(const Daemon&) const;
    void pullConfiguration(Daemon&);
    void adopt(Daemon&, const Configuration&);
    void submit(Daemon&, const Command&);
    void maintainLease(Daemon&);
    void orderEngines(Daemon&);
    void stepEngine(Daemon&, const EngineSpec&);
    bool writeIntent(const EngineId&, uint64_t expectedWrites, const OrderIntent&);
    void send(Daemon&, Engine&, const OrderIntent&);
    void deliverOrders(Engine&);
    DrainProgress& drainOf(Daemon&, Engine&);
    void call(Daemon&, const Command&);
    void proceed(Daemon&, PendingCall&);
    bool settleClaim(Daemon&, PendingCall&);
    void answerDuplicate(Daemon&, PendingCall&, const ClaimEntry& counting);
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
    uint64_t m_attempts = 0;
    TicketNumber m_tickets = 0;
    Revision m_available = 0; /**< newest revision that a connected daemon can get */
    TimePoint m_availableSince;
};

} // namespace chestnut::fuzz
