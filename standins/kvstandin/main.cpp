#include "ConsulServer.h"
#include "kernel/logging/ConsoleLog.h"
#include "kernel/timers/AsioTimerService.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>
#include <cstdio>

ABSL_FLAG(std::string, listen, "127.0.0.1:8500", "IP address and port; port 0 chooses a free one");
ABSL_FLAG(bool, outage, false, "start in an outage");
ABSL_FLAG(int64_t, latency_ms, 0, "latency added to each call, in milliseconds");
ABSL_FLAG(uint32_t, lose_next, 0, "number of next writes whose responses are lost after they took effect");
ABSL_FLAG(double, lose_share, 0, "probability from 0 to 1 that the response of a write is lost");
ABSL_FLAG(int64_t, vm_list_lag_ms, 0, "lag of the VM list, in milliseconds");
ABSL_FLAG(uint64_t, seed, 1, "seed of the choice of lost responses");
ABSL_FLAG(std::string, nodes, "[]", "the initial VM list as JSON, in the format of POST /control/nodes");

namespace {

using namespace chestnut;

standin::Faults faultsFromFlags()
{
    standin::Faults faults;
    faults.isOutage = absl::GetFlag(FLAGS_outage);
    faults.latency = std::chrono::milliseconds(absl::GetFlag(FLAGS_latency_ms));
    faults.lostResponses = absl::GetFlag(FLAGS_lose_next);
    faults.lostResponseShare = absl::GetFlag(FLAGS_lose_share);
    faults.vmListLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_vm_list_lag_ms));
    return faults;
}

HttpServerLimits standinLimits()
{
    HttpServerLimits limits;
    // A transaction may carry several values of 1 MB in Base64.
    limits.maximumBody = 16 << 20;
    limits.headerTimeout = std::chrono::minutes(10);
    return limits;
}

HttpResponse makeErrorResponse(const Error& error)
{
    return { describe(error.kind).status, {}, error.detail };
}

int run()
{
    auto endpoint = parseEndpoint(absl::GetFlag(FLAGS_listen));
    auto nodes = nlohmann::json::parse(absl::GetFlag(FLAGS_nodes), nullptr, false);
    if (!endpoint || !nodes.is_array()) {
        std::fprintf(stderr, "kvstandin: invalid --listen or --nodes\n");
        return 2;
    }
    asio::io_context context;
    AsioTimerService timers(context);
    MemoryLog log;
    standin::ConsulServer consul(timers, faultsFromFlags(), absl::GetFlag(FLAGS_seed));
    consul.setNodes(standin::parseNodes(nodes));
    HttpServer server(context, log, *endpoint, standinLimits(), consul.handler(), makeErrorResponse);
    server.start();
    std::printf("listening on %s\n", formatEndpoint(server.endpoint()).c_str());
    std::fflush(stdout);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Test double of the platform's key-value service and VM list (Consul HTTP API).");
    absl::ParseCommandLine(argc, argv);
    try {
        return run();
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "kvstandin: %s\n", exception.what());
        return 1;
    }
}
