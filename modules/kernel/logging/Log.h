#pragma once

#include "base/events/EventId.h"
#include "base/ids/StrongId.h"
#include "kernel/registry/Service.h"

#include <deque>
#include <string>
#include <vector>

namespace chestnut {

/** One key and value of a log line. */
struct LogField {
    LogField(std::string_view fieldKey, std::string_view fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {
    }
    LogField(std::string_view fieldKey, const char* fieldValue)
        : LogField(fieldKey, std::string_view(fieldValue))
    {
    }
    LogField(std::string_view fieldKey, double fieldValue);
    template <typename T>
    requires std::integral<T>
    LogField(std::string_view fieldKey, T fieldValue)
        : key(fieldKey)
        , value(std::to_string(fieldValue))
    {
    }
    template <typename Tag>
    LogField(std::string_view fieldKey, const StrongId<Tag>& id)
        : key(fieldKey)
        , value(id.value())
    {
    }

    std::string key;
    std::string value;

    bool operator==(const LogField&) const = default;
};

using LogFields = std::vector<LogField>;

struct LogEntry {
    EventId event;
    LogFields fields;
};

/** Formats an entry as logfmt: `event=2000 name=request_routed request=r1 ...`. Values are quoted where needed. */
std::string formatLogfmt(const LogEntry&);

/** Formats an entry as one JSON object on one line. */
std::string formatJson(const LogEntry&);

/** The structured log. It also stores the latest entries in memory, which the operators' interface uses to explain the
    decisions on a request. */
class Log : public Service {
public:
    static constexpr std::string_view serviceName = "log";
    std::string_view name() const final { return serviceName; }

    void write(EventId, LogFields);

    /** Returns the entries in memory that have a field with this key and value, oldest first. */
    std::vector<LogEntry> recent(std::string_view key, std::string_view value) const;
    std::vector<LogEntry> recent(EventId) const;

protected:
    virtual void emit(const LogEntry&) = 0;

private:
    /** About 4 MB at 512 bytes an entry. */
    static constexpr size_t maximumRecentEntries = 8192;

    std::deque<LogEntry> m_recent;
};

/** A log without output, which only stores the latest entries in memory; for tests and tools. */
class MemoryLog final : public Log {
protected:
    void emit(const LogEntry&) override { }
};

} // namespace chestnut
