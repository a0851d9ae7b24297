#pragma once

#include "http/http.h"
#include "processes/ChildProcess.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace chestnut::test {

struct ClusterShape {
    std::string name; /**< also the name of its output folder */
    std::vector<std::string> zones { "a", "b", "c" };
    size_t daemons = 6;
    size_t engines = 3;
    size_t backendServers = 3;
    std::vector<std::string> engineFlags;
    std::set<size_t> enginesIgnoringFencing; /**< these do not check fencing numbers, and their configuration declares so */
    std::vector<std::string> serviceFlags;
    std::vector<std::string> keyValueFlags;
    std::string shutdownTimeout = "10m";
};

/** Runs the daemons and the stand-ins as processes on loopback addresses. */
class ProcessCluster {
public:
    explicit ProcessCluster(ClusterShape);

    /** Starts all processes, submits the first ticket and waits until the stand-ins listen and all daemons are ready. */
    bool start();

    void startDaemon(size_t index);
    void startEngine(size_t index);
    void startBackendServer(size_t index);
    void startKeyValue();

    ChildProcess& daemon(size_t index) { return *m_daemons.at(index); }
    ChildProcess& engine(size_t index) { return *m_engines.at(index); }
    ChildProcess& backendServer(size_t index) { return *m_backendServers.at(index); }
    ChildProcess& keyValue() { return *m_keyValue; }

    Endpoint callers(size_t daemon) const { return { "127.0.0.1", m_callerPorts.at(daemon) }; }
    Endpoint operators(size_t daemon) const { return { "127.0.0.1", m_operatorPorts.at(daemon) }; }
    Endpoint engineEndpoint(size_t index) const { return { "127.0.0.1", m_enginePorts.at(index) }; }
    /** Each backend server has an address of its own, so that the VM list can name it. */
    Endpoint serverEndpoint(size_t index) const { return { "127.0.2." + std::to_string(index + 1), m_serverPorts.at(index) }; }
    Endpoint keyValueEndpoint() const { return { "127.0.0.1", m_keyValuePort }; }
    std::string operatorList() const;
    std::string callerList() const;

    /** Sends a request from outside the cluster; returns an error if the process cannot be reached. */
    Result<HttpResponse> send(Endpoint, HttpRequest, Duration timeout = std::chrono::seconds(20));
    nlohmann::json fetchJson(Endpoint, const std::string& target);
    bool postJson(Endpoint, const std::string& target, const nlohmann::json& body);

    /** Submits a ticket to a daemon and returns the HTTP status, or 0 without a response. */
    int submit(const nlohmann::json& ticket, size_t daemon = 0);
    nlohmann::json firstTicket() const;
    /** The objects of the first ticket, for changes in later tickets. */
    nlohmann::json engineObject(size_t index, const std::string& role = "mixed") const;
    nlohmann::json serverObject(size_t index) const;
    bool isReady(size_t daemon);
    bool areAllReady();
    bool areStandinsListening() const;

    /** Runs a program of the build and waits for its exit. */
    struct Run {
        int exitCode = -1;
        std::string output;
    };
    Run runProgram(const std::string& relativePath, std::vector<std::string> arguments, double timeoutSeconds = 120);

    /** Starts a program of the build; outputPath() of the returned object names the file with its output. */
    std::unique_ptr<ChildProcess> startProgram(const std::string& relativePath, std::vector<std::string> arguments);

    size_t daemonCount() const { return m_shape.daemons; }
    size_t engineCount() const { return m_shape.engines; }
    size_t serverCount() const { return m_shape.backendServers; }
    const std::string& folder() const { return m_folder; }

private:
    std::string zoneOf(size_t index) const { return m_shape.zones[index % m_shape.zones.size()]; }
    std::string writeSettings(size_t index) const;
    std::string output(const std::string& name) const { return m_folder + "/" + name + ".out"; }

    ClusterShape m_shape;
    std::string m_folder;
    uint16_t m_keyValuePort = 0;
    std::vector<uint16_t> m_callerPorts;
    std::vector<uint16_t> m_operatorPorts;
    std::vector<uint16_t> m_peerPorts;
    std::vector<uint16_t> m_enginePorts;
    std::vector<uint16_t> m_serverPorts;
    std::unique_ptr<ChildProcess> m_keyValue;
    std::map<size_t, std::unique_ptr<ChildProcess>> m_daemons;
    std::map<size_t, std::unique_ptr<ChildProcess>> m_engines;
    std::map<size_t, std::unique_ptr<ChildProcess>> m_backendServers;
    size_t m_runs = 0;
};

} // namespace chestnut::test
