#include "Daemons.h"

#include "Http.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr const char* program = "target/programs/chestnutrouted/chestnutrouted";
    constexpr int zones = 3;
    constexpr int linkMegabits = 1000;
    constexpr int memoryMegabytes = 260;

    std::string loopbackAddress(uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

} // namespace

Daemons::Daemons(FleetSettings settings)
    : m_settings(std::move(settings))
{
    for (int i = 0; i < m_settings.daemons; ++i) {
        Daemon daemon { "edge-" + std::to_string(i), {}, {}, freePort(), freePort() };
        daemon.settingsPath = m_settings.folder + "/" + daemon.id + ".ini";
        daemon.logPath = m_settings.folder + "/" + daemon.id + ".log";
        std::ofstream file(daemon.settingsPath);
        file << "[daemon]\nid = " << daemon.id << "\nzone = z" << i % zones << "\nlink_megabits = " << linkMegabits
             << "\n[listen]\nfront = " << loopbackAddress(daemon.frontPort) << "\nreadiness = " << loopbackAddress(daemon.readinessPort)
             << "\ndiscovery = " << loopbackAddress(freePort()) << "\nmetrics = " << loopbackAddress(freePort())
             << "\npeers = " << loopbackAddress(freePort()) << "\npeer_api = " << loopbackAddress(freePort())
             << "\n[store]\nendpoint = " << m_settings.storeAddress << "\n";
        file << "[limits]\nmemory_megabytes = " << memoryMegabytes
             << "\n[bounds]\nretry_ratio = 0.2\nretry_slack = 52\nretry_window_seconds = 10\ntakeover_wait_ms = 3000\ndiscovery_seconds = 5\nshutdown_seconds = 8\n";
        m_daemons.push_back(std::move(daemon));
    }
    for (auto& daemon : m_daemons)
        start(daemon);
}

Daemons::~Daemons()
{
    for (auto& daemon : m_daemons) {
        if (daemon.process <= 0)
            continue;
        ::kill(daemon.process, SIGKILL);
        ::waitpid(daemon.process, nullptr, 0);
    }
}

void Daemons::start(Daemon& daemon) const
{
    auto config = "--config=" + daemon.settingsPath;
    daemon.process = ::fork();
    if (daemon.process != 0)
        return;
    // The daemons also end if the case is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    auto log = ::open(daemon.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    if (::chdir(m_settings.repository.c_str()) == 0)
        ::execl(program, program, "--gateway", config.c_str(), nullptr);
    std::_Exit(127);
}

int Daemons::restartEnded()
{
    int ended = 0;
    for (auto& daemon : m_daemons) {
        if (::waitpid(daemon.process, nullptr, WNOHANG) != daemon.process)
            continue;
        ++ended;
        start(daemon);
    }
    return ended;
}

bool Daemons::waitUntilReady(int64_t milliseconds) const
{
    constexpr int callTimeout = 500;
    auto end = nowMilliseconds() + milliseconds;
    for (const auto& daemon : m_daemons) {
        while (call(daemon.readinessPort, "GET /v1/ready HTTP/1.1\r\nHost: review\r\nConnection: close\r\n\r\n", callTimeout).status != 200) {
            if (nowMilliseconds() > end)
                return false;
            sleepMilliseconds(50);
        }
    }
    return true;
}

TemporaryFolder::TemporaryFolder()
    : m_path(std::filesystem::temp_directory_path() / "chestnut-review-XXXXXX")
{
    if (!::mkdtemp(m_path.data()))
        std::_Exit(2);
}

TemporaryFolder::~TemporaryFolder()
{
    // REVIEW_KEEP=1 keeps the logs of the daemons.
    if (!std::getenv("REVIEW_KEEP"))
        std::filesystem::remove_all(m_path);
}

} // namespace review
