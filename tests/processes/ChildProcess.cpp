#include "processes/ChildProcess.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <limits>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace chestnut::test {

namespace {

    constexpr uint16_t firstPort = 22000;
    constexpr uint16_t lastPort = 32000;
    /** Each test process has a block of ports of its own, because a port is bound only some time after it was chosen. */
    constexpr uint16_t portsPerProcess = 500;

    /** A socket bound to the port, or -1. */
    int bindPort(uint16_t port)
    {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
            return descriptor;
        close(descriptor);
        return -1;
    }

    bool canBind(uint16_t port)
    {
        int descriptor = bindPort(port);
        if (descriptor < 0)
            return false;
        close(descriptor);
        return true;
    }

    /** Reserves a block of ports for this process and returns its first port, which stays bound while the process runs. */
    uint16_t reservePortBlock()
    {
        for (uint16_t first = firstPort; first + portsPerProcess <= lastPort; first += portsPerProcess) {
            if (bindPort(first) >= 0)
                return first;
        }
        throw std::runtime_error("no free block of ports");
    }

    [[noreturn]] void runChild(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPath)
    {
        // Kills the child when the test process ends, even by a crash.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int output = open(outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        // An inherited listener would keep its port bound after the test has closed it.
        close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
        std::vector<char*> pointers { const_cast<char*>(program.c_str()) };
        for (const auto& argument : arguments)
            pointers.push_back(const_cast<char*>(argument.c_str()));
        pointers.push_back(nullptr);
        execv(program.c_str(), pointers.data());
        _exit(127);
    }

} // namespace

ChildProcess::ChildProcess(std::string program, std::vector<std::string> arguments, std::string outputPath)
    : m_outputPath(std::move(outputPath))
{
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("fork failed");
    if (m_pid == 0)
        runChild(program, arguments, m_outputPath);
}

ChildProcess::~ChildProcess()
{
    if (isRunning()) {
        signal(SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void ChildProcess::signal(int number) const
{
    if (!m_exitCode)
        kill(m_pid, number);
}

bool ChildProcess::isRunning()
{
    if (m_exitCode)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    constexpr int signalBase = 128;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
    return false;
}

std::optional<int> ChildProcess::wait(double seconds)
{
    eventually([this] { return !isRunning(); }, seconds);
    return m_exitCode;
}

double ChildProcess::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    constexpr std::string_view marker = "VmHWM:";
    constexpr double kibibyte = 1024;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(marker))
            return std::stod(line.substr(marker.size())) * kibibyte;
    }
    return 0;
}

double ChildProcess::processorSeconds() const
{
    auto text = fileContents("/proc/" + std::to_string(m_pid) + "/stat");
    auto nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos)
        return 0;
    std::istringstream fields(text.substr(nameEnd + 1));
    std::string skipped;
    constexpr int fieldsBeforeUserTime = 11;
    for (int i = 0; i < fieldsBeforeUserTime; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

uint16_t freePort()
{
    static const uint16_t block = reservePortBlock();
    static uint16_t offset = 0;
    for (uint16_t attempt = 0; attempt < portsPerProcess; ++attempt) {
        offset = static_cast<uint16_t>(offset % (portsPerProcess - 1) + 1);
        if (auto port = static_cast<uint16_t>(block + offset); canBind(port))
            return port;
    }
    throw std::runtime_error("no free port");
}

std::string fileContents(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace chestnut::test
