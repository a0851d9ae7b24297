#include "kernel/logging/ConsoleLog.h"

#include <log4cplus/consoleappender.h>
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

    const char* patternFor(LogFormat format)
    {
        if (format == LogFormat::Json)
            return "%m%n";
        return "%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
    }

} // namespace

struct ConsoleLog::Backend {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("chestnutroute"));
};

ConsoleLog::ConsoleLog(LogFormat format, Severity lowestSeverity)
    : m_format(format)
    , m_backend(std::make_unique<Backend>())
{
    constexpr bool logsToStandardError = false;
    constexpr bool flushesEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(logsToStandardError, flushesEachLine));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(patternFor(format)));
    m_backend->logger.removeAllAppenders();
    m_backend->logger.addAppender(appender);
    m_backend->logger.setLogLevel(levelFor(lowestSeverity));
}

ConsoleLog::~ConsoleLog() = default;

void ConsoleLog::emit(const LogEntry& entry)
{
    auto level = levelFor(describe(entry.event).severity);
    if (!m_backend->logger.isEnabledFor(level))
        return;
    m_backend->logger.forcedLog(level, m_format == LogFormat::Json ? formatJson(entry) : formatLogfmt(entry));
}

} // namespace chestnut
