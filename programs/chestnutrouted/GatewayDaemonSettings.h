#pragma once

#include "gateway/service/Gateway.h"
#include "http/server/HttpServer.h"
#include "kernel/logging/ConsoleLog.h"
#include "kernel/settings/SettingsReader.h"

namespace chestnut {

/** Settings of a daemon that routes requests by host and path from a store; docs/gateway-settings.md explains each. */
struct GatewayDaemonSettings {
    GatewaySettings gateway;
    Endpoint frontListener;
    Endpoint readinessListener;
    Endpoint discoveryListener;
    std::optional<Endpoint> metricsListener;
    Endpoint store;
    Duration shutdownTimeout = std::chrono::seconds(8);
    Severity logLevel = Severity::Info;

    bool operator==(const GatewayDaemonSettings&) const = default;
};

/** Reads and checks all settings. The faults are complete: nothing starts unless the list is empty. */
GatewayDaemonSettings readGatewayDaemonSettings(SettingsReader&);

} // namespace chestnut
