#include "frontend/replicas/ReplicaPoller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    constexpr Duration healthPeriod = std::chrono::seconds(1);

    asio::awaitable<void> pollEngine(FrontendStatePointer state, ReplicaId id, Endpoint endpoint)
    {
        auto load = co_await state->services.engines.load(endpoint);
        if (!load) {
            state->replicas->recordContactFailure(id);
            co_return;
        }
        state->replicas->applyLoad(id, *load);
        auto events = co_await state->services.engines.cacheEvents(endpoint, state->replicas->lastCacheSequence(id));
        if (events)
            state->replicas->applyCacheEvents(id, *events);
    }

    asio::awaitable<void> pollServer(FrontendStatePointer state, ReplicaId id, Endpoint endpoint)
    {
        auto load = co_await state->services.servers.load(endpoint);
        if (load)
            state->replicas->applyLoad(id, *load);
        else
            state->replicas->recordContactFailure(id);
    }

    void pollNext(const FrontendStatePointer& state)
    {
        auto id = state->replicas->nextToPoll(state->settings.pollPeriod);
        if (!id)
            return;
        auto endpoint = *state->replicas->endpoint(*id);
        if (state->replicas->isEngine(*id))
            asio::co_spawn(state->services.context, pollEngine(state, *id, endpoint), asio::detached);
        else
            asio::co_spawn(state->services.context, pollServer(state, *id, endpoint), asio::detached);
    }

} // namespace

ReplicaPoller::ReplicaPoller(FrontendStatePointer state)
    : m_state(std::move(state))
{
}

void ReplicaPoller::start()
{
    m_state->replicas->setMembers(m_state->services.peers.members());
    std::weak_ptr<FrontendState> weak = m_state;
    m_pollTimer = m_state->services.timers.every(m_state->settings.pollInterval, [weak] {
        if (auto state = weak.lock())
            pollNext(state);
    });
    m_healthTimer = m_state->services.timers.every(healthPeriod, [weak] {
        auto state = weak.lock();
        if (!state)
            return;
        state->replicas->setMembers(state->services.peers.members());
        state->replicas->updateRoles();
        state->replicas->updateHealth();
        expireLossHistories(state->quarantine, state->now());
    });
}

} // namespace chestnut
