#include "GatewayDaemonSettings.h"

namespace chestnut {

using namespace std::chrono_literals;

namespace {

    Duration secondsSetting(SettingsReader& reader, std::string_view key, double fallback, double highest)
    {
        return fromSeconds(reader.number("bounds", key, fallback, 0, highest));
    }

    void readBounds(SettingsReader& reader, GatewayDaemonSettings& settings)
    {
        auto& bounds = settings.gateway.bounds;
        bounds.retryBudget.ratio = reader.number("bounds", "retry_ratio", bounds.retryBudget.ratio, 0, 1);
        bounds.retryBudget.slack = reader.number("bounds", "retry_slack", bounds.retryBudget.slack, 0, 100'000);
        bounds.retryBudget.window = secondsSetting(reader, "retry_window_seconds", 10, 3600);
        bounds.takeoverWait = std::chrono::milliseconds(reader.integer("bounds", "takeover_wait_ms", 3000, 0, 600'000));
        bounds.longestDiscoveryValidity = secondsSetting(reader, "discovery_seconds", 5, 3600);
        bounds.soundSilence = std::chrono::milliseconds(reader.integer("bounds", "sound_silence_ms", 1500, 0, 600'000));
        settings.shutdownTimeout = secondsSetting(reader, "shutdown_seconds", 8, 3600);
    }

    void readTasks(SettingsReader& reader, GatewayDaemonSettings& settings)
    {
        platform::TaskClientSettings tasks;
        tasks.endpoint = reader.endpoint("tasks", "endpoint", Endpoint());
        tasks.callsPerSecond = reader.number("tasks", "calls_per_second", tasks.callsPerSecond, 0.1, 100'000);
        UsageWindows windows;
        windows.length = fromSeconds(reader.number("tasks", "usage_window_seconds", 0, 0, 3600));
        windows.dueAfter = fromSeconds(reader.number("tasks", "usage_due_seconds", toSeconds(windows.dueAfter), 0, 3600));
        if (tasks.endpoint.port == 0)
            return;
        settings.tasks = tasks;
        if (windows.length > Duration::zero())
            settings.gateway.usage = windows;
    }

} // namespace

GatewayDaemonSettings readGatewayDaemonSettings(SettingsReader& reader)
{
    GatewayDaemonSettings settings;
    settings.clientListener = reader.endpoint("listen", "front");
    settings.readinessListener = reader.endpoint("listen", "readiness");
    settings.discoveryListener = reader.endpoint("listen", "discovery");
    if (auto metrics = reader.endpoint("listen", "metrics", Endpoint()); metrics.port != 0)
        settings.metricsListener = metrics;
    if (auto peerApi = reader.endpoint("listen", "peer_api", Endpoint()); peerApi.port != 0)
        settings.peerApiListener = peerApi;
    settings.store = reader.endpoint("store", "endpoint");
    auto& self = settings.gateway.self;
    self.id = DaemonId(reader.text("daemon", "id"));
    self.zone = AvailabilityZone(reader.text("daemon", "zone"));
    self.linkMegabits = static_cast<uint32_t>(reader.number("daemon", "link_megabits", 0, 0, 1e6));
    self.clientEndpoint = settings.clientListener;
    self.configurationEndpoint = settings.peerApiListener;
    self.peerEndpoint = reader.endpoint("listen", "peers");
    settings.memoryMegabytes = static_cast<uint32_t>(reader.integer("limits", "memory_megabytes", 0, 0, 1'000'000));
    readBounds(reader, settings);
    readTasks(reader, settings);
    auto level = reader.oneOf("log", "level", "info", { "debug", "info", "warning", "error" });
    for (auto severity : { Severity::Debug, Severity::Info, Severity::Warning, Severity::Error }) {
        if (nameOf(severity) == level)
            settings.logLevel = severity;
    }
    return settings;
}

} // namespace chestnut
