#include "StaticServices.h"

#include "common/StandinServer.h"
#include "frontend/frontend.h"
#include "kernel/logging/ConsoleLog.h"
#include "kernel/timers/AsioTimerService.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

ABSL_FLAG(std::string, listen, "127.0.0.1:8000", "loopback address and port for callers");
ABSL_FLAG(std::string, engines, "", "comma-separated addresses of engines that run model m1");
ABSL_FLAG(std::string, orders, "", "comma-separated addresses of backend servers of the service orders");
ABSL_FLAG(std::string, glossary, "", "comma-separated addresses of backend servers of the service glossary");
ABSL_FLAG(std::string, peers, "", "comma-separated addresses of other daemons, for discovery answers");
ABSL_FLAG(uint32_t, slots, 32, "slots of each engine");
ABSL_FLAG(bool, quiet, true, "log warnings and errors only");

using namespace chestnut;

namespace {

std::vector<std::string> split(const std::string& text)
{
    return absl::StrSplit(text, ',', absl::SkipEmpty());
}

void addServers(Configuration& configuration, const std::string& service, const std::vector<std::string>& addresses)
{
    for (const auto& address : addresses) {
        std::string id = service;
        id.append("-").append(address);
        BackendServerSpec server { ReplicaId(id), ServiceId(service), address, AvailabilityZone("a"), Region("r") };
        configuration.backendServers[server.id.value()] = server;
    }
}

Configuration configurationFromFlags()
{
    Configuration configuration;
    configuration.revision = 1;
    configuration.models["m1"] = { ModelId("m1"), "1" };
    for (const auto& address : split(absl::GetFlag(FLAGS_engines))) {
        EngineSpec engine { EngineId("engine-" + address), address, AvailabilityZone("a"), Region("r"), ModelId("m1") };
        engine.slots = absl::GetFlag(FLAGS_slots);
        configuration.engines[engine.id.value()] = engine;
    }
    addServers(configuration, "orders", split(absl::GetFlag(FLAGS_orders)));
    addServers(configuration, "glossary", split(absl::GetFlag(FLAGS_glossary)));
    return configuration;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("The callers' listener with a fixed configuration and claims in memory; for load tests without a key-value service.");
    absl::ParseCommandLine(argc, argv);
    asio::io_context context;
    AsioTimerService timers(context);
    ConsoleLog log(LogFormat::Logfmt, absl::GetFlag(FLAGS_quiet) ? Severity::Warning : Severity::Info);
    Metrics metrics;
    StaticConfiguration configuration(configurationFromFlags());
    MemoryClaims claims;
    StaticPeers peers(absl::GetFlag(FLAGS_listen), split(absl::GetFlag(FLAGS_peers)), timers.wallClock().count());
    HttpClient client(context);
    HttpEngineClient engines(client);
    HttpBackendServerClient servers(client);
    FrontendSettings settings;
    settings.locality = { peers.self(), AvailabilityZone("a"), Region("r") };
    ReplicaGates gates { [](const ReplicaId&) { return true; }, [](const ReplicaId&) { return 1.0; },
        [](const ReplicaId&) { return EngineRole::Mixed; } };
    Frontend frontend({ context, timers, log, metrics, configuration, claims, peers, engines, servers }, settings, gates);
    frontend.start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) {
        asio::co_spawn(context, frontend.stop(), [&](std::exception_ptr) { context.stop(); });
    });
    return serveStandin(context, absl::GetFlag(FLAGS_listen), [&](HttpRequest request, HttpResponseWriter& writer) { return frontend.handle(std::move(request), writer); });
}
