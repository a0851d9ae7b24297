#include "review/standins/ReviewFleet.h"

#include "platform/Names.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_replace.h>
#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>

ABSL_FLAG(std::string, root, "", "folder of the repository");
ABSL_FLAG(std::string, record, "record.txt", "file for the record of the run");
ABSL_FLAG(std::string, folder, "", "folder for the settings and logs of the daemons");
ABSL_FLAG(bool, trouble, true, "false: the same run without the disruption");

namespace chestnut::review {

using nlohmann::json;

namespace {

    constexpr const char* daemonProgram = "/target/programs/chestnutrouted/chestnutrouted";
    constexpr const char* settingsTemplate = "/deploy/gateway.ini";
    constexpr int daemonCount = 6;
    constexpr int zoneCount = 3;
    constexpr uint32_t storeSeed = 1;
    constexpr Duration longestStart = std::chrono::seconds(20);
    constexpr Duration checkPeriod = std::chrono::milliseconds(50);
    constexpr Duration restartDelay = std::chrono::milliseconds(300);

    json routeJson(const std::string& prefix, const char* kind, int attempts)
    {
        auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(ReviewFleet::requestTimeout).count();
        return { { "name", "r" + prefix }, { "host", ReviewFleet::host }, { "prefix", prefix }, { "kind", kind }, { "service", ReviewFleet::service },
            { "timeout_ms", timeout }, { "target_latency_ms", 300 }, { "priority", 0 }, { "max_attempts", attempts } };
    }

} // namespace

RunOptions parseOptions(int argumentCount, char** arguments)
{
    absl::ParseCommandLine(argumentCount, arguments);
    return { absl::GetFlag(FLAGS_root), absl::GetFlag(FLAGS_record), absl::GetFlag(FLAGS_folder), absl::GetFlag(FLAGS_trouble) };
}

ReviewFleet::ReviewFleet(const RunOptions& options)
    : record(options.recordPath, timers)
    , store(context, timers, log, test::freePort(), storeSeed)
    , m_options(options)
{
    for (int i = 0; i < daemonCount; ++i)
        addDaemon(i);
}

void ReviewFleet::addDaemon(int number)
{
    auto daemon = std::make_unique<ReviewDaemon>();
    auto portText = [] { return std::to_string(test::freePort()); };
    std::string ip = "127.0.0.1";
    auto front = ip + ":" + portText();
    auto readiness = ip + ":" + portText();
    daemon->name = "edge-" + std::to_string(number);
    daemon->clientEndpoint = *parseEndpoint(front);
    daemon->readinessEndpoint = *parseEndpoint(readiness);
    daemon->storeLink = std::make_shared<soak::FaultyLink>(context, timers, test::freePort(), store.endpoint());
    daemon->storeLink->listen();
    daemon->settingsPath = m_options.folder + "/" + daemon->name + ".ini";
    daemon->outputPath = m_options.folder + "/" + daemon->name + ".log";
    // The metrics port of the template is the same on all machines; on one machine each daemon needs its own.
    auto text = absl::StrReplaceAll(test::fileContents(m_options.root + settingsTemplate),
        { { "{{ip}}:9464", ip + ":" + portText() }, { "{{node_name}}", daemon->name }, { "{{zone}}", "zone-" + std::to_string(number % zoneCount) },
            { "{{limits.link_mbps}}", "1000" }, { "{{listen.front}}", front }, { "{{listen.ready}}", readiness }, { "{{listen.directory}}", ip + ":" + portText() },
            { "{{ip}}", ip }, { "{{internal_ports.0}}", portText() }, { "{{platform.address}}", formatEndpoint(daemon->storeLink->endpoint()) },
            { "{{bounds.retry_budget_ratio}}", "0.2" }, { "{{bounds.retry_slack}}", "52" }, { "{{bounds.budget_window_s}}", "10" },
            { "{{bounds.lease_ms}}", "3000" }, { "{{bounds.ttl_max_s}}", "5" }, { "{{bounds.grace_s}}", "8" } });
    std::ofstream(daemon->settingsPath) << text;
    daemons.push_back(std::move(daemon));
}

void ReviewFleet::startProcess(ReviewDaemon& daemon)
{
    daemon.process = std::make_unique<test::ChildProcess>(m_options.root + daemonProgram, std::vector<std::string> { "--gateway", "--config=" + daemon.settingsPath }, daemon.outputPath);
    daemon.startedAt = timers.now();
    daemon.isStopping = false;
    record.write(daemon.name + " is started");
}

void ReviewFleet::writeManifest()
{
    auto routes = json::array({ routeJson("/book/", "non_idempotent", 1), routeJson("/look/", "idempotent", 2) });
    auto stream = routeJson("/live/", "streaming", 2);
    stream.update({ { "service", engineService }, { "timeout_ms", 15000 }, { "target_latency_ms", 120 }, { "target_gap_ms", 150 }, { "sticky", true }, { "resumable", true } });
    routes.push_back(stream);
    auto services = json::array();
    services.push_back({ { "name", service }, { "health_path", "/health" }, { "max_conns", 96 } });
    json engine { { "slots", 48 }, { "kv_capacity", 1118332 }, { "kv_hold_s", 5.0 }, { "switch_s", 3.0 } };
    services.push_back({ { "name", engineService }, { "health_path", "/health" }, { "max_conns", 290 }, { "engine", engine } });
    json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
    json manifest { { "version", 1 }, { "routes", routes }, { "services", services }, { "limits", limits } };
    store.put(std::string(platform::names::configurationKey), manifest.dump());
}

asio::awaitable<bool> ReviewFleet::isReady(const ReviewDaemon& daemon)
{
    HttpRequest request { "GET", "/v1/ready", {}, {} };
    auto response = co_await m_pool.open(daemon.readinessEndpoint, std::move(request), {});
    co_return response && (*response)->status() == 200;
}

asio::awaitable<bool> ReviewFleet::start()
{
    store.start();
    writeManifest();
    for (auto& daemon : daemons)
        startProcess(*daemon);
    auto end = timers.now() + longestStart;
    for (auto& daemon : daemons) {
        while (!co_await isReady(*daemon)) {
            if (timers.now() > end)
                co_return false;
            co_await timers.sleep(checkPeriod);
        }
    }
    co_return true;
}

asio::awaitable<void> ReviewFleet::restart(ReviewDaemon& daemon)
{
    record.write(daemon.name + " gets SIGTERM");
    daemon.isStopping = true;
    daemon.process->signal(SIGTERM);
    while (daemon.process->isRunning())
        co_await timers.sleep(checkPeriod);
    record.write(daemon.name + " has ended");
    co_await timers.sleep(restartDelay);
    startProcess(daemon);
}

bool ReviewFleet::isInTouch(const ReviewDaemon& daemon) const
{
    return !daemon.isStopping && timers.now() - daemon.startedAt >= stableTime;
}

ReviewDaemon* ReviewFleet::find(std::string_view name)
{
    auto found = std::ranges::find_if(daemons, [name](const auto& daemon) { return daemon->name == name; });
    return found == daemons.end() ? nullptr : found->get();
}

uint32_t ReviewFleet::random(uint32_t lowest, uint32_t highest)
{
    return std::uniform_int_distribution<uint32_t>(lowest, highest)(m_random);
}

void runScenario(ReviewFleet& fleet, asio::awaitable<Verdict> scenario)
{
    auto verdict = Verdict::NotRun;
    asio::co_spawn(fleet.context, std::move(scenario), [&](const std::exception_ptr& exception, Verdict result) {
        fleet.context.stop();
        if (exception)
            std::rethrow_exception(exception);
        verdict = result;
    });
    try {
        fleet.context.run();
    } catch (const std::exception& exception) {
        fleet.record.write(std::string("the case could not run: ") + exception.what());
    }
    for (auto& daemon : fleet.daemons)
        daemon->process.reset();
    fleet.record.close();
    // Coroutines that still wait refer to objects that would be destroyed before them.
    std::_Exit(static_cast<int>(verdict));
}

} // namespace chestnut::review
