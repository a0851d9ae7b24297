#include "Daemons.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr const char* program = "target/programs/chestnutrouted/chestnutrouted";

    std::string endpoint(uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    pid_t startProcess(const std::string& settings, const std::string& output)
    {
        auto configuration = "--config=" + settings;
        auto parent = ::getpid();
        auto process = ::fork();
        if (process != 0)
            return process;
        (void)::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        auto file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        (void)::dup2(file, STDOUT_FILENO);
        (void)::dup2(file, STDERR_FILENO);
        ::execl(program, program, "--gateway", configuration.c_str(), nullptr);
        ::_exit(1);
    }

} // namespace

Daemon::Daemon(const std::string& name, const std::string& folder, uint16_t storePort, uint32_t memoryMegabytes)
    : m_name(name)
    , m_clientPort(findFreePort())
    , m_readinessPort(findFreePort())
    , m_discoveryPort(findFreePort())
    , m_peerPort(findFreePort())
    , m_peerApiPort(findFreePort())
{
    auto settings = folder + "/" + name + ".ini";
    writeSettings(settings, storePort, memoryMegabytes);
    m_process = startProcess(settings, folder + "/" + name + ".log");
}

void Daemon::writeSettings(const std::string& path, uint16_t storePort, uint32_t memoryMegabytes) const
{
    std::ofstream(path) << "[daemon]\nid = " << m_name << "\nzone = zone-a\nlink_megabits = 1000\n[listen]\nfront = " << endpoint(m_clientPort)
                        << "\nreadiness = " << endpoint(m_readinessPort) << "\ndiscovery = " << endpoint(m_discoveryPort) << "\npeers = " << endpoint(m_peerPort)
                        << "\npeer_api = " << endpoint(m_peerApiPort) << "\n[store]\nendpoint = " << endpoint(storePort) << "\n[limits]\nmemory_megabytes = " << memoryMegabytes
                        << "\n[bounds]\nretry_ratio = 0.2\nretry_slack = 52\nretry_window_seconds = 10\ntakeover_wait_ms = 3000\ndiscovery_seconds = 5\nshutdown_seconds = 8\n";
}

Daemon::~Daemon()
{
    if (!isRunning())
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

bool Daemon::isRunning()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = 0;
    return m_process > 0;
}

bool Daemon::isReady() const
{
    auto connection = Connection::open(m_readinessPort);
    if (!connection || !connection->write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
        return false;
    connection->setReadTimeout(1000);
    auto response = connection->readMessage();
    return response && response->status() == 200;
}

uint32_t Daemon::residentMegabytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string field;
    uint32_t kilobytes = 0;
    while (status >> field) {
        if (field == "VmRSS:" && status >> kilobytes)
            return kilobytes / 1024;
    }
    return 0;
}

void Daemon::kill() const
{
    if (m_process > 0)
        ::kill(m_process, SIGKILL);
}

bool awaitReadiness(const std::vector<std::unique_ptr<Daemon>>& daemons, double seconds)
{
    auto until = now() + seconds;
    while (now() < until) {
        if (std::ranges::all_of(daemons, [](const auto& daemon) { return daemon->isReady(); }))
            return true;
        sleepFor(0.1);
    }
    return false;
}

} // namespace review
