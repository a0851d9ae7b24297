#include "control/cleanup/RecordCleaner.h"

#include "control/fleet/EngineNotice.h"
#include "control/tickets/TicketService.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <deque>
#include <set>

namespace chestnut {

namespace {

    struct Removal {
        std::string key;
        uint64_t modifyIndex = 0;
    };

    std::optional<TicketNumber> ticketNumberOf(const std::string& key)
    {
        TicketNumber number = 0;
        const auto* first = key.data() + ticketStorePrefix.size();
        const auto* last = key.data() + key.size();
        auto [end, error] = std::from_chars(first, last, number);
        return error == std::errc() && end == last ? std::optional(number) : std::nullopt;
    }

    bool isRecent(const Configuration& configuration, TicketNumber number)
    {
        return std::ranges::find(configuration.recentTickets, number, &AcceptedTicket::number) != configuration.recentTickets.end();
    }

    /** The floor only grows, so an outdated configuration never makes a record obsolete that is still needed. */
    bool isTicketObsolete(const Configuration& configuration, const std::string& key)
    {
        auto number = ticketNumberOf(key);
        return number && *number <= configuration.ticketFloor && !isRecent(configuration, *number);
    }

    bool isIntentObsolete(const Configuration& configuration, const std::string& key)
    {
        return key.size() > intentPrefix.size() && !configuration.engines.contains(key.substr(intentPrefix.size()));
    }

    bool isObsolete(const Configuration& configuration, const std::string& key)
    {
        return key.starts_with(intentPrefix) ? isIntentObsolete(configuration, key) : isTicketObsolete(configuration, key);
    }

} // namespace

struct RecordCleaner::State {
    KeyValueStore& store;
    ConfigurationService& configuration;
    LeaseService& leases;
    TimerService& timers;
    Log& log;
    std::deque<Removal> pendingRemovals {};
    std::map<std::string, uint64_t> previousObsoleteIntents {}; // key and modify index, from the last listing
    TimePoint listingDue {};
    bool isRunning = false;
    bool isStopped = false;

    bool isResponsible() const
    {
        auto current = configuration.current();
        if (!current || current->engines.empty())
            return false;
        std::set<EngineGroupId> groups;
        for (const auto& [id, engine] : current->engines)
            groups.insert(groupOf(engine));
        return leases.leaseOf(*groups.begin()).has_value();
    }

    asio::awaitable<void> listObsoleteRecords()
    {
        listingDue = timers.now() + listingPeriod;
        auto tickets = co_await store.list(std::string(ticketStorePrefix));
        auto intents = co_await store.list(std::string(intentPrefix));
        auto current = configuration.current();
        if (!tickets || !intents || !current)
            co_return;
        for (const auto& entry : *tickets) {
            if (isTicketObsolete(*current, entry.key))
                pendingRemovals.push_back({ entry.key, entry.modifyIndex });
        }
        std::map<std::string, uint64_t> obsoleteIntents;
        for (const auto& entry : *intents) {
            if (!isIntentObsolete(*current, entry.key))
                continue;
            obsoleteIntents.emplace(entry.key, entry.modifyIndex);
            auto previous = previousObsoleteIntents.find(entry.key);
            if (previous != previousObsoleteIntents.end() && previous->second == entry.modifyIndex)
                pendingRemovals.push_back({ entry.key, entry.modifyIndex });
        }
        previousObsoleteIntents = std::move(obsoleteIntents);
    }

    asio::awaitable<void> removePending()
    {
        size_t removed = 0;
        for (size_t i = 0; i < removalsPerPass && !pendingRemovals.empty() && isResponsible(); ++i) {
            auto next = std::move(pendingRemovals.front());
            pendingRemovals.pop_front();
            if (!isObsolete(*configuration.current(), next.key))
                continue;
            // Does not remove a record that was rewritten meanwhile. Failed removals are retried after the next listing.
            auto result = co_await store.removeIf(next.key, next.modifyIndex);
            removed += result && *result ? 1 : 0;
        }
        if (removed > 0)
            log.write(EventId::RecordsRemoved, { { "removed", removed }, { "waiting", pendingRemovals.size() } });
    }
};

RecordCleaner::RecordCleaner(asio::io_context& context, KeyValueStore& store, ConfigurationService& configuration, LeaseService& leases, TimerService& timers, Log& log)
    : m_context(context)
    , m_state(std::make_shared<State>(State { store, configuration, leases, timers, log }))
{
}

RecordCleaner::~RecordCleaner()
{
    m_state->isStopped = true;
}

void RecordCleaner::start()
{
    m_timer = m_state->timers.every(passPeriod, [this] { asio::co_spawn(m_context, runPass(m_state), asio::detached); });
}

asio::awaitable<void> RecordCleaner::stop()
{
    m_state->isStopped = true;
    m_timer.cancel();
    co_return;
}

asio::awaitable<void> RecordCleaner::runPass(std::shared_ptr<State> state)
{
    if (state->isRunning || state->isStopped)
        co_return;
    if (!state->isResponsible()) {
        state->pendingRemovals.clear();
        state->previousObsoleteIntents.clear();
        co_return;
    }
    state->isRunning = true;
    if (state->pendingRemovals.empty() && state->timers.now() >= state->listingDue)
        co_await state->listObsoleteRecords();
    if (!state->isStopped)
        co_await state->removePending();
    state->isRunning = false;
}

} // namespace chestnut
