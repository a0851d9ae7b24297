#pragma once

#include "control/orders/AwaySlots.h"
#include "control/orders/OrderService.h"

#include <map>

namespace chestnut {

/** What the holder knows about one engine during one tenure of the group's lease. */
struct EngineWork {
    EngineId id;
    EngineGroupId group;
    std::string tenure;
    std::optional<OrderIntent> intent;
    uint64_t intentIndex = 0;
    bool isIntentKnown = false;
    bool mustReclaim = false; /**< the engine obeys a number above that of our own intent */
    TimePoint sendFrom;
    std::optional<ObservedEngine> observed;
    std::optional<TimePoint> changingSince;
    std::optional<TimePoint> silentSince; /**< since when the engine does not report its state */
    std::optional<EngineRole> decidedRole;
    TimePoint roleSince;
    TimePoint retryAt;
    int attempts = 0;
    OrderAction lastAction = OrderAction::Wait;
    std::string problem;
    bool isBusy = false;
    bool isEnded = false;
    std::optional<DrainProgress> drain;
    std::map<DaemonId, TimePoint> informed; /**< when the member last confirmed that the engine is away */
    TimePoint informDue;
    uint64_t noticeCounter = 0;
    std::vector<std::string> slots;
    TimePoint waitingSince;
    DesiredEngine desired;
};

using EngineWorkPointer = std::shared_ptr<EngineWork>;

/** Shared by the coroutines of the OrderService. Members are called only through a shared pointer to it. */
struct OrderService::State : std::enable_shared_from_this<OrderService::State> {
    State(asio::io_context&, OrderDependencies);

    /** One pass over all engines of the held groups. */
    asio::awaitable<void> tick();
    bool isBusy(const EngineGroupId&) const;
    bool hasWorkInProgress() const;
    asio::awaitable<void> finish();

    asio::io_context& context;
    OrderDependencies on;
    AwaySlots slots;
    std::map<EngineId, EngineWorkPointer> works;
    bool isTicking = false;
    bool isStopped = false;

private:
    void matchWorks(const Configuration&);
    void drop(const EngineWorkPointer&);
    asio::awaitable<void> assignSlots(std::shared_ptr<const Configuration>);
    asio::awaitable<void> takeSlots(EngineWorkPointer, std::shared_ptr<const Configuration>);
    DrainCandidate candidateOf(const EngineWork&, const Configuration&) const;
    bool keepsFloor(const EngineWork&, const Configuration&) const;

    asio::awaitable<void> run(EngineWorkPointer);
    asio::awaitable<bool> step(EngineWorkPointer);
    asio::awaitable<bool> readIntent(EngineWorkPointer);
    asio::awaitable<void> observe(EngineWorkPointer, Endpoint);
    asio::awaitable<bool> writeIntent(EngineWorkPointer, OrderIntent);
    asio::awaitable<bool> claim(EngineWorkPointer, OrderIntent);
    asio::awaitable<void> send(EngineWorkPointer, Endpoint, OrderIntent);
    asio::awaitable<void> continueDrain(EngineWorkPointer, Endpoint);
    static asio::awaitable<void> inform(std::shared_ptr<State>, EngineWorkPointer, DaemonId, EngineNotice);
    void informAll(const EngineWorkPointer&, bool isUnavailable);
    bool isEveryoneInformed(const EngineWork&) const;
    void updateInformed(EngineWork&) const;
    void settle(const EngineWorkPointer&);
    void limitSilence(EngineWork&);
    void releaseSlots(EngineWork&);
    void note(EngineWork&, OrderAction, const std::string& reason);
    std::optional<Lease> leaseOf(const EngineWork&) const;
};

} // namespace chestnut
