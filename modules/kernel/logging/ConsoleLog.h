#pragma once

#include "kernel/logging/Log.h"

#include <memory>

namespace chestnut {

enum class LogFormat : uint8_t {
    Logfmt,
    Json,
};

/** Writes the log to standard output through log4cplus, because the VMs have no disks. It never blocks: lines that the
    output cannot accept immediately are dropped, and the event LogLinesDropped reports their number later. */
class ConsoleLog final : public Log {
public:
    /** `descriptor` must be open; the log does not close it. */
    ConsoleLog(LogFormat, Severity minimumSeverity, int descriptor = standardOutput);
    ~ConsoleLog() override;

    void setMinimumSeverity(Severity);

protected:
    void emit(const LogEntry&) override;

private:
    static constexpr int standardOutput = 1;
    struct Output;

    std::string format(const LogEntry&) const;
    void reportDroppedLines();

    LogFormat m_format;
    std::unique_ptr<Output> m_output;
};

} // namespace chestnut
