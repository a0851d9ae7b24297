#include "kernel/logging/ConsoleLog.h"

#include <array>
#include <cstring>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace chestnut;

namespace {

/** A pipe that is read only by readOnce(). */
class StalledPipe {
public:
    StalledPipe() { REQUIRE(pipe(m_ends.data()) == 0); }
    StalledPipe(const StalledPipe&) = delete;
    StalledPipe& operator=(const StalledPipe&) = delete;
    ~StalledPipe()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }

    int input() const { return m_ends[1]; }

    std::string readOnce() const
    {
        std::string bytes(1 << 20, '\0');
        auto count = read(m_ends[0], bytes.data(), bytes.size());
        bytes.resize(static_cast<size_t>(std::max<ssize_t>(count, 0)));
        return bytes;
    }

private:
    std::array<int, 2> m_ends {};
};

} // namespace

// Guards against a daemon that blocks because nobody reads its log; a pipe holds 64 KB.
TEST_CASE("the log does not block on a stalled reader and reports the number of dropped lines afterwards")
{
    StalledPipe pipe;
    ConsoleLog log(LogFormat::Logfmt, Severity::Info, pipe.input());
    constexpr int lines = 5000;
    for (int i = 0; i < lines; ++i)
        log.write(EventId::DaemonStarted, { { "number", i } });
    auto first = pipe.readOnce();
    auto written = std::count(first.begin(), first.end(), '\n');
    CHECK(written < lines);
    log.write(EventId::DaemonStopped, {});
    auto second = pipe.readOnce();
    CHECK(second.find("name=log_lines_dropped lines=" + std::to_string(lines - written)) != std::string::npos);
    CHECK(second.find("name=daemon_stopped") != std::string::npos);
}

// Guards against a partly written line, which would block or run into the next line.
TEST_CASE("an overlong line is truncated and stays one line")
{
    StalledPipe pipe;
    ConsoleLog log(LogFormat::Logfmt, Severity::Info, pipe.input());
    log.write(EventId::DaemonStarted, { { "detail", std::string(100'000, 'x') } });
    auto bytes = pipe.readOnce();
    CHECK(bytes.size() <= 4096);
    CHECK(std::count(bytes.begin(), bytes.end(), '\n') == 1);
    CHECK(bytes.back() == '\n');
}
