#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/** One daemon: the program of the deploy file as a process of its own. */
struct Daemon {
    std::string id;
    std::string settingsPath;
    std::string logPath;
    uint16_t frontPort = 0;
    uint16_t readinessPort = 0;
    pid_t process = -1;
};

struct FleetSettings {
    std::string repository; /**< the folder that holds target/ */
    std::string folder; /**< for settings and logs */
    std::string storeAddress;
    int daemons = 6;
};

/** Daemons as child processes on loopback addresses, with the settings of a small deployment. The destructor ends them. */
class Daemons {
public:
    explicit Daemons(FleetSettings);
    Daemons(const Daemons&) = delete;
    Daemons& operator=(const Daemons&) = delete;
    ~Daemons();

    const Daemon& at(size_t index) const { return m_daemons.at(index % m_daemons.size()); }

    /** Starts the daemons that have ended by themselves again, as the platform does; returns how many had. */
    int restartEnded();

    /** Waits until all daemons are ready; returns false after the time. */
    bool waitUntilReady(int64_t milliseconds) const;

private:
    void start(Daemon&) const;

    FleetSettings m_settings;
    std::vector<Daemon> m_daemons;
};

/** A new folder for the files of one run, removed with the object. */
class TemporaryFolder {
public:
    TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder();

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace review
