#include "processes/ProcessCluster.h"

#include "kernel/timers/AsioTimerService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
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

    std::vector<std::string> withListen(std::vector<std::string> flags, const Endpoint& endpoint)
    {
        flags.push_back("--listen=" + formatEndpoint(endpoint));
        return flags;
    }

    /** Whether the process accepts connections; the connection is closed without a request. */
    bool isListening(const Endpoint& endpoint)
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        boost::system::error_code error;
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port }, error);
        return !error;
    }

    std::string listOf(const std::vector<uint16_t>& ports)
    {
        std::string list;
        for (auto port : ports)
            list += (list.empty() ? "" : ",") + loopback(port);
        return list;
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
    // Daemons become ready without the backend servers, so their readiness does not show that tests can reach these.
    if (!eventually([this] { return areStandinsListening(); }))
        return false;
    if (!eventually([this] { return submit(firstTicket()) == 200; }))
        return false;
    return eventually([this] { return areAllReady(); });
}

void ProcessCluster::startKeyValue()
{
    m_keyValue = std::make_unique<ChildProcess>(std::string(standins) + "kvstandin/kvstandin", withListen(m_shape.keyValueFlags, keyValueEndpoint()), output("kv"));
}

void ProcessCluster::startEngine(size_t index)
{
    auto flags = withListen(m_shape.engineFlags, engineEndpoint(index));
    if (m_shape.enginesIgnoringFencing.contains(index))
        flags.emplace_back("--checks_fencing=false");
    m_engines[index] = std::make_unique<ChildProcess>(std::string(standins) + "enginestandin/enginestandin", std::move(flags), output("engine" + std::to_string(index)));
}

void ProcessCluster::startBackendServer(size_t index)
{
    m_backendServers[index] = std::make_unique<ChildProcess>(std::string(standins) + "servicestandin/servicestandin",
        withListen(m_shape.serviceFlags, serverEndpoint(index)), output("server" + std::to_string(index)));
}

std::string ProcessCluster::writeSettings(size_t index) const
{
    std::string path = m_folder + "/daemon" + std::to_string(index) + ".ini";
    std::ofstream file(path);
    file << "[daemon]\nid = d" << index << "\ndeployment = " << m_shape.name << "\nzone = " << zoneOf(index) << "\nregion = r1\nshutdown_timeout = " << m_shape.shutdownTimeout << "\n"
         << "[listen]\ncallers = " << loopback(m_callerPorts[index]) << "\noperators = " << loopback(m_operatorPorts[index])
         << "\npeers = " << loopback(m_peerPorts[index]) << "\n[peers]\nseeds = " << listOf(m_peerPorts) << "\n"
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
    return listOf(m_operatorPorts);
}

std::string ProcessCluster::callerList() const
{
    return listOf(m_callerPorts);
}

Result<HttpResponse> ProcessCluster::send(Endpoint endpoint, HttpRequest request, Duration timeout)
{
    asio::io_context context;
    AsioTimerService timers(context);
    HttpClient client(context, timers);
    HttpTimeouts timeouts;
    timeouts.read = timeout;
    std::optional<Result<HttpResponse>> result;
    asio::co_spawn(context, client.exchange(std::move(endpoint), std::move(request), timeouts),
        [&](const std::exception_ptr&, Result<HttpResponse> response) {
            result = std::move(response);
            context.stop();
        });
    context.run();
    return result ? std::move(*result) : Result<HttpResponse>(makeError(ErrorKind::Internal, "the exchange ended without a result"));
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
    for (size_t i = 0; i < m_shape.engines; ++i)
        ticket["engines"]["e" + std::to_string(i)] = engineObject(i);
    for (size_t i = 0; i < m_shape.backendServers; ++i)
        ticket["backend_servers"]["o" + std::to_string(i)] = serverObject(i);
    return ticket;
}

nlohmann::json ProcessCluster::engineObject(size_t index, const std::string& role) const
{
    // Fixed roles, so that only tickets change an engine.
    return { { "address", formatEndpoint(engineEndpoint(index)) }, { "zone", zoneOf(index) }, { "region", "r1" }, { "model", "m1" },
        { "role", role }, { "role_policy", "fixed" }, { "checks_fencing", !m_shape.enginesIgnoringFencing.contains(index) } };
}

nlohmann::json ProcessCluster::serverObject(size_t index) const
{
    return { { "service", "orders" }, { "address", formatEndpoint(serverEndpoint(index)) }, { "zone", zoneOf(index) }, { "region", "r1" } };
}

bool ProcessCluster::areStandinsListening() const
{
    if (!isListening(keyValueEndpoint()))
        return false;
    for (size_t i = 0; i < m_shape.engines; ++i) {
        if (!isListening(engineEndpoint(i)))
            return false;
    }
    for (size_t i = 0; i < m_shape.backendServers; ++i) {
        if (!isListening(serverEndpoint(i)))
            return false;
    }
    return true;
}

bool ProcessCluster::isReady(size_t daemon)
{
    HttpRequest request;
    request.target = "/ready";
    auto response = send(operators(daemon), request);
    return response && response->status == 200;
}

bool ProcessCluster::areAllReady()
{
    for (size_t i = 0; i < m_shape.daemons; ++i) {
        if (!isReady(i))
            return false;
    }
    return true;
}

std::unique_ptr<ChildProcess> ProcessCluster::startProgram(const std::string& relativePath, std::vector<std::string> arguments)
{
    return std::make_unique<ChildProcess>(std::string(CHESTNUT_BINARY_DIR) + "/" + relativePath, std::move(arguments), output("run" + std::to_string(m_runs++)));
}

ProcessCluster::Run ProcessCluster::runProgram(const std::string& relativePath, std::vector<std::string> arguments, double timeoutSeconds)
{
    auto process = startProgram(relativePath, std::move(arguments));
    auto exitCode = process->wait(timeoutSeconds);
    return { exitCode.value_or(-1), fileContents(process->outputPath()) };
}

} // namespace chestnut::test
