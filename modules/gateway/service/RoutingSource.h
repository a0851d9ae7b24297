#pragma once

#include "decisions/routes/RouteTable.h"
#include "gateway/store/StoreMirror.h"

#include <functional>
#include <memory>

namespace chestnut {

/** Decodes a stored configuration. Fails with ProtocolError. */
using RoutingConfigurationDecoder = std::function<Result<RoutingConfiguration>(std::string_view value)>;

/** Provides the latest routing configuration. It never returns to an older version during the lifetime of the process. */
class RoutingSource : public Service {
public:
    static constexpr std::string_view serviceName = "routingsource";
    std::string_view name() const final { return serviceName; }

    RoutingSource(asio::io_context&, VersionedStore&, TimerService&, Log&, std::string key, RoutingConfigurationDecoder, std::function<void(const RoutingConfiguration&)> onChange);

    void start() override { m_mirror->start(); }

    /** See StoreMirror::restartWatch(). */
    void restartWatch() { m_mirror->restartWatch(); }

    /** The current table; null before the first configuration. A request keeps the table that it started with. */
    std::shared_ptr<const RouteTable> table() const { return m_table; }

    /** The version in force; zero before the first configuration. */
    uint64_t version() const { return m_table ? m_table->configuration().version : 0; }
    /** The bytes of the configuration in force, as the store holds them; null before the first configuration. */
    std::shared_ptr<const std::string> value() const { return m_value; }
    /** Whether the store does not respond to this daemon's calls for the configuration. */
    bool isStoreFailing() const { return m_mirror->isFailing(); }

    /** Applies a configuration that another daemon has sent, if its version is higher than the one in force. Returns whether it was
        applied. Fails with ProtocolError. */
    Result<bool> applyFromPeer(std::string value, const DaemonId&);

private:
    void onItem(const StoreItem&);
    void apply(RoutingConfiguration, std::string value);
    /** Writes one line for a version with ambiguous or unusable accounts or keys. */
    void logAccountProblems() const;

    Log& m_log;
    std::string m_key;
    RoutingConfigurationDecoder m_decode;
    std::function<void(const RoutingConfiguration&)> m_onChange;
    DigestSecret m_secret; /**< of the accounts' keys, random for each process */
    std::shared_ptr<StoreMirror> m_mirror;
    std::shared_ptr<const RouteTable> m_table;
    std::shared_ptr<const std::string> m_value; /**< the encoded configuration of the table */
};

} // namespace chestnut
