#include "processes/ProcessCluster.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <iostream>
#include <numeric>
#include <sstream>

ABSL_FLAG(uint32_t, daemons, 6, "number of daemons, at most 150");
ABSL_FLAG(uint32_t, engines, 6, "number of engine processes");
ABSL_FLAG(uint32_t, replicas, 6, "number of backend servers in the configuration, at most 1,000; one process serves them all");
ABSL_FLAG(uint32_t, accounts, 0, "number of accounts in the configuration");
ABSL_FLAG(uint32_t, services, 1, "number of services that the backend servers are split over");
ABSL_FLAG(double, seconds, 15, "duration of the measurement, at most 120");
ABSL_FLAG(double, rate, 0, "requests a second from the load tool during the measurement");
ABSL_FLAG(std::string, workload, "tanner", "workload of the load tool: tanner or saranrat");
ABSL_FLAG(double, decode_rate, 200, "tokens a second of one sequence at the engines");

namespace chestnut::test {
namespace {

    constexpr size_t serverProcesses = 6;
    /** First port of the process that serves the additional backend servers. */
    constexpr uint16_t additionalServerPort = 13000;
    constexpr uint32_t maximumReplicas = 1000;

    /** Counters of the whole fleet at one point in time. */
    struct Sample {
        double processorSeconds = 0;
        double residentBytesMax = 0;
        double peerBytes = 0; /**< sent and received */
        double peerBytesSent = 0;
        double peerMessages = 0;
        nlohmann::json platformCalls;
        double requests = 0;
        double tokens = 0;
    };

    /** Sums the values of one metric in Prometheus' text format over its labels. */
    double metricSum(const std::string& text, const std::string& name, const std::string& label = "")
    {
        std::istringstream lines(text);
        double sum = 0;
        for (std::string line; std::getline(lines, line);) {
            bool isMetric = line.starts_with(name) && line.size() > name.size() && (line[name.size()] == '{' || line[name.size()] == ' ');
            if (isMetric && line.find(label) != std::string::npos)
                sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
        return sum;
    }

    class FleetMeasurement {
    public:
        explicit FleetMeasurement(ProcessCluster& cluster)
            : m_cluster(cluster)
        {
        }

        Sample sample()
        {
            Sample sample;
            for (size_t i = 0; i < m_cluster.daemonCount(); ++i)
                addDaemon(sample, i);
            sample.platformCalls = m_cluster.fetchJson(m_cluster.keyValueEndpoint(), "/control/counts");
            return sample;
        }

    private:
        void addDaemon(Sample& sample, size_t index)
        {
            sample.processorSeconds += m_cluster.daemon(index).processorSeconds();
            sample.residentBytesMax = std::max(sample.residentBytesMax, m_cluster.daemon(index).residentBytes());
            HttpRequest request;
            request.target = "/metrics";
            auto response = m_cluster.send(m_cluster.operators(index), request);
            if (!response)
                return;
            sample.peerBytesSent += metricSum(response->body, "chestnut_peer_bytes_total", "sent");
            sample.peerBytes += metricSum(response->body, "chestnut_peer_bytes_total");
            sample.peerMessages += metricSum(response->body, "chestnut_peer_messages_total");
            sample.requests += metricSum(response->body, "chestnut_requests_completed_total");
            sample.tokens += metricSum(response->body, "chestnut_token_gap_seconds_count");
        }

        ProcessCluster& m_cluster;
    };

    Endpoint addressOf(const ProcessCluster& cluster, uint32_t replica)
    {
        if (replica < serverProcesses)
            return cluster.serverEndpoint(replica);
        return { "127.0.0.1", static_cast<uint16_t>(additionalServerPort + replica) };
    }

    /** The first service is the one that the load tool's workload calls. */
    std::string serviceName(uint32_t index)
    {
        if (index > 0)
            return "service" + std::to_string(index);
        return absl::GetFlag(FLAGS_workload) == "saranrat" ? "glossary" : "orders";
    }

    nlohmann::json configurationTicket(const ProcessCluster& cluster)
    {
        nlohmann::json ticket { { "number", 2 } };
        const std::vector<std::string> zones { "a", "b", "c" };
        for (uint32_t i = 0; i < absl::GetFlag(FLAGS_replicas); ++i) {
            auto id = "o" + std::to_string(i);
            ticket["backend_servers"][id] = { { "service", serviceName(i % absl::GetFlag(FLAGS_services)) },
                { "address", formatEndpoint(addressOf(cluster, i)) }, { "zone", zones[i % zones.size()] }, { "region", "r1" } };
        }
        for (uint32_t i = 0; i < absl::GetFlag(FLAGS_accounts); ++i)
            ticket["accounts"]["account-" + std::to_string(i)] = { { "weight", 1 } };
        return ticket;
    }

    bool allAtRevision(ProcessCluster& cluster, uint64_t revision)
    {
        auto fleet = cluster.fetchJson(cluster.operators(0), "/fleet");
        if (!fleet.is_object() || !fleet.contains("members"))
            return false;
        const auto& daemons = fleet["members"];
        return daemons.size() == cluster.daemonCount()
            && std::ranges::all_of(daemons, [&](const nlohmann::json& daemon) { return daemon.value("revision", uint64_t(0)) >= revision; });
    }

    double secondsUntilInForce(ProcessCluster& cluster, const nlohmann::json& ticket)
    {
        auto begin = std::chrono::steady_clock::now();
        if (cluster.submit(ticket) != 200)
            return -1;
        if (!eventually([&] { return allAtRevision(cluster, 2); }))
            return -1;
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    }

    void runLoad(ProcessCluster& cluster, double seconds)
    {
        double rate = absl::GetFlag(FLAGS_rate);
        if (rate <= 0) {
            std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
            return;
        }
        std::string entrypoints;
        for (size_t i = 0; i < cluster.daemonCount(); ++i)
            entrypoints += (entrypoints.empty() ? "" : ",") + formatEndpoint(cluster.callers(i));
        auto run = cluster.runProgram("standins/loadtool/loadtool",
            { "--entrypoints=" + entrypoints, "--rate=" + std::to_string(rate), "--duration_s=" + std::to_string(seconds), "--workload=" + absl::GetFlag(FLAGS_workload), "--json" });
        std::cerr << run.output << "\n";
    }

    nlohmann::json perSecond(const nlohmann::json& before, const nlohmann::json& after, double seconds)
    {
        nlohmann::json rates = nlohmann::json::object();
        for (const auto& [kind, count] : after.items())
            rates[kind] = (count.get<double>() - before.value(kind, 0.0)) / seconds;
        return rates;
    }

    int measure()
    {
        ClusterShape shape;
        shape.name = "fleetcost";
        shape.daemons = std::min<uint32_t>(150, absl::GetFlag(FLAGS_daemons));
        shape.engines = absl::GetFlag(FLAGS_engines);
        shape.backendServers = serverProcesses;
        shape.engineFlags = { "--decode_tokens_per_second=" + std::to_string(absl::GetFlag(FLAGS_decode_rate)) };
        ProcessCluster cluster(shape);
        if (!cluster.start()) {
            std::cerr << "the fleet did not become ready\n";
            return 1;
        }
        ChildProcess additionalServers(CHESTNUT_BINARY_DIR "/standins/servicestandin/servicestandin",
            { "--listen=127.0.0.1:" + std::to_string(additionalServerPort), "--ports=" + std::to_string(std::min(absl::GetFlag(FLAGS_replicas), maximumReplicas)) },
            cluster.folder() + "/wide.out");
        eventually([&] { return allAtRevision(cluster, 1); });
        double inForce = secondsUntilInForce(cluster, configurationTicket(cluster));
        std::this_thread::sleep_for(std::chrono::seconds(3));
        FleetMeasurement measurement(cluster);
        auto before = measurement.sample();
        auto begin = std::chrono::steady_clock::now();
        runLoad(cluster, std::min(120.0, absl::GetFlag(FLAGS_seconds)));
        auto after = measurement.sample();
        double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        auto daemons = static_cast<double>(shape.daemons);
        nlohmann::json result { { "daemons", shape.daemons }, { "engines", shape.engines }, { "replicas", absl::GetFlag(FLAGS_replicas) },
            { "accounts", absl::GetFlag(FLAGS_accounts) }, { "rate", absl::GetFlag(FLAGS_rate) }, { "workload", absl::GetFlag(FLAGS_workload) }, { "seconds", seconds },
            { "core_percent_a_daemon", 100 * (after.processorSeconds - before.processorSeconds) / seconds / daemons },
            { "resident_mb_max", after.residentBytesMax / 1e6 }, { "peer_sent_kb_s_a_daemon", (after.peerBytesSent - before.peerBytesSent) / seconds / daemons / 1e3 }, { "peer_both_kb_s_a_daemon", (after.peerBytes - before.peerBytes) / seconds / daemons / 1e3 },
            { "peer_messages_s_a_daemon", (after.peerMessages - before.peerMessages) / seconds / daemons },
            { "platform_calls_s", perSecond(before.platformCalls, after.platformCalls, seconds) }, { "in_force_everywhere_s", inForce },
            { "requests", after.requests - before.requests }, { "tokens", after.tokens - before.tokens },
            { "processor_s", after.processorSeconds - before.processorSeconds } };
        std::cout << result.dump() << "\n";
        return 0;
    }

} // namespace
} // namespace chestnut::test

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage("Measures processor time, memory, peer traffic and key-value calls of real daemons. Reported, never a CI gate.");
    absl::ParseCommandLine(argumentCount, arguments);
    return chestnut::test::measure();
}
