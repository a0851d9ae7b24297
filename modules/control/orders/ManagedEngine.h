#pragma once

#include "control/orders/OrderService.h"
#include "control/orders/UnavailabilitySlots.h"

#include <map>

namespace chestnut {

/** State of one engine at the holder of its group, during one tenure of the group's lease. */
struct ManagedEngine {
    EngineId id;
    EngineGroupId group;
    std::string tenure;
    std::optional<OrderIntent> intent;
    uint64_t intentIndex = 0;
    bool isIntentRead = false;
    bool mustReclaim = false; /**< the engine follows a higher fencing number than that of this daemon's intent */
    TimePoint sendFrom;
    std::optional<ObservedEngine> observed;
    std::optional<TimePoint> changingSince;
    std::optional<TimePoint> unresponsiveSince; /**< start of the period in which the engine has not reported its state */
    std::optional<EngineRole> decidedRole;
    TimePoint roleSince;
    TimePoint retryAt;
    int attempts = 0;
    OrderAction lastAction = OrderAction::Wait;
    std::string problem;
    bool isBusy = false;
    bool isEnded = false;
    std::optional<DrainProgress> drain;
    std::map<DaemonId, TimePoint> acknowledgements; /**< send time of the last unavailability notice that each member acknowledged */
    TimePoint nextNoticeAt;
    uint64_t noticeCounter = 0;
    std::vector<std::string> slots;
    TimePoint waitingSince;
    DesiredEngine desired;
};

using ManagedEnginePointer = std::shared_ptr<ManagedEngine>;

/** State shared by the coroutines of the OrderService. Must be owned by a shared pointer. */
struct OrderService::State : std::enable_shared_from_this<OrderService::State> {
    State(asio::io_context&, OrderDependencies);

    /** Runs one reconciliation pass over all engines of the held groups. */
    asio::awaitable<void> tick();
    bool isBusy(const EngineGroupId&) const;
    bool isAnyBusy() const;
    asio::awaitable<void> stopManagingAll();

    asio::io_context& context;
    OrderDependencies services;
    UnavailabilitySlots slots;
    std::map<EngineId, ManagedEnginePointer> managedEngines;
    bool isTicking = false;
    bool isStopped = false;

private:
    void updateManagedEngines(const Configuration&);
    void stopManaging(const ManagedEnginePointer&);
    asio::awaitable<void> assignSlots(std::shared_ptr<const Configuration>);
    asio::awaitable<void> acquireSlots(ManagedEnginePointer, std::shared_ptr<const Configuration>);
    DrainCandidate candidateOf(const ManagedEngine&, const Configuration&) const;
    bool keepsMinimumReplicas(const ManagedEngine&, const Configuration&) const;

    asio::awaitable<void> run(ManagedEnginePointer);
    asio::awaitable<bool> step(ManagedEnginePointer);
    asio::awaitable<bool> readIntent(ManagedEnginePointer);
    asio::awaitable<void> observe(ManagedEnginePointer, Endpoint);
    asio::awaitable<bool> writeIntent(ManagedEnginePointer, OrderIntent);
    asio::awaitable<bool> takeOver(ManagedEnginePointer, OrderIntent);
    asio::awaitable<void> send(ManagedEnginePointer, Endpoint, OrderIntent);
    asio::awaitable<void> continueDrain(ManagedEnginePointer, Endpoint);
    static asio::awaitable<void> sendNotice(std::shared_ptr<State>, ManagedEnginePointer, DaemonId, EngineNotice);
    void broadcastNotice(const ManagedEnginePointer&, bool isUnavailable);
    bool isAcknowledgedByAll(const ManagedEngine&) const;
    void updateDrainAcknowledgement(ManagedEngine&) const;
    void settle(const ManagedEnginePointer&);
    void releaseSlotsIfUnresponsive(ManagedEngine&);
    void releaseSlots(ManagedEngine&);
    void recordAction(ManagedEngine&, OrderAction, const std::string& reason);
    std::optional<Lease> leaseOf(const ManagedEngine&) const;
};

} // namespace chestnut
