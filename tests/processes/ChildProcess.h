#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace chestnut::test {

/** A program started by a test. The destructor kills it if it still runs. */
class ChildProcess {
public:
    /** Starts the program and appends its output to a file. */
    ChildProcess(std::string program, std::vector<std::string> arguments, std::string outputPath);
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    ~ChildProcess();

    void signal(int number) const;
    bool isRunning();

    /** Waits at most the given number of seconds for the process to end. Returns its exit code, or 128 plus the signal
        number if a signal ended it; nullopt if it still runs. */
    std::optional<int> wait(double seconds);

    /** Peak resident memory in bytes and processor time in seconds so far, from /proc. */
    double residentBytes() const;
    double processorSeconds() const;

    const std::string& outputPath() const { return m_outputPath; }

private:
    std::string m_outputPath;
    pid_t m_pid = -1;
    std::optional<int> m_exitCode;
};

/** Returns a TCP port on 127.0.0.1 that is free at the time of the call. It lies below the range of ephemeral ports, so
    that no outgoing connection takes it before the caller binds it. */
uint16_t freePort();

/** Calls the predicate every 20 ms until it returns true; returns false after the timeout. */
template <typename Predicate>
bool eventually(Predicate predicate, double timeoutSeconds = 60)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(timeoutSeconds);
    while (!predicate()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string fileContents(const std::string& path);

} // namespace chestnut::test
