#include "kernel/logging/ConsoleLog.h"

#include "kernel/logging/StreamAppender.h"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace chestnut {

namespace {

    log4cplus::LogLevel levelFor(Severity severity)
    {
        switch (severity) {
        case Severity::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case Severity::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case Severity::Warning:
            return log4cplus::WARN_LOG_LEVEL;
        case Severity::Error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

    /** log4cplus cannot be initialized a second time in one process, so the initializer is never destroyed. */
    void initializeLibrary()
    {
        static const auto* const initializer = new log4cplus::Initializer;
        (void)initializer;
    }

    const char* patternFor(LogFormat format)
    {
        if (format == LogFormat::Json)
            return "%m%n";
        return "%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
    }

} // namespace

struct ConsoleLog::Output {
    explicit Output(int descriptor)
        : appender(new StreamAppender(descriptor))
    {
    }

    log4cplus::helpers::SharedObjectPtr<StreamAppender> appender;
    log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("chestnutroute"));
};

ConsoleLog::ConsoleLog(LogFormat format, Severity minimumSeverity, int descriptor)
    : m_format(format)
{
    initializeLibrary();
    m_output = std::make_unique<Output>(descriptor);
    m_output->appender->setLayout(std::make_unique<log4cplus::PatternLayout>(patternFor(format)));
    m_output->logger.removeAllAppenders();
    m_output->logger.addAppender(log4cplus::SharedAppenderPtr(m_output->appender.get()));
    setMinimumSeverity(minimumSeverity);
}

ConsoleLog::~ConsoleLog() = default;

void ConsoleLog::setMinimumSeverity(Severity severity)
{
    m_output->logger.setLogLevel(levelFor(severity));
}

void ConsoleLog::emit(const LogEntry& entry)
{
    auto level = levelFor(describe(entry.event).severity);
    if (!m_output->logger.isEnabledFor(level))
        return;
    reportDroppedLines();
    m_output->logger.forcedLog(level, format(entry));
}

std::string ConsoleLog::format(const LogEntry& entry) const
{
    return m_format == LogFormat::Json ? formatJson(entry) : formatLogfmt(entry);
}

void ConsoleLog::reportDroppedLines()
{
    auto& appender = *m_output->appender;
    if (!appender.hasDroppedLines() || !appender.isWritable())
        return;
    LogEntry report { EventId::LogLinesDropped, { { "lines", appender.takeDroppedLines() } } };
    m_output->logger.forcedLog(levelFor(describe(report.event).severity), format(report));
}

} // namespace chestnut
