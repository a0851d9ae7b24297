#include "kernel/logging/Log.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace chestnut {

namespace {

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || std::ranges::any_of(value, [](unsigned char c) { return c <= ' ' || c == '"' || c == '='; });
    }

    void appendQuoted(std::string& line, std::string_view value)
    {
        line += '"';
        for (unsigned char c : value) {
            if (c == '"' || c == '\\') {
                line += '\\';
                line += static_cast<char>(c);
            } else if (c < ' ') {
                std::array<char, 8> escape {};
                std::snprintf(escape.data(), escape.size(), "\\u%04x", c);
                line += escape.data();
            } else
                line += static_cast<char>(c);
        }
        line += '"';
    }

} // namespace

LogField::LogField(std::string_view fieldKey, double fieldValue)
    : key(fieldKey)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.6g", fieldValue);
    value = text.data();
}

std::string formatLogfmt(const LogEntry& entry)
{
    const auto& description = describe(entry.event);
    std::string line = "event=" + std::to_string(static_cast<unsigned>(entry.event));
    line.append(" name=").append(description.name);
    for (const auto& [key, value] : entry.fields) {
        line.append(" ").append(key).append("=");
        if (needsQuotes(value))
            appendQuoted(line, value);
        else
            line += value;
    }
    return line;
}

std::string formatJson(const LogEntry& entry)
{
    const auto& description = describe(entry.event);
    std::string line = "{\"event\":" + std::to_string(static_cast<unsigned>(entry.event));
    line.append(",\"name\":\"").append(description.name).append("\"");
    for (const auto& [key, value] : entry.fields) {
        line += ',';
        appendQuoted(line, key);
        line += ':';
        appendQuoted(line, value);
    }
    line += '}';
    return line;
}

void Log::write(EventId event, LogFields fields)
{
    m_recent.push_back({ event, std::move(fields) });
    emit(m_recent.back());
    if (m_recent.size() > maximumRecentEntries)
        m_recent.pop_front();
}

std::vector<LogEntry> Log::recent(std::string_view key, std::string_view value) const
{
    std::vector<LogEntry> found;
    auto matches = [&](const LogEntry& entry) {
        return std::ranges::any_of(entry.fields, [&](const LogField& field) { return field.key == key && field.value == value; });
    };
    std::ranges::copy_if(m_recent, std::back_inserter(found), matches);
    return found;
}

std::vector<LogEntry> Log::recent(EventId event) const
{
    std::vector<LogEntry> found;
    std::ranges::copy_if(m_recent, std::back_inserter(found), [&](const LogEntry& entry) { return entry.event == event; });
    return found;
}

} // namespace chestnut
