#include "control/configuration/StoredConfigurationService.h"

#include "base/errors/MakeResult.h"
#include "control/configuration/ConfigurationDocument.h"
#include "control/tickets/TicketService.h"
#include "decisions/leases/Lease.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    constexpr auto pullMessage = "pullConfig";
    constexpr Duration watcherCheckPeriod = std::chrono::seconds(1);
    constexpr Duration shortestRetry = std::chrono::milliseconds(500);
    constexpr Duration longestRetry = std::chrono::seconds(4);

} // namespace

struct StoredConfigurationService::State {
    KeyValueStore& store;
    PeerService& peers;
    TimerService& timers;
    Log& log;
    std::shared_ptr<const Configuration> current {};
    std::vector<std::function<void(std::shared_ptr<const Configuration>)>> callbacks {};
    bool isStopped = false;
    bool isPulling = false;
    bool hasBeenReady = false;
    bool needsFullDocument = false;
    size_t nextAnnouncer = 0;
    DeltaHistory history {};
    CompressedDocument compressed {};

    Revision revision() const { return current ? current->revision : 0; }

    Revision newestAnnouncedRevision() const
    {
        Revision newest = 0;
        for (const auto& member : peers.members())
            newest = std::max(newest, member.revision);
        return newest;
    }

    void updateReadiness()
    {
        hasBeenReady = hasBeenReady || (current && revision() >= newestAnnouncedRevision());
    }

    void apply(Configuration configuration, std::string_view source)
    {
        if (current && configuration.revision < revision())
            log.write(EventId::ConfigurationIgnored, { { "revision", configuration.revision }, { "in_force", revision() }, { "source", source } });
        if (current && configuration.revision <= revision())
            return;
        if (current)
            history.add(deltaBetween(*current, configuration));
        current = std::make_shared<const Configuration>(std::move(configuration));
        needsFullDocument = false;
        updateReadiness();
        peers.announceRevision(revision());
        log.write(EventId::ConfigurationApplied, { { "revision", revision() }, { "source", source } });
        // A callback may apply a newer configuration; the remaining callbacks still get the one they are called for.
        auto applied = current;
        for (size_t i = 0; i < callbacks.size(); ++i)
            callbacks[i](applied);
    }

    void applyDocument(const std::string& document, std::string_view source)
    {
        applyDecoded(decodeStoredDocument(document), source);
    }

    void applyReply(const nlohmann::json& reply)
    {
        auto configuration = readPullReply(reply, current);
        // A delta that does not result in the sender's content is not applied; the full document is requested instead.
        needsFullDocument = !configuration;
        applyDecoded(std::move(configuration), "peer");
    }

    void applyDecoded(Result<Configuration> configuration, std::string_view source)
    {
        if (configuration)
            apply(std::move(*configuration), source);
        else
            log.write(EventId::ConfigurationUnreadable, { { "source", source }, { "reason", configuration.error().detail } });
    }

    /** Members that announced a newer revision, sorted with reachable members of this daemon's zone first. */
    std::vector<DaemonId> announcers() const
    {
        auto members = peers.members();
        auto self = peers.member(peers.self());
        std::erase_if(members, [this](const MemberRecord& member) { return member.id == peers.self() || member.revision <= revision(); });
        auto distance = [&self](const MemberRecord& member) {
            return (member.state == MemberState::Suspected ? 2 : 0) + (self && member.zone == self->zone ? 0 : 1);
        };
        std::ranges::stable_sort(members, {}, distance);
        std::vector<DaemonId> ids;
        ids.reserve(members.size());
        for (const auto& member : members)
            ids.push_back(member.id);
        return ids;
    }
};

StoredConfigurationService::StoredConfigurationService(asio::io_context& context, KeyValueStore& store, PeerService& peers, TimerService& timers, Log& log)
    : m_context(context)
    , m_state(std::make_shared<State>(State { store, peers, timers, log }))
{
}

StoredConfigurationService::~StoredConfigurationService()
{
    m_state->isStopped = true;
}

void StoredConfigurationService::start()
{
    auto state = m_state;
    state->peers.handle(pullMessage, [state](DaemonId, nlohmann::json request) { return handlePull(state, std::move(request)); });
    asio::co_spawn(m_context, watch(state), asio::detached);
    m_pullTimer = state->timers.every(pullPeriod, [this] { asio::co_spawn(m_context, pull(m_state), asio::detached); });
}

asio::awaitable<void> StoredConfigurationService::stop()
{
    m_state->isStopped = true;
    m_pullTimer.cancel();
    co_return;
}

std::shared_ptr<const Configuration> StoredConfigurationService::current() const
{
    return m_state->current;
}

bool StoredConfigurationService::isReady() const
{
    m_state->updateReadiness();
    return m_state->hasBeenReady;
}

void StoredConfigurationService::onChange(std::function<void(std::shared_ptr<const Configuration>)> callback)
{
    m_state->callbacks.push_back(std::move(callback));
}

void StoredConfigurationService::applyIfNewer(Configuration configuration)
{
    m_state->apply(std::move(configuration), "ticket");
}

Revision StoredConfigurationService::newestAnnouncedRevision() const
{
    return m_state->newestAnnouncedRevision();
}

asio::awaitable<void> StoredConfigurationService::watch(std::shared_ptr<State> state)
{
    uint64_t index = 0;
    auto retry = shortestRetry;
    while (!state->isStopped) {
        if (state->current && !isConfigurationWatcher(state->peers.self(), state->peers.members())) {
            index = 0;
            co_await state->timers.sleep(watcherCheckPeriod);
            continue;
        }
        auto read = co_await state->store.wait(std::string(configurationStoreKey), index, longestWait);
        if (state->isStopped)
            co_return;
        if (!read) {
            // Jitter by daemon, so that not all daemons call a recovered service at once.
            auto jitter = hash64(state->peers.self().value(), static_cast<uint64_t>(retry.count())) % 1000;
            co_await state->timers.sleep(retry / 2 + retry * static_cast<int64_t>(jitter) / 2000);
            retry = std::min(retry * 2, longestRetry);
            continue;
        }
        retry = shortestRetry;
        // A lower index means that the service was restored from a backup; waiting from the old one would miss changes.
        index = read->index < index ? 0 : read->index;
        if (read->entry)
            state->applyDocument(read->entry->value, "key_value");
        if (index == 0)
            co_await state->timers.sleep(shortestRetry);
    }
}

asio::awaitable<void> StoredConfigurationService::pull(std::shared_ptr<State> state)
{
    state->updateReadiness();
    if (state->isPulling || state->isStopped || state->newestAnnouncedRevision() <= state->revision())
        co_return;
    auto announcers = state->announcers();
    if (announcers.empty())
        co_return;
    state->isPulling = true;
    auto peer = announcers[state->nextAnnouncer % announcers.size()];
    auto request = makePullRequest(state->newestAnnouncedRevision(), state->needsFullDocument ? 0 : state->revision());
    auto reply = co_await state->peers.call(peer, pullMessage, std::move(request), pullTimeout);
    state->isPulling = false;
    if (reply && carriesDocument(*reply)) {
        state->nextAnnouncer = 0;
        state->applyReply(*reply);
    }
    if (state->newestAnnouncedRevision() > state->revision())
        ++state->nextAnnouncer;
}

asio::awaitable<Result<nlohmann::json>> StoredConfigurationService::handlePull(std::shared_ptr<State> state, nlohmann::json request)
{
    if (!state->current)
        co_return makeError(ErrorKind::NotReady, "this daemon has no configuration yet");
    co_return makeResult(makePullReply(request, *state->current, state->history, state->compressed));
}

} // namespace chestnut
