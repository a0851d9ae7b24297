#include "processes/ProcessCluster.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <fstream>

namespace chestnut::test {

namespace {

    constexpr const char* programs = CHESTNUT_BINARY_DIR "/programs/";
    constexpr const char* standins = CHESTNUT_BINARY_DIR "/standins/";

    std::vector<uint16_t> freePorts(size_t count)
    {
        std::vector<uint16_t> ports;
        for (size_t i = 0; i < count; ++i)
            ports.push_back(freePort());
        return ports;
    }

    std::string loopback(uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::vector<std::string> withListen(std::vector<std::string> flags, uint16_t port)
    {
        flags.push_back("--listen=" + loopback(port));
        return flags;
    }

} // namespace

ProcessCluster::ProcessCluster(ClusterShape shape)
    : m_shape(std::move(shape))
    , m_folder(std::string(CHESTNUT_BINARY_DIR) + "/process_tests/" + m_shape.name)
    , m_keyValuePort(freePort())
    , m_callerPorts(freePorts(m_shape.daemons))
    , m_operatorPorts(freePorts(m_shape.daemons))
    , m_peerPorts(freePorts(m_shape.daemons))
    , m_enginePorts(freePorts(m_shape.engines))
    , m_serverPorts(freePorts(m_shape.backendServers))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
}

bool ProcessCluster::start()
{
    startKeyValue();
    for (size_t i = 0; i < m_shape.engines; ++i)
        startEngine(i);
    for (size_t i = 0; i < m_shape.backendServers; ++i)
        startBackendServer(i);
    for (size_t i = 0; i < m_shape.daemons; ++i)
        startDaemon(i);
    if (!eventually([this] { return submit(firstTicket()) == 200; }))
        return false;
    return eventually([this] {
        for (size_t i = 0; i < m_shape.daemons; ++i) {
            if (!isReady(i))
                return false;
        }
        return true;
    });
}

void ProcessCluster::startKeyValue()
{
    m_keyValue = std::make_unique<ChildProcess>(std::string(standins) + "kvstandin/kvstandin", withListen(m_shape.keyValueFlags, m_keyValuePort), output("kv"));
}

void ProcessCluster::startEngine(size_t index)
{
    m_engines[index] = std::make_unique<ChildProcess>(std::string(standins) + "enginestandin/enginestandin",
        withListen(m_shape.engineFlags, m_enginePorts[index]), output("engine" + std::to_string(index)));
}

void ProcessCluster::startBackendServer(size_t index)
{
    m_backendServers[index] = std::make_unique<ChildProcess>(std::string(standins) + "servicestandin/servicestandin",
        withListen(m_shape.serviceFlags, m_serverPorts[index]), output("server" + std::to_string(index)));
}

std::string ProcessCluster::writeSettings(size_t index) const
{
    std::string path = m_folder + "/daemon" + std::to_string(index) + ".ini";
    std::string seeds;
    for (auto port : m_peerPorts)
        seeds += (seeds.empty() ? "" : ", ") + loopback(port);
    std::ofstream file(path);
    file << "[daemon]\nid = d" << index << "\ndeployment = " << m_shape.name << "\nzone = " << zoneOf(index) << "\nregion = r1\n"
         << "[listen]\ncallers = " << loopback(m_callerPorts[index]) << "\noperators = " << loopback(m_operatorPorts[index])
         << "\npeers = " << loopback(m_peerPorts[index]) << "\n[peers]\nseeds = " << seeds << "\n"
         << "[platform]\nendpoint = " << loopback(m_keyValuePort) << "\n";
    return path;
}

void ProcessCluster::startDaemon(size_t index)
{
    m_daemons[index] = std::make_unique<ChildProcess>(std::string(programs) + "chestnutrouted/chestnutrouted",
        std::vector<std::string> { "--config=" + writeSettings(index) }, output("daemon" + std::to_string(index)));
}

std::string ProcessCluster::operatorList() const
{
    std::string list;
    for (auto port : m_operatorPorts)
        list += (list.empty() ? "" : ",") + loopback(port);
    return list;
}

Result<HttpResponse> ProcessCluster::send(Endpoint endpoint, HttpRequest request, Duration timeout)
{
    asio::io_context context;
    HttpClient client(context);
    HttpTimeouts timeouts;
    timeouts.read = timeout;
    std::optional<Result<HttpResponse>> result;
    asio::co_spawn(context, client.exchange(std::move(endpoint), std::move(request), timeouts),
        [&](const std::exception_ptr&, Result<HttpResponse> response) { result = std::move(response); });
    context.run();
    return result ? std::move(*result) : Result<HttpResponse>(makeError(ErrorKind::Internal, "no result"));
}

nlohmann::json ProcessCluster::fetchJson(Endpoint endpoint, const std::string& target)
{
    HttpRequest request;
    request.target = target;
    auto response = send(std::move(endpoint), request);
    return response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
}

bool ProcessCluster::postJson(Endpoint endpoint, const std::string& target, const nlohmann::json& body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.body = body.dump();
    auto response = send(std::move(endpoint), request);
    return response && response->status < 300;
}

int ProcessCluster::submit(const nlohmann::json& ticket, size_t daemon)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/tickets";
    request.body = ticket.dump();
    auto response = send(operators(daemon), request);
    return response ? response->status : 0;
}

nlohmann::json ProcessCluster::firstTicket() const
{
    nlohmann::json ticket { { "number", 1 } };
    ticket["models"]["m1"] = { { "version", "1" } };
    for (size_t i = 0; i < m_shape.engines; ++i) {
        ticket["engines"]["e" + std::to_string(i)] = { { "address", loopback(m_enginePorts[i]) }, { "zone", zoneOf(i) },
            { "region", "r1" }, { "model", "m1" }, { "role", "mixed" } };
    }
    for (size_t i = 0; i < m_shape.backendServers; ++i) {
        ticket["backend_servers"]["o" + std::to_string(i)] = { { "service", "orders" }, { "address", loopback(m_serverPorts[i]) },
            { "zone", zoneOf(i) }, { "region", "r1" } };
    }
    return ticket;
}

bool ProcessCluster::isReady(size_t daemon)
{
    HttpRequest request;
    request.target = "/ready";
    auto response = send(operators(daemon), request);
    return response && response->status == 200;
}

ProcessCluster::Run ProcessCluster::runProgram(const std::string& relativePath, std::vector<std::string> arguments, double boundSeconds)
{
    std::string path = output("run" + std::to_string(m_runs++));
    ChildProcess process(std::string(CHESTNUT_BINARY_DIR) + "/" + relativePath, std::move(arguments), path);
    auto exitCode = process.wait(boundSeconds);
    return { exitCode.value_or(-1), fileContents(path) };
}

} // namespace chestnut::test
