#pragma once

#include "decisions/drains/Drain.h"
#include "decisions/leases/Lease.h"

#include <string>
#include <vector>

namespace chestnut {

/** Period at which a lease holder compares the state of its engines with their desired state. */
constexpr Duration reconciliationPeriod = std::chrono::seconds(2);
constexpr Duration shortestOrderRetry = std::chrono::seconds(4);
constexpr Duration longestOrderRetry = std::chrono::seconds(60);

/** The complete state that an engine is to run. */
struct DesiredEngine {
    Revision revision = 0; /**< of the configuration that it follows from */
    TicketNumber setBy = 0; /**< the ticket that last set the engine */
    EngineRole role = EngineRole::Mixed;
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;

    auto operator<=>(const DesiredEngine&) const = default;
};

/** The record `orders/<engine>`, written by compare-and-swap before each order. */
struct OrderIntent {
    std::string holder; /**< daemon, incarnation, group and LockIndex of the tenure that wrote it */
    EngineGroupId group;
    FencingNumber fencingNumber = 0;
    uint64_t sequence = 0;
    DesiredEngine desired;

    auto operator<=>(const OrderIntent&) const = default;
};

/** State that the engine reported. */
struct ObservedEngine {
    FencingNumber fencingNumber = 0;
    uint64_t sequence = 0;
    DesiredEngine running;
    bool isReady = false;

    auto operator<=>(const ObservedEngine&) const = default;
};

enum class OrderAction : uint8_t {
    Settled, /**< the engine runs its desired state under the current order */
    Wait,
    TakeOver, /**< write the intent so that the former holder's next write fails; send nothing yet */
    Drain, /**< empty the engine first */
    Send, /**< write the intent and send the order */
    Yield, /**< another holder has authority: read the intent again */
};

struct OrderInputs {
    Lease lease;
    std::string holder;
    std::optional<OrderIntent> intent;
    std::optional<ObservedEngine> observed;
    DesiredEngine desired;
    bool isDrained = false;
    TimePoint sendFrom; /**< earliest send: orders of the former holder have ended by then */
    TimePoint changingSince; /**< when the engine was first seen changing; read only while it is changing */
    TimePoint retryAt; /**< earliest retry of an order */
    TimePoint now;
};

struct OrderStep {
    OrderAction action = OrderAction::Wait;
    OrderIntent intent; /**< for TakeOver and Send */
    std::string reason;
};

bool runsSame(const DesiredEngine&, const DesiredEngine&);
/** Whether the change interrupts running requests. Adapters are exchanged while the engine serves. */
bool isDisruptive(const DesiredEngine& from, const DesiredEngine& to);
bool loadsWeights(const DesiredEngine& from, const DesiredEngine& to);

/** The state that the configuration specifies. An automatic role remains that of the intent until a newer ticket sets the
    engine or a new role is decided. */
DesiredEngine desiredEngine(const Configuration&, const EngineSpec&, const std::optional<OrderIntent>&, std::optional<EngineRole> decided);

/** The next step for one engine. The fencing numbers of an engine increase with each takeover, also when the engine
    moves between groups, whose LockIndexes are not comparable. */
OrderStep nextOrderStep(const OrderInputs&);

Duration orderRetryDelay(int attempts);

} // namespace chestnut
