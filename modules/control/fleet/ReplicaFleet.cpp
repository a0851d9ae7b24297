#include "control/fleet/ReplicaFleet.h"

#include "base/errors/MakeResult.h"
#include "kernel/settings/SettingsReader.h"
#include "kernel/tasks/BackgroundTask.h"
#include "kernel/tasks/ScopedFlag.h"

namespace chestnut {

namespace {

    struct ReplicaEntry {
        bool acceptsWork = false;
        std::optional<TimePoint> returnedAt; /**< empty for replicas that already accepted work when the daemon started */
    };

    struct NoticeEntry {
        EngineNotice notice;
        TimePoint validUntil;
    };

    /** Removes the port from an address such as `10.0.0.1:9000`. */
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
    bool hasReadIntents = false;
    TimePoint nextIntentRead {};
    bool isStopped = false;

    bool isUnavailable(const EngineId& engine) const
    {
        auto found = notices.find(engine);
        return found != notices.end() && found->second.notice.isUnavailable && timers.now() < found->second.validUntil;
    }

    std::string_view drainReason(Membership membership, const std::string& address, const std::string& id) const
    {
        if (membership == Membership::Leaving)
            return "a ticket marked the replica as leaving";
        if (leavingAddresses.contains(hostOf(address)))
            return "the VM list marks the VM as leaving";
        return isUnavailable(EngineId(id)) ? "unavailable for a change" : "";
    }

    bool updateReplica(const ReplicaId& id, std::string_view reason)
    {
        auto [found, isNew] = replicas.emplace(id, ReplicaEntry {});
        auto& entry = found->second;
        bool acceptsWork = reason.empty();
        if (!isNew && entry.acceptsWork == acceptsWork)
            return false;
        entry.acceptsWork = acceptsWork;
        if (acceptsWork && hasConfiguration) {
            entry.returnedAt = timers.now();
            log.write(EventId::ReplicaReturned, { { "replica", id } });
        } else if (!acceptsWork) {
            log.write(EventId::DrainStarted, { { "replica", id }, { "reason", reason } });
        }
        return true;
    }

    bool eraseRemovedReplicas(const Configuration& current)
    {
        auto removed = std::erase_if(replicas, [&current](const auto& entry) {
            return !current.engines.contains(entry.first.value()) && !current.backendServers.contains(entry.first.value());
        });
        std::erase_if(notices, [&current](const auto& entry) { return !current.engines.contains(entry.first.value()); });
        std::erase_if(roles, [&current](const auto& entry) { return !current.engines.contains(entry.first.value()); });
        return removed > 0;
    }

    void updateAllReplicas(bool isRoleChanged = false)
    {
        auto current = configuration.current();
        if (!current)
            return;
        bool isChanged = eraseRemovedReplicas(*current) || isRoleChanged;
        for (const auto& [id, engine] : current->engines)
            isChanged = updateReplica(ReplicaId(id), drainReason(engine.membership, engine.address, id)) || isChanged;
        for (const auto& [id, server] : current->backendServers)
            isChanged = updateReplica(ReplicaId(id), drainReason(server.membership, server.address, id)) || isChanged;
        hasConfiguration = true;
        for (size_t i = 0; isChanged && i < callbacks.size(); ++i)
            callbacks[i]();
    }

    void applyNotice(const EngineNotice& notice)
    {
        auto& entry = notices[notice.engine];
        if (std::tie(notice.fencingNumber, notice.counter) < std::tie(entry.notice.fencingNumber, entry.notice.counter))
            return;
        entry = { notice, timers.now() + noticeValidity };
        bool isRoleChanged = false;
        if (!notice.isUnavailable) {
            auto [role, isNew] = roles.emplace(notice.engine, notice.role);
            isRoleChanged = isNew || role->second != notice.role;
            role->second = notice.role;
        }
        updateAllReplicas(isRoleChanged);
    }

    /** Ends expired notices and makes the intents due to be read, as they show whether the change has taken place. */
    void expireNotices()
    {
        for (auto& [engine, entry] : notices) {
            if (!entry.notice.isUnavailable || timers.now() < entry.validUntil)
                continue;
            entry.notice.isUnavailable = false;
            nextIntentRead = timers.now();
        }
    }

    void updateLeavingVms(const std::vector<Vm>& vms)
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
        updateAllReplicas();
    }

    void applyIntents(const std::vector<KeyValueEntry>& entries)
    {
        auto current = configuration.current();
        for (const auto& entry : entries) {
            auto id = entry.key.substr(intentPrefix.size());
            auto intent = decodeIntent(entry.value);
            auto engine = current->engines.find(id);
            if (intent && engine != current->engines.end() && !isUnavailable(EngineId(id)))
                roles[EngineId(id)] = desiredEngine(*current, engine->second, *intent, std::nullopt).role;
        }
        updateAllReplicas(true);
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
    state->configuration.onChange([state](const std::shared_ptr<const Configuration>&) { state->updateAllReplicas(); });
    state->peers.handle(engineNoticeMessage, [state](DaemonId, nlohmann::json body) { return handleNotice(state, std::move(body)); });
    state->updateAllReplicas();
    m_timers.push_back(state->timers.every(vmPollPeriod, [this] { spawnTask(m_context.get_executor(), m_state->log, "vm_list", pollVms(m_state)); }));
    m_timers.push_back(state->timers.every(expiryPeriod, [this] {
        m_state->expireNotices();
        m_state->updateAllReplicas();
        spawnTask(m_context.get_executor(), m_state->log, "intents", readIntents(m_state));
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
    ScopedFlag isPolling(state->isPolling);
    auto vms = co_await state->vmList.fetch();
    if (vms && !state->isStopped)
        state->updateLeavingVms(*vms);
}

asio::awaitable<void> ReplicaFleet::readIntents(std::shared_ptr<State> state)
{
    if (!state->configuration.current() || state->timers.now() < state->nextIntentRead)
        co_return;
    state->nextIntentRead = state->timers.now() + (state->hasReadIntents ? intentReadPeriod : intentReadPeriod / 30);
    auto entries = co_await state->store.list(std::string(intentPrefix));
    if (!entries || state->isStopped)
        co_return;
    state->hasReadIntents = true;
    state->nextIntentRead = state->timers.now() + intentReadPeriod;
    state->applyIntents(*entries);
}

asio::awaitable<Result<nlohmann::json>> ReplicaFleet::handleNotice(std::shared_ptr<State> state, nlohmann::json body)
{
    auto notice = noticeFromJson(body);
    if (!notice)
        co_return notice.error();
    state->applyNotice(*notice);
    co_return makeResult(nlohmann::json { { "taken", true } });
}

bool ReplicaFleet::acceptsNewWork(const ReplicaId& id) const
{
    auto found = m_state->replicas.find(id);
    return found != m_state->replicas.end() && found->second.acceptsWork;
}

double ReplicaFleet::slowStartShare(const ReplicaId& id) const
{
    auto found = m_state->replicas.find(id);
    if (found == m_state->replicas.end() || !found->second.acceptsWork)
        return 0;
    if (!found->second.returnedAt)
        return 1;
    return chestnut::slowStartShare(m_state->timers.now() - *found->second.returnedAt);
}

EngineRole ReplicaFleet::roleOf(const EngineId& id) const
{
    if (auto role = m_state->roles.find(id); role != m_state->roles.end())
        return role->second;
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

void ReplicaFleet::applyNotice(const EngineNotice& notice)
{
    m_state->applyNotice(notice);
}

} // namespace chestnut
