#include "frontend/replicas/LossCheck.h"

#include "kernel/signals/AutoResetEvent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    constexpr Duration settledCheck = std::chrono::milliseconds(5);

    struct Probe {
        explicit Probe(asio::io_context& context)
            : news(context)
        {
        }

        AutoResetEvent news;
        bool hasAnswered = false;
    };

    asio::awaitable<void> ask(FrontendStatePointer state, Endpoint endpoint, bool isEngine, std::shared_ptr<Probe> probe)
    {
        if (isEngine)
            probe->hasAnswered = (co_await state->services.engines.load(endpoint)).has_value();
        else
            probe->hasAnswered = (co_await state->services.servers.load(endpoint)).has_value();
        probe->news.notify();
    }

    asio::awaitable<bool> answers(FrontendStatePointer state, Endpoint endpoint, bool isEngine)
    {
        auto probe = std::make_shared<Probe>(state->services.context);
        asio::co_spawn(state->services.context, ask(state, std::move(endpoint), isEngine, probe), asio::detached);
        co_await probe->news.waitFor(state->services.timers, lossCheckTimeout);
        co_return probe->hasAnswered;
    }

    asio::awaitable<void> settleLoss(FrontendStatePointer state, ReplicaId replica, std::vector<Digest> running)
    {
        auto replicas = state->replicas;
        auto endpoint = replicas->endpoint(replica);
        if (endpoint && replicas->beginLossCheck(replica)) {
            bool isLost = !co_await answers(state, *endpoint, replicas->isEngine(replica));
            replicas->endLossCheck(replica, isLost);
            if (isLost)
                recordLoss(state->suspects, replica, running, state->now());
            state->services.log.write(isLost ? EventId::RequestSuspected : EventId::LossRefuted, { { "replica", replica }, { "requests", running.size() } });
            co_return;
        }
        while (replicas->isLossUnsettled(replica))
            co_await state->services.timers.sleep(settledCheck);
    }

} // namespace

LossChecks::LossChecks(std::shared_ptr<AutoResetEvent> news)
    : m_news(std::move(news))
    , m_pending(std::make_shared<uint32_t>(0))
{
}

void LossChecks::add(const FrontendStatePointer& state, const ReplicaId& replica)
{
    auto running = state->replicas->contentsRunningAt(replica);
    ++*m_pending;
    asio::co_spawn(state->services.context, settleLoss(state, replica, std::move(running)), [news = m_news, pending = m_pending](const std::exception_ptr&) {
        --*pending;
        news->notify();
    });
}

asio::awaitable<void> LossChecks::settled(FrontendStatePointer state)
{
    auto pending = m_pending;
    while (*pending > 0)
        co_await m_news->waitFor(state->services.timers, 2 * lossCheckTimeout);
}

} // namespace chestnut
