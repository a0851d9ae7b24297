#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace chestnut::test {

/** A program started by a test; it is killed when the object ends. */
class ChildProcess {
public:
    /** Starts the program with its output appended to a file. */
    ChildProcess(std::string program, std::vector<std::string> arguments, std::string outputPath);
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    ~ChildProcess();

    void signal(int number) const;
    bool isRunning();

    /** Waits for the end of the process for at most the given seconds and returns its exit code; 128 plus the signal
        number when a signal ended it. */
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

/** A TCP port on 127.0.0.1 that was free a moment ago, below the range of ephemeral ports, so that no outgoing
    connection takes it in between. */
uint16_t freePort();

/** Calls the predicate every 20 ms until it holds; false after the bound. */
template <typename Predicate>
bool eventually(Predicate predicate, double boundSeconds = 60)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(boundSeconds);
    while (!predicate()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string fileContents(const std::string& path);

} // namespace chestnut::test
