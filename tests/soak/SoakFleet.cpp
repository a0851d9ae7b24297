#include "soak/SoakFleet.h"

#include "platform/Names.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace chestnut::soak {

using nlohmann::json;

namespace {

    constexpr const char* daemonProgram = CHESTNUT_BINARY_DIR "/programs/chestnutrouted/chestnutrouted";
    constexpr const char* plainService = "desk";
    constexpr const char* engineService = "lm";
    constexpr int zones = 2;
    constexpr int softwareVersions = 2;
    /** With several software versions: one prefill engine and three decode engines of each, so that two are left when one leaves. */
    constexpr int enginesWithVersions = 8;
    constexpr int prefillEnginesWithVersions = 2;

    std::string zoneOf(int number)
    {
        return "z" + std::to_string(number % zones);
    }

    int64_t millisecondsOf(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    json routeJson(const std::string& prefix, const char* kind, const char* service, int attempts, bool isResumable)
    {
        auto timeout = std::string_view(service) == engineService ? SoakFleet::streamTimeout : SoakFleet::plainTimeout;
        return { { "name", "r" + prefix }, { "host", SoakFleet::host }, { "prefix", prefix }, { "kind", kind }, { "service", service },
            { "timeout_ms", millisecondsOf(timeout) }, { "target_latency_ms", 300 }, { "priority", 0 }, { "max_attempts", attempts }, { "resumable", isResumable } };
    }

} // namespace

SoakFleet::SoakFleet(FleetShape shape, uint32_t seed, std::string folder)
    : store(context, timers, log, test::freePort(), seed)
    , m_random(seed)
    , m_folder(std::move(folder))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    for (int i = 0; i < shape.plainReplicas; ++i)
        addReplica({ plainService, EngineStage::None, zoneOf(i), test::freePort() }, shape.deadReplicasReset);
    addEngines(shape);
    for (int i = 0; i < shape.daemons; ++i)
        addDaemon(i);
}

LinkPointer SoakFleet::makeLink(const Endpoint& server)
{
    auto link = std::make_shared<FaultyLink>(context, timers, test::freePort(), server);
    link->listen();
    return link;
}

void SoakFleet::addEngines(const FleetShape& shape)
{
    auto engines = shape.hasVersions ? std::max(shape.engines, enginesWithVersions) : shape.engines;
    auto prefillEngines = shape.hasVersions ? prefillEnginesWithVersions : engines / 2;
    for (int i = 0; i < engines; ++i) {
        ReplicaPlacement placement { engineService, i < prefillEngines ? EngineStage::Prefill : EngineStage::Decode, zoneOf(i), test::freePort() };
        if (shape.hasVersions) {
            // Each version has engines in all zones.
            placement.zone = zoneOf(i / softwareVersions);
            placement.version = "v" + std::to_string(1 + i % softwareVersions);
            placement.namesVersion = true;
        }
        addReplica(std::move(placement), shape.deadReplicasReset);
    }
}

void SoakFleet::addReplica(ReplicaPlacement placement, bool resetsWhenDown)
{
    auto link = makeLink({ "127.0.0.1", placement.serverPort });
    replicaLinks.push_back(link);
    replicas.push_back(std::make_unique<ReplicaStandin>(context, timers, log, store, ledger, notices, std::move(placement), link, static_cast<uint32_t>(m_random())));
    replicas.back()->faults.resetsWhenDown = resetsWhenDown;
}

void SoakFleet::addDaemon(int number)
{
    auto daemon = std::make_unique<SoakDaemon>(timers, "d" + std::to_string(number));
    auto portOf = [] { return "127.0.0.1:" + std::to_string(test::freePort()); };
    auto clientAddress = portOf();
    daemon->clientLink = makeLink(*parseEndpoint(clientAddress));
    daemon->storeLink = makeLink(store.endpoint());
    daemon->settingsPath = m_folder + "/" + daemon->name + ".ini";
    daemon->outputPath = m_folder + "/" + daemon->name + ".log";
    std::ofstream settings(daemon->settingsPath);
    settings << "[daemon]\nid = " << daemon->name << "\nzone = " << zoneOf(number) << "\n[listen]\nfront = " << clientAddress << "\nreadiness = " << portOf()
             << "\ndiscovery = " << portOf() << "\nmetrics = " << portOf() << "\npeers = " << portOf()
             << "\n[store]\nendpoint = " << formatEndpoint(daemon->storeLink->endpoint()) << "\n[bounds]\nshutdown_seconds = " << toSeconds(graceTime) << "\n";
    daemons.push_back(std::move(daemon));
}

void SoakFleet::start()
{
    store.start();
    writeManifest();
    for (auto& replica : replicas)
        replica->start();
    for (auto& daemon : daemons)
        startProcess(*daemon);
}

void SoakFleet::startProcess(SoakDaemon& daemon)
{
    notices.excuse(daemon.name);
    daemon.process.reset();
    daemon.process = std::make_unique<test::ChildProcess>(daemonProgram, std::vector<std::string> { "--gateway", "--config=" + daemon.settingsPath }, daemon.outputPath);
    daemon.startedAt = timers.now();
    daemon.servedVersion = 0;
    daemon.hasBegunStreams = false;
    daemon.isDiscoverable = true;
}

bool SoakFleet::isStableSince(const SoakDaemon& daemon, TimePoint moment) const
{
    return daemon.disturbances.isUndisturbedSince(moment - stabilizationTime) && storeDisturbances.isUndisturbedSince(moment - stabilizationTime);
}

size_t SoakFleet::decodeEngines(const std::string& version) const
{
    return static_cast<size_t>(std::ranges::count_if(replicas, [&version](const auto& replica) { return replica->version() == version && replica->servesDecodes(); }));
}

SoakDaemon* SoakFleet::findDaemon(const std::string& name) const
{
    auto found = std::ranges::find(daemons, name, [](const auto& daemon) { return daemon->name; });
    return found == daemons.end() ? nullptr : found->get();
}

bool SoakFleet::isDisturbed(const std::string& name) const
{
    auto* daemon = findDaemon(name);
    return daemon && !daemon->disturbances.isUndisturbedSince(timers.now() - stabilizationTime);
}

SoakDaemon& SoakFleet::randomDaemon()
{
    std::vector<SoakDaemon*> discoverable;
    for (auto& daemon : daemons) {
        if (daemon->isDiscoverable)
            discoverable.push_back(daemon.get());
    }
    return discoverable.empty() ? *daemons.front() : *discoverable[static_cast<size_t>(pick(0, static_cast<int>(discoverable.size()) - 1))];
}

void SoakFleet::writeManifest()
{
    ++m_version;
    auto routes = json::array();
    routes.push_back(routeJson("/plain/", "idempotent", plainService, 2, false));
    routes.push_back(routeJson("/book/", "non_idempotent", plainService, 2, false));
    routes.push_back(routeJson("/gen/", "streaming", engineService, 2, true));
    routes.push_back(routeJson("/once/", "streaming", engineService, 2, false));
    routes.push_back(routeJson(addedPrefix(m_version), "idempotent", plainService, 2, false));
    json engine { { "slots", 12 }, { "kv_capacity", 1'000'000 }, { "kv_hold_s", 5.0 }, { "switch_s", 0.3 } };
    auto services = json::array();
    services.push_back({ { "name", plainService }, { "health_path", "/health" }, { "max_conns", 100 } });
    services.push_back({ { "name", engineService }, { "health_path", "/health" }, { "max_conns", 100 }, { "engine", engine } });
    json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 1'048'576 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
    json manifest { { "version", m_version }, { "routes", routes }, { "services", services }, { "limits", limits } };
    m_manifest = manifest.dump();
    rewriteManifest();
    m_manifestWrittenAt = timers.now();
}

void SoakFleet::rewriteManifest()
{
    store.put(std::string(platform::names::configurationKey), m_manifest);
}

} // namespace chestnut::soak
