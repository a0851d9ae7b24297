#include "gateway/service/RoutingSource.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace chestnut {

namespace {

    /** Bounds of the names in a log line on invalid accounts. */
    constexpr size_t maximumLoggedAccounts = 10;
    constexpr size_t maximumLoggedNameBytes = 60;

    DigestSecret randomSecret()
    {
        std::random_device random;
        DigestSecret secret {};
        std::ranges::generate(secret, [&random] { return static_cast<uint8_t>(random()); });
        return secret;
    }

} // namespace

RoutingSource::RoutingSource(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::string key, RoutingConfigurationDecoder decode, std::function<void(const RoutingConfiguration&)> onChange)
    : m_log(log)
    , m_key(std::move(key))
    , m_decode(std::move(decode))
    , m_onChange(std::move(onChange))
    , m_secret(randomSecret())
{
    m_mirror = std::make_shared<StoreMirror>(context, store, timers, log, m_key, [] { return Duration::zero(); });
    m_mirror->subscribe(m_key, { [this](const StoreItem& item) { onItem(item); },
                                   // Operators replace the configuration and never remove it, so a removal is ignored.
                                   [this](const std::string& removed) { m_log.write(EventId::ConfigurationIgnored, { { "key", removed }, { "reason", "removed" } }); } });
}

void RoutingSource::logAccountProblems() const
{
    if (!m_table->accounts() || m_table->accounts()->problems().empty())
        return;
    LogFields fields { { "version", m_table->configuration().version } };
    std::map<AccountFault, size_t> counts;
    std::set<AccountId> names;
    for (const auto& [account, fault] : m_table->accounts()->problems()) {
        ++counts[fault];
        if (names.size() < maximumLoggedAccounts)
            names.insert(account);
    }
    for (const auto& [fault, count] : counts)
        fields.emplace_back(nameOf(fault), count);
    std::string list;
    for (const auto& name : names)
        list += (list.empty() ? "" : ",") + name.value().substr(0, maximumLoggedNameBytes);
    fields.emplace_back("accounts", list);
    m_log.write(EventId::AccountsInvalid, std::move(fields));
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
    if (m_table && configuration->version <= version()) {
        m_log.write(EventId::ConfigurationIgnored, { { "version", configuration->version }, { "in_force", version() } });
        return;
    }
    apply(std::move(*configuration), item.value);
    m_log.write(EventId::ConfigurationApplied, { { "version", version() }, { "routes", m_table->configuration().routes.size() }, { "services", m_table->configuration().services.size() }, { "revision", item.revision } });
}

Result<bool> RoutingSource::applyFromPeer(std::string value, const DaemonId& daemon)
{
    auto configuration = m_decode(value);
    if (!configuration)
        return configuration.error();
    if (m_table && configuration->version <= version())
        return false;
    apply(std::move(*configuration), std::move(value));
    m_log.write(EventId::ConfigurationApplied, { { "version", version() }, { "routes", m_table->configuration().routes.size() }, { "services", m_table->configuration().services.size() }, { "daemon", daemon } });
    return true;
}

void RoutingSource::apply(RoutingConfiguration configuration, std::string value)
{
    m_table = std::make_shared<const RouteTable>(std::move(configuration), m_secret);
    m_value = std::make_shared<const std::string>(std::move(value));
    logAccountProblems();
    m_onChange(m_table->configuration());
}

} // namespace chestnut
