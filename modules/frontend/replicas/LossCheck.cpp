#include "frontend/replicas/LossCheck.h"

#include "kernel/signals/AutoResetEvent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    constexpr Duration lossCheckPollPeriod = std::chrono::milliseconds(5);

    struct Probe {
        explicit Probe(asio::io_context& context)
            : wakeup(context)
        {
        }

        AutoResetEvent wakeup;
        bool hasResponded = false;
    };

    asio::awaitable<void> pollLoad(FrontendStatePointer state, Endpoint endpoint, bool isEngine, std::shared_ptr<Probe> probe)
    {
        if (isEngine)
            probe->hasResponded = (co_await state->services.engines.load(endpoint)).has_value();
        else
            probe->hasResponded = (co_await state->services.servers.load(endpoint)).has_value();
        probe->wakeup.notify();
    }

    asio::awaitable<bool> respondsToLoadPoll(FrontendStatePointer state, Endpoint endpoint, bool isEngine)
    {
        auto probe = std::make_shared<Probe>(state->services.context);
        asio::co_spawn(state->services.context, pollLoad(state, std::move(endpoint), isEngine, probe), asio::detached);
        co_await probe->wakeup.waitFor(state->services.timers, lossCheckTimeout);
        co_return probe->hasResponded;
    }

    asio::awaitable<void> checkLoss(FrontendStatePointer state, ReplicaId replica, std::vector<Digest> running)
    {
        auto replicas = state->replicas;
        auto endpoint = replicas->endpoint(replica);
        if (endpoint && replicas->beginLossCheck(replica)) {
            bool isLost = !co_await respondsToLoadPoll(state, *endpoint, replicas->isEngine(replica));
            replicas->endLossCheck(replica, isLost);
            if (isLost)
                recordLoss(state->quarantine, replica, running, state->now());
            state->services.log.write(isLost ? EventId::RequestSuspected : EventId::LossRefuted, { { "replica", replica }, { "requests", running.size() } });
            co_return;
        }
        while (replicas->isLossCheckPending(replica))
            co_await state->services.timers.sleep(lossCheckPollPeriod);
    }

} // namespace

LossChecks::LossChecks(std::shared_ptr<AutoResetEvent> wakeup)
    : m_wakeup(std::move(wakeup))
    , m_pending(std::make_shared<uint32_t>(0))
{
}

void LossChecks::add(const FrontendStatePointer& state, const ReplicaId& replica)
{
    auto running = state->replicas->contentsRunningAt(replica);
    ++*m_pending;
    asio::co_spawn(state->services.context, checkLoss(state, replica, std::move(running)), [wakeup = m_wakeup, pending = m_pending](const std::exception_ptr&) {
        --*pending;
        wakeup->notify();
    });
}

asio::awaitable<void> LossChecks::waitUntilFinished(FrontendStatePointer state)
{
    auto pending = m_pending;
    while (*pending > 0)
        co_await m_wakeup->waitFor(state->services.timers, 2 * lossCheckTimeout);
}

} // namespace chestnut
