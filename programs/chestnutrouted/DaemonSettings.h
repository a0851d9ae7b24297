#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "http/server/HttpServer.h"
#include "infrastructure/client/PlatformClient.h"
#include "kernel/logging/ConsoleLog.h"
#include "kernel/settings/SettingsReader.h"

#include <string>
#include <vector>

namespace chestnut {

/** All settings of the daemon; docs/settings.md explains each. */
struct DaemonSettings {
    DaemonId id;
    std::string deployment;
    AvailabilityZone zone;
    Region region;

    Endpoint callerListener;
    Endpoint operatorListener;
    Endpoint peerListener;
    std::vector<Endpoint> peerSeeds;

    PlatformSettings platform;
    Duration vmListPeriod = std::chrono::seconds(2);
    uint16_t vmPeerPort = 0;

    HttpServerLimits callerLimits;
    Duration shutdownTimeout = std::chrono::minutes(10);

    LogFormat logFormat = LogFormat::Logfmt;
    Severity logLevel = Severity::Info;
};

/** Reads and validates all settings. The reader collects every fault; the daemon starts only when there are none. */
DaemonSettings readDaemonSettings(SettingsReader&);

/** One line for each fault: the setting, its value and the allowed values. */
std::string describeFaults(const std::vector<SettingFault>&);

} // namespace chestnut
