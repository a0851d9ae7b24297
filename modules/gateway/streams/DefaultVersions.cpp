#include "gateway/streams/DefaultVersions.h"

#include "gateway/streams/StreamVersionCodec.h"
#include "kernel/tasks/BackgroundTask.h"

namespace chestnut {

namespace {

    constexpr std::string_view keyPrefix = "chestnutroute/stream-defaults/";
    constexpr Duration checkPeriod = std::chrono::milliseconds(250);
    /** Multiplied by the number of daemons. */
    constexpr Duration writeSpread = std::chrono::milliseconds(10);
    /** An engine may serve for this long after its entry was removed, and a daemon may be this much behind the store. */
    constexpr Duration departureTime = std::chrono::seconds(20);

    std::string keyOf(const ServiceId& service)
    {
        return std::string(keyPrefix) + service.value();
    }

} // namespace

DefaultVersions::DefaultVersions(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::shared_ptr<StoreMirror> mirror, const ReplicaDirectory& replicas, std::function<Duration()> streamLifetime, std::function<uint32_t()> daemons)
    : m_context(context)
    , m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_mirror(std::move(mirror))
    , m_replicas(replicas)
    , m_streamLifetime(std::move(streamLifetime))
    , m_daemons(std::move(daemons))
{
    m_mirror->subscribe(std::string(keyPrefix), { [this](const StoreItem& item) { onItem(item); }, [this](const std::string& key) { onRemoval(key); } });
}

void DefaultVersions::start()
{
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "default_versions", [this] { return maintain(); });
}

std::optional<DefaultVersion> DefaultVersions::find(const ServiceId& service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() ? std::nullopt : found->second.present;
}

asio::awaitable<Result<std::optional<DefaultVersion>>> DefaultVersions::findOrRead(ServiceId service)
{
    if (auto present = find(service))
        co_return present;
    auto key = keyOf(service);
    auto page = co_await m_store.list(key, {});
    if (!page)
        co_return page.error();
    for (const auto& item : page->items) {
        if (item.key == key)
            onItem(item);
    }
    co_return find(service);
}

asio::awaitable<void> DefaultVersions::maintain()
{
    while (true) {
        co_await m_timers.sleep(checkPeriod);
        if (!m_mirror->isListed() || m_mirror->isFailing())
            continue;
        for (auto& [service, counts] : m_replicas.engineVersions())
            co_await updateService(service, std::move(counts));
    }
}

asio::awaitable<void> DefaultVersions::updateService(ServiceId service, VersionCounts counts)
{
    auto now = m_timers.now();
    auto& state = m_services[service];
    recordPresence(state.presence, std::move(counts), now);
    auto next = state.isLostInStore ? state.present : nextDefaultVersion(state.present, state.presence, now, m_streamLifetime() + departureTime);
    if (!next) {
        state.writeDueAt.reset();
        co_return;
    }
    // Without a default every stream needs a record, so that the first one is written at once.
    auto delay = state.present ? writeDelay() : Duration::zero();
    state.writeDueAt = state.writeDueAt.value_or(now + delay);
    if (now >= *state.writeDueAt)
        co_await write(std::move(service), std::move(*next));
}

asio::awaitable<void> DefaultVersions::write(ServiceId service, DefaultVersion next)
{
    auto key = keyOf(service);
    auto value = encodeDefaultVersion(next);
    auto revision = co_await m_store.transact({ { key, m_services[service].revision } }, { { key, value, 0 } }, {});
    if (revision) {
        onItem({ key, value, *revision, 0 });
        co_return;
    }
    // After a conflict the mirror receives the default of another daemon.
    m_services[service].writeDueAt = m_timers.now() + writeDelay() + checkPeriod;
    if (revision.error().kind != ErrorKind::PlatformConflict)
        m_log.write(EventId::DefaultVersionNotStored, { { "service", service }, { "version", next.version }, { "detail", revision.error().detail } });
}

void DefaultVersions::onItem(const StoreItem& item)
{
    ServiceId service(item.key.substr(keyPrefix.size()));
    auto decoded = decodeDefaultVersion(item.value);
    if (!decoded) {
        m_log.write(EventId::StoreEntryUnreadable, { { "key", item.key }, { "detail", decoded.error().detail } });
        return;
    }
    auto& state = m_services[service];
    state.revision = item.revision;
    // Streams have begun without a record at the newer default, which is therefore written again.
    state.isLostInStore = state.present && decoded->generation < state.present->generation;
    if (state.isLostInStore || state.present == *decoded)
        return;
    state.present = *decoded;
    state.writeDueAt.reset();
    // Streams may have begun at this version until now.
    state.presence.lastSeenAt.try_emplace(decoded->version, m_timers.now());
    m_log.write(EventId::DefaultVersionChanged, { { "service", service }, { "version", decoded->version }, { "generation", decoded->generation } });
}

void DefaultVersions::onRemoval(const std::string& key)
{
    auto found = m_services.find(ServiceId(key.substr(keyPrefix.size())));
    if (found == m_services.end())
        return;
    found->second.revision = 0;
    found->second.isLostInStore = found->second.present.has_value();
}

Duration DefaultVersions::writeDelay()
{
    std::uniform_int_distribution<Duration::rep> spread(0, (writeSpread * m_daemons()).count());
    return Duration(spread(m_random));
}

} // namespace chestnut
