#include "Daemon.h"
#include "GatewayDaemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string, config, "", "path of the INI settings file");
ABSL_FLAG(bool, gateway, false, "route requests by host and path as configured in a store instead of by tickets");
ABSL_FLAG(bool, check_config, false, "check the settings file and exit");

namespace {

enum ExitCode : int {
    ExitDone = 0,
    ExitFailed = 1,
    ExitUsage = 2,
};

constexpr const char* usage = "Serving daemon of chestnutroute: routes requests to engines and backend servers.\n\n"
                              "  chestnutrouted [--gateway] --config=FILE [--check_config]\n\n"
                              "The daemon stops gracefully on SIGTERM. Exit codes: 0 stopped or settings valid, 1 failed, 2 settings or usage invalid.";

/** Reads settings with the given reader; prints their faults on standard error. */
template <typename Settings>
std::optional<Settings> readSettings(const std::string& path, Settings (*read)(chestnut::SettingsReader&))
{
    namespace leaf = boost::leaf;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Settings>> {
            BOOST_LEAF_AUTO(reader, chestnut::SettingsReader::fromFile(path));
            auto settings = read(reader);
            if (auto faults = reader.faults(); !faults.empty()) {
                std::cerr << path << ":\n"
                          << chestnut::describeFaults(faults);
                return std::optional<Settings>();
            }
            return std::optional(std::move(settings));
        },
        [](const chestnut::Error& error) {
            std::cerr << error.detail << "\n";
            return std::optional<Settings>();
        },
        [] {
            std::cerr << "cannot read the settings\n";
            return std::optional<Settings>();
        });
}

/** Runs a daemon until it stops. */
template <typename Settings, typename Factory>
int runDaemon(const std::string& path, Settings (*read)(chestnut::SettingsReader&), const Factory& makeDaemon)
{
    auto settings = readSettings(path, read);
    if (!settings)
        return ExitUsage;
    if (absl::GetFlag(FLAGS_check_config)) {
        std::cout << path << ": valid\n";
        return ExitDone;
    }
    try {
        boost::asio::io_context context(1);
        auto daemon = makeDaemon(context, std::move(*settings));
        daemon->start();
        daemon->run();
        // Destructors would wait for the worker threads of the log library, which do not always end: the process and its
        // connections then stay until it is killed. All log lines have been written by now.
        std::_Exit(ExitDone);
    } catch (const std::exception& exception) {
        std::cerr << "chestnutrouted: " << exception.what() << "\n";
        return ExitFailed;
    }
}

} // namespace

int main(int argumentCount, char** arguments)
{
    // A SIGHUP that arrives before the daemon handles signals must not end the process.
    (void)std::signal(SIGHUP, SIG_IGN);
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig usageConfig;
    usageConfig.version_string = [] { return std::string("chestnutrouted 0.1.0\n"); };
    absl::SetFlagsUsageConfig(usageConfig);
    auto positional = absl::ParseCommandLine(argumentCount, arguments);
    auto path = absl::GetFlag(FLAGS_config);
    if (path.empty() || positional.size() > 1) {
        std::cerr << usage << "\n";
        return ExitUsage;
    }
    using chestnut::Daemon;
    using chestnut::GatewayDaemon;
    if (!absl::GetFlag(FLAGS_gateway))
        return runDaemon(path, chestnut::readDaemonSettings, [](auto& context, auto settings) { return std::make_unique<Daemon>(context, std::move(settings)); });
    auto rereadSettings = [path] { return readSettings(path, chestnut::readGatewayDaemonSettings); };
    return runDaemon(path, chestnut::readGatewayDaemonSettings, [&](auto& context, auto settings) { return std::make_unique<GatewayDaemon>(context, std::move(settings), rereadSettings); });
}
