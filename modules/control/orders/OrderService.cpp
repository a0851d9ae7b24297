#include "control/orders/OrderService.h"

#include "control/orders/ManagedEngine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    constexpr Duration stopPoll = std::chrono::milliseconds(100);

    std::string phaseOf(const ManagedEngine& managed)
    {
        if (managed.lastAction == OrderAction::Settled)
            return "running";
        if (managed.lastAction == OrderAction::Drain)
            return "draining";
        if (managed.observed && !managed.observed->isReady)
            return "changing";
        return "waiting";
    }

    asio::awaitable<void> runTick(std::shared_ptr<OrderService::State> state)
    {
        co_await state->tick();
    }

} // namespace

OrderService::OrderService(asio::io_context& context, OrderDependencies dependencies)
    : m_context(context)
    , m_state(std::make_shared<State>(context, dependencies))
{
}

OrderService::~OrderService()
{
    m_state->isStopped = true;
}

void OrderService::start()
{
    auto state = m_state;
    state->services.leases.setBusyCheck([state](const EngineGroupId& group) { return state->isBusy(group); });
    m_timer = state->services.timers.every(reconciliationPeriod, [state] { asio::co_spawn(state->context, runTick(state), asio::detached); });
}

asio::awaitable<void> OrderService::stop()
{
    auto state = m_state;
    state->isStopped = true;
    m_timer.cancel();
    auto end = state->services.timers.now() + orderTimeout + leaseMargin;
    while (state->isAnyBusy() && state->services.timers.now() < end)
        co_await state->services.timers.sleep(stopPoll);
    co_await state->stopManagingAll();
}

bool OrderService::requestRole(const EngineId& engine, EngineRole role)
{
    auto found = m_state->managedEngines.find(engine);
    if (found == m_state->managedEngines.end() || found->second->lastAction != OrderAction::Settled || found->second->decidedRole)
        return false;
    found->second->decidedRole = role;
    return true;
}

std::optional<TimePoint> OrderService::roleSince(const EngineId& engine) const
{
    auto found = m_state->managedEngines.find(engine);
    return found == m_state->managedEngines.end() ? std::nullopt : std::optional(found->second->roleSince);
}

std::vector<EngineStatus> OrderService::statuses() const
{
    std::vector<EngineStatus> statuses;
    statuses.reserve(m_state->managedEngines.size());
    for (const auto& [id, managed] : m_state->managedEngines) {
        auto number = managed->intent ? managed->intent->fencingNumber : 0;
        statuses.push_back({ id, managed->group, number, phaseOf(*managed), managed->problem, managed->desired.revision, managed->desired, managed->observed });
    }
    return statuses;
}

} // namespace chestnut
