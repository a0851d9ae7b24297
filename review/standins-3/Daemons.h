#pragma once

#include "Http.h"

#include <sys/types.h>

namespace review {

/** One daemon: the program of the deploy file as a process of its own, on ports of 127.0.0.1. */
class Daemon {
public:
    /** Starts the process with settings like those of a small deployment; its output goes to a file in the folder. */
    Daemon(const std::string& name, const std::string& folder, uint16_t storePort, uint32_t memoryMegabytes);
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;
    /** Ends the process with SIGKILL. */
    ~Daemon();

    const std::string& name() const { return m_name; }
    uint16_t clientPort() const { return m_clientPort; }
    /** Whether the daemon says that it is ready. */
    bool isReady() const;
    bool isRunning();
    /** Resident memory in megabytes; 0 if the process has ended. */
    uint32_t residentMegabytes() const;
    /** Sends SIGKILL, as the platform does with a process beyond its memory. */
    void kill() const;

private:
    void writeSettings(const std::string& path, uint16_t storePort, uint32_t memoryMegabytes) const;

    std::string m_name;
    uint16_t m_clientPort;
    uint16_t m_readinessPort;
    uint16_t m_discoveryPort;
    uint16_t m_peerPort;
    uint16_t m_peerApiPort;
    pid_t m_process = 0;
};

/** Waits until all daemons are ready; false if they are not in this time. */
bool awaitReadiness(const std::vector<std::unique_ptr<Daemon>>&, double seconds);

} // namespace review
