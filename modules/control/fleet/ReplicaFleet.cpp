#include "control/fleet/ReplicaFleet.h"

#include "kernel/settings/SettingsReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    struct ReplicaEntry {
        bool accepts = false;
        std::optional<TimePoint> returnedAt; /**< empty for replicas that accepted work when the daemon started */
    };

    struct NoticeEntry {
        EngineNotice notice;
        TimePoint validUntil;
    };

    /** `10.0.0.1:9000` without its port. */
    std::string hostOf(const std::string& address)
    {
        auto endpoint = parseEndpoint(address);
        return endpoint ? endpoint->address : address;
    }

} // namespace

struct ReplicaFleet::State {
    ConfigurationService& configuration;
    VmList& vmList;
    KeyValueStore& store;
    PeerService& peers;
    TimerService& timers;
    Log& log;
    std::map<ReplicaId, ReplicaEntry> replicas {};
    std::map<EngineId, NoticeEntry> notices {};
    std::map<EngineId, EngineRole> roles {};
    std::set<std::string> leavingAddresses {};
    std::vector<std::function<void()>> callbacks {};
    bool hasConfiguration = false;
    bool isPolling = false;
    bool hasIntents = false;
    TimePoint intentsDue {};
    bool isStopped = false;

    bool isUnavailable(const EngineId& engine) const
    {
        auto found = notices.find(engine);
        return found != notices.end() && found->second.notice.isUnavailable && timers.now() < found->second.validUntil;
    }

    std::string_view refusalOf(Membership membership, const std::string& address, const std::string& id) const
    {
        if (membership == Membership::Leaving)
            return "leaving by ticket";
        if (leavingAddresses.contains(hostOf(address)))
            return "leaving by VM list";
        return isUnavailable(EngineId(id)) ? "away for a change" : "";
    }

    bool set(const ReplicaId& id, std::string_view refusal)
    {
        auto [found, isNew] = replicas.emplace(id, ReplicaEntry {});
        auto& entry = found->second;
        bool accepts = refusal.empty();
        if (!isNew && entry.accepts == accepts)
            return false;
        entry.accepts = accepts;
        if (accepts && hasConfiguration) {
            entry.returnedAt = timers.now();
            log.write(EventId::ReplicaReturned, { { "replica", id } });
        } else if (!accepts) {
            log.write(EventId::DrainStarted, { { "replica", id }, { "reason", refusal } });
        }
        return true;
    }

    bool forgetRemoved(const Configuration& current)
    {
        auto removed = std::erase_if(replicas, [&current](const auto& entry) {
            return !current.engines.contains(entry.first.value()) && !current.backendServers.contains(entry.first.value());
        });
        std::erase_if(notices, [&current](const auto& entry) { return !current.engines.contains(entry.first.value()); });
        std::erase_if(roles, [&current](const auto& entry) { return !current.engines.contains(entry.first.value()); });
        return removed > 0;
    }

    void update(bool hasRoleChange = false)
    {
        auto current = configuration.current();
        if (!current)
            return;
        bool hasChange = forgetRemoved(*current) || hasRoleChange;
        for (const auto& [id, engine] : current->engines)
            hasChange = set(ReplicaId(id), refusalOf(engine.membership, engine.address, id)) || hasChange;
        for (const auto& [id, server] : current->backendServers)
            hasChange = set(ReplicaId(id), refusalOf(server.membership, server.address, id)) || hasChange;
        hasConfiguration = true;
        for (size_t i = 0; hasChange && i < callbacks.size(); ++i)
            callbacks[i]();
    }

    void take(const EngineNotice& notice)
    {
        auto& entry = notices[notice.engine];
        if (std::tie(notice.fencingNumber, notice.counter) < std::tie(entry.notice.fencingNumber, entry.notice.counter))
            return;
        entry = { notice, timers.now() + noticeValidity };
        bool hasRoleChange = false;
        if (!notice.isUnavailable) {
            auto [role, isNew] = roles.emplace(notice.engine, notice.role);
            hasRoleChange = isNew || role->second != notice.role;
            role->second = notice.role;
        }
        update(hasRoleChange);
    }

    /** Ends notices whose holder stopped repeating them. Whether the change came true is read from the intents. */
    void expireNotices()
    {
        for (auto& [engine, entry] : notices) {
            if (!entry.notice.isUnavailable || timers.now() < entry.validUntil)
                continue;
            entry.notice.isUnavailable = false;
            intentsDue = timers.now();
        }
    }

    void setLeaving(const std::vector<Vm>& vms)
    {
        std::set<std::string> leaving;
        for (const auto& vm : vms) {
            if (vm.state == VmState::Leaving)
                leaving.insert(vm.address);
        }
        for (const auto& address : leaving) {
            if (!leavingAddresses.contains(address))
                log.write(EventId::VmLeaving, { { "address", address } });
        }
        leavingAddresses = std::move(leaving);
        update();
    }

    void takeIntents(const std::vector<KeyValueEntry>& entries)
    {
        auto current = configuration.current();
        for (const auto& entry : entries) {
            auto id = entry.key.substr(intentPrefix.size());
            auto intent = decodeIntent(entry.value);
            auto engine = current->engines.find(id);
            if (intent && engine != current->engines.end() && !isUnavailable(EngineId(id)))
                roles[EngineId(id)] = desiredEngine(*current, engine->second, *intent, std::nullopt).role;
        }
        update(true);
    }
};

ReplicaFleet::ReplicaFleet(asio::io_context& context, ConfigurationService& configuration, VmList& vmList, KeyValueStore& store, PeerService& peers,
    TimerService& timers, Log& log)
    : m_context(context)
    , m_state(std::make_shared<State>(State { configuration, vmList, store, peers, timers, log }))
{
}

ReplicaFleet::~ReplicaFleet()
{
    m_state->isStopped = true;
}

void ReplicaFleet::start()
{
    auto state = m_state;
    state->configuration.onChange([state](const std::shared_ptr<const Configuration>&) { state->update(); });
    state->peers.handle(engineNoticeMessage, [state](DaemonId, nlohmann::json body) { return answerNotice(state, std::move(body)); });
    state->update();
    m_timers.push_back(state->timers.every(vmPollPeriod, [this] { asio::co_spawn(m_context, pollVms(m_state), asio::detached); }));
    m_timers.push_back(state->timers.every(expiryPeriod, [this] {
        m_state->expireNotices();
        m_state->update();
        asio::co_spawn(m_context, readIntents(m_state), asio::detached);
    }));
}

asio::awaitable<void> ReplicaFleet::stop()
{
    m_state->isStopped = true;
    m_timers.clear();
    co_return;
}

asio::awaitable<void> ReplicaFleet::pollVms(std::shared_ptr<State> state)
{
    if (state->isPolling)
        co_return;
    state->isPolling = true;
    auto vms = co_await state->vmList.fetch();
    state->isPolling = false;
    if (vms && !state->isStopped)
        state->setLeaving(*vms);
}

asio::awaitable<void> ReplicaFleet::readIntents(std::shared_ptr<State> state)
{
    if (!state->configuration.current() || state->timers.now() < state->intentsDue)
        co_return;
    state->intentsDue = state->timers.now() + (state->hasIntents ? intentReadPeriod : intentReadPeriod / 30);
    auto entries = co_await state->store.list(std::string(intentPrefix));
    if (!entries || state->isStopped)
        co_return;
    state->hasIntents = true;
    state->intentsDue = state->timers.now() + intentReadPeriod;
    state->takeIntents(*entries);
}

asio::awaitable<Result<nlohmann::json>> ReplicaFleet::answerNotice(std::shared_ptr<State> state, nlohmann::json body)
{
    auto notice = noticeFromJson(body);
    if (!notice)
        co_return notice.error();
    state->take(*notice);
    co_return nlohmann::json { { "taken", true } };
}

bool ReplicaFleet::acceptsNewWork(const ReplicaId& id) const
{
    auto found = m_state->replicas.find(id);
    return found != m_state->replicas.end() && found->second.accepts;
}

double ReplicaFleet::slowStartShare(const ReplicaId& id) const
{
    auto found = m_state->replicas.find(id);
    if (found == m_state->replicas.end() || !found->second.accepts)
        return 0;
    if (!found->second.returnedAt)
        return 1;
    return chestnut::slowStartShare(m_state->timers.now() - *found->second.returnedAt);
}

EngineRole ReplicaFleet::roleOf(const EngineId& id) const
{
    if (auto known = m_state->roles.find(id); known != m_state->roles.end())
        return known->second;
    auto current = m_state->configuration.current();
    if (!current)
        return EngineRole::Mixed;
    auto engine = current->engines.find(id.value());
    return engine == current->engines.end() ? EngineRole::Mixed : engine->second.role;
}

void ReplicaFleet::onChange(std::function<void()> callback)
{
    m_state->callbacks.push_back(std::move(callback));
}

void ReplicaFleet::take(const EngineNotice& notice)
{
    m_state->take(notice);
}

} // namespace chestnut
