#pragma once

#include "kernel/logging/Log.h"

#include <memory>

namespace chestnut {

enum class LogFormat : uint8_t {
    Logfmt,
    Json,
};

/** Writes the log to standard output through log4cplus; the VMs have no disks. */
class ConsoleLog final : public Log {
public:
    ConsoleLog(LogFormat, Severity lowestSeverity);
    ~ConsoleLog() override;

protected:
    void emit(const LogEntry&) override;

private:
    struct Backend;

    LogFormat m_format;
    std::unique_ptr<Backend> m_backend;
};

} // namespace chestnut
