#include "DaemonSettings.h"

#include <algorithm>
#include <cctype>

namespace chestnut {

using namespace std::chrono_literals;

namespace {

    constexpr int64_t kibibyte = 1024;
    constexpr int64_t mebibyte = 1024 * kibibyte;

    bool isName(std::string_view text)
    {
        return !text.empty() && text.size() <= 64
            && std::ranges::all_of(text, [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
    }

    std::string readName(SettingsReader& reader, std::string_view section, std::string_view key)
    {
        auto name = reader.text(section, key);
        if (!name.empty() && !isName(name))
            reader.addFault({ std::string(section) + "." + std::string(key), name, "1 to 64 characters of A-Z a-z 0-9 . _ -" });
        return name;
    }

    void readIdentity(SettingsReader& reader, DaemonSettings& settings)
    {
        settings.id = DaemonId(readName(reader, "daemon", "id"));
        settings.deployment = readName(reader, "daemon", "deployment");
        settings.zone = AvailabilityZone(readName(reader, "daemon", "zone"));
        settings.region = Region(readName(reader, "daemon", "region"));
        settings.shutdownTimeout = reader.duration("daemon", "shutdown_timeout", settings.shutdownTimeout, 15s, 24h);
    }

    void readListeners(SettingsReader& reader, DaemonSettings& settings)
    {
        settings.callerListener = reader.endpoint("listen", "callers");
        settings.operatorListener = reader.endpoint("listen", "operators");
        settings.peerListener = reader.endpoint("listen", "peers");
        settings.peerSeeds = reader.endpoints("peers", "seeds");
        if (settings.callerListener == settings.operatorListener && settings.callerListener.port != 0)
            reader.addFault({ "listen.operators", formatEndpoint(settings.operatorListener), "an endpoint other than listen.callers" });
    }

    void readPlatform(SettingsReader& reader, DaemonSettings& settings)
    {
        settings.platform = readPlatformSettings(reader);
        settings.vmListPeriod = reader.duration("platform", "vm_list_period", settings.vmListPeriod, 500ms, 1min);
        settings.vmPeerPort = static_cast<uint16_t>(reader.integer("platform", "vm_peer_port", 0, 0, 65535));
    }

    void readLimits(SettingsReader& reader, DaemonSettings& settings)
    {
        auto& limits = settings.callerLimits;
        limits.maximumHeader = static_cast<size_t>(reader.integer("limits", "maximum_header_bytes", 16 * kibibyte, kibibyte, mebibyte));
        limits.maximumBody = static_cast<size_t>(reader.integer("limits", "maximum_body_bytes", 4 * mebibyte, kibibyte, 64 * mebibyte));
        limits.maximumConnections = static_cast<size_t>(reader.integer("limits", "maximum_connections", 4096, 1, 100'000));
        limits.headerTimeout = reader.duration("limits", "header_timeout", limits.headerTimeout, 100ms, 10min);
        limits.bodyTimeout = reader.duration("limits", "body_timeout", limits.bodyTimeout, 100ms, 10min);
        limits.writeTimeout = reader.duration("limits", "write_timeout", limits.writeTimeout, 100ms, 10min);
    }

    void readLog(SettingsReader& reader, DaemonSettings& settings)
    {
        settings.logFormat = reader.oneOf("log", "format", "logfmt", { "logfmt", "json" }) == "json" ? LogFormat::Json : LogFormat::Logfmt;
        auto level = reader.oneOf("log", "level", "info", { "debug", "info", "warning", "error" });
        for (auto severity : { Severity::Debug, Severity::Info, Severity::Warning, Severity::Error }) {
            if (nameOf(severity) == level)
                settings.logLevel = severity;
        }
    }

} // namespace

DaemonSettings readDaemonSettings(SettingsReader& reader)
{
    DaemonSettings settings;
    readIdentity(reader, settings);
    readListeners(reader, settings);
    readPlatform(reader, settings);
    readLimits(reader, settings);
    readLog(reader, settings);
    return settings;
}

std::string describeFaults(const std::vector<SettingFault>& faults)
{
    std::string text;
    for (const auto& [setting, value, allowed] : faults)
        text.append(setting).append(" = ").append(value).append(": expected ").append(allowed).append("\n");
    return text;
}

} // namespace chestnut
