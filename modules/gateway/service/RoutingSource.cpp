#include "gateway/service/RoutingSource.h"

namespace chestnut {

RoutingSource::RoutingSource(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::string key, RoutingConfigurationDecoder decode, std::function<void(const RoutingConfiguration&)> onChange)
    : m_log(log)
    , m_key(std::move(key))
    , m_decode(std::move(decode))
    , m_onChange(std::move(onChange))
{
    m_mirror = std::make_shared<StoreMirror>(context, store, timers, log, m_key, [] { return Duration::zero(); });
    m_mirror->subscribe(m_key, { [this](const StoreItem& item) { onItem(item); },
                                   // Operators replace the configuration and never remove it, so a removal is ignored.
                                   [this](const std::string& removed) { m_log.write(EventId::ConfigurationIgnored, { { "key", removed }, { "reason", "removed" } }); } });
}

void RoutingSource::onItem(const StoreItem& item)
{
    if (item.key != m_key)
        return;
    auto configuration = m_decode(item.value);
    if (!configuration) {
        m_log.write(EventId::ConfigurationUnreadable, { { "revision", item.revision }, { "detail", configuration.error().detail } });
        return;
    }
    if (m_table && configuration->version <= m_table->configuration().version) {
        m_log.write(EventId::ConfigurationIgnored, { { "version", configuration->version }, { "in_force", m_table->configuration().version } });
        return;
    }
    m_table = std::make_shared<const RouteTable>(std::move(*configuration));
    const auto& current = m_table->configuration();
    m_log.write(EventId::ConfigurationApplied, { { "version", current.version }, { "routes", current.routes.size() }, { "services", current.services.size() }, { "revision", item.revision } });
    m_onChange(current);
}

} // namespace chestnut
