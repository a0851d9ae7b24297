#pragma once

#include "kernel/timers/AsioTimerService.h"
#include "processes/ChildProcess.h"
#include "review/standins/Record.h"
#include "soak/FaultyLink.h"
#include "soak/PlatformStore.h"

#include <random>

namespace chestnut::review {

/** Settings of a run, from the command line. */
struct RunOptions {
    std::string root; /**< folder of the repository */
    std::string recordPath;
    std::string folder; /**< for the settings and logs of the daemons */
    bool hasTrouble = true; /**< false: the same run without the disruption */
};

RunOptions parseOptions(int argumentCount, char** arguments);

/** How a run ended, as its exit code. */
enum class Verdict : uint8_t {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/** One daemon: the program of the deploy file as a process. It reaches the store through a link of its own. */
struct ReviewDaemon {
    std::string name;
    std::string settingsPath;
    std::string outputPath;
    Endpoint clientEndpoint;
    Endpoint readinessEndpoint;
    soak::LinkPointer storeLink;
    std::unique_ptr<test::ChildProcess> process;
    TimePoint startedAt; /**< of the present process */
    bool isStopping = false;
};

/** A small deployment: six daemons as processes in three availability zones, and a store in this process. */
class ReviewFleet {
public:
    /** Bounds of the users' pages for their small deployments. */
    static constexpr Duration stableTime = std::chrono::milliseconds(3000); /**< stable_ms */
    static constexpr Duration drainTime = std::chrono::milliseconds(2000); /**< drain_ms */
    static constexpr Duration requestTimeout = std::chrono::milliseconds(800);
    static constexpr Duration clientTimeout = std::chrono::milliseconds(1500);
    static constexpr Duration heartbeatPeriod = std::chrono::milliseconds(1200);
    static constexpr const char* host = "review.example";
    static constexpr const char* service = "desk";
    static constexpr const char* engineService = "lm";
    static constexpr Duration streamTimeout = std::chrono::milliseconds(15000);

    explicit ReviewFleet(const RunOptions&);

    /** Starts the store and the daemons, and waits until all daemons are ready. Returns false if they are not in time. */
    asio::awaitable<bool> start();

    /** Stops a daemon as planned, with SIGTERM, waits until it has ended, and starts it again. */
    asio::awaitable<void> restart(ReviewDaemon&);

    /** Whether the daemon's process has run undisturbed for the stable time. */
    bool isInTouch(const ReviewDaemon&) const;

    ReviewDaemon* find(std::string_view name);
    uint32_t random(uint32_t lowest, uint32_t highest);

    asio::io_context context;
    AsioTimerService timers { context };
    MemoryLog log;
    Record record;
    soak::PlatformStore store;
    std::vector<std::unique_ptr<ReviewDaemon>> daemons;

private:
    void addDaemon(int number);
    void startProcess(ReviewDaemon&);
    void writeManifest();
    asio::awaitable<bool> isReady(const ReviewDaemon&);

    RunOptions m_options;
    ConnectionPool m_pool { context, timers, {} };
    std::mt19937 m_random { std::random_device {}() };
};

/** Runs a scenario to its end, ends the daemons, and exits with the verdict. */
[[noreturn]] void runScenario(ReviewFleet&, asio::awaitable<Verdict> scenario);

} // namespace chestnut::review
