#pragma once

#include "kernel/logging/Log.h"

#include <memory>

namespace chestnut {

enum class LogFormat : uint8_t {
    Logfmt,
    Json,
};

/** Writes the log to standard output through log4cplus; the VMs have no disks. It never waits for the reader: lines that the
    output does not take are dropped, and a later line tells how many. */
class ConsoleLog final : public Log {
public:
    /** `descriptor` is the open output; it is not closed. */
    ConsoleLog(LogFormat, Severity lowestSeverity, int descriptor = standardOutput);
    ~ConsoleLog() override;

    void setMinimumSeverity(Severity);

protected:
    void emit(const LogEntry&) override;

private:
    static constexpr int standardOutput = 1;
    struct Backend;

    std::string format(const LogEntry&) const;
    void reportDroppedLines();

    LogFormat m_format;
    std::unique_ptr<Backend> m_backend;
};

} // namespace chestnut
