#pragma once

#include "gateway/service/Gateway.h"
#include "http/server/HttpServer.h"
#include "kernel/logging/ConsoleLog.h"
#include "kernel/settings/SettingsReader.h"
#include "platform/TaskClient.h"

namespace chestnut {

/** Settings of a daemon that routes by host and path as configured in a store; docs/gateway-settings.md explains each. */
struct GatewayDaemonSettings {
    GatewaySettings gateway;
    Endpoint clientListener;
    Endpoint readinessListener;
    Endpoint discoveryListener;
    std::optional<Endpoint> metricsListener;
    std::optional<Endpoint> peerApiListener; /**< serves the configuration to other daemons */
    Endpoint store;
    std::optional<platform::TaskClientSettings> tasks; /**< absent: no singleton tasks */
    uint32_t memoryMegabytes = 0; /**< of the VM; zero: unknown */
    Duration shutdownTimeout = std::chrono::seconds(8);
    Severity logLevel = Severity::Info;

    bool operator==(const GatewayDaemonSettings&) const = default;
};

/** Reads and validates all settings. The reader collects every fault; the daemon starts only when there are none. */
GatewayDaemonSettings readGatewayDaemonSettings(SettingsReader&);

} // namespace chestnut
