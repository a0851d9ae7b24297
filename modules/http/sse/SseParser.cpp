#include "http/sse/SseParser.h"

namespace chestnut {

namespace {

    std::string_view fieldValue(std::string_view line, size_t colon)
    {
        auto value = line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        return value;
    }

    void applyLine(std::string_view line, SseEvent& event, bool& hasData)
    {
        auto colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            return;
        auto name = line.substr(0, colon);
        if (name == "id")
            event.id = fieldValue(line, colon);
        if (name != "data")
            return;
        if (hasData)
            event.data += '\n';
        event.data += fieldValue(line, colon);
        hasData = true;
    }

} // namespace

std::string formatSse(const SseEvent& event)
{
    std::string text;
    if (!event.id.empty())
        text.append("id: ").append(event.id).append("\n");
    std::string_view rest = event.data;
    while (true) {
        auto line = rest.substr(0, rest.find('\n'));
        text.append("data: ").append(line).append("\n");
        if (line.size() == rest.size())
            break;
        rest = rest.substr(line.size() + 1);
    }
    text += '\n';
    return text;
}

void SseParser::append(std::string_view bytes)
{
    for (char c : bytes) {
        if (c != '\r')
            m_buffer += c;
    }
}

std::optional<SseEvent> SseParser::next()
{
    while (true) {
        auto end = m_buffer.find("\n\n");
        if (end == std::string::npos) {
            m_hasFailed = m_hasFailed || m_buffer.size() > maximumEventBytes;
            return std::nullopt;
        }
        std::string block = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        SseEvent event;
        bool hasData = false;
        std::string_view rest = block;
        while (!rest.empty()) {
            auto line = rest.substr(0, rest.find('\n'));
            rest = line.size() < rest.size() ? rest.substr(line.size() + 1) : std::string_view();
            applyLine(line, event, hasData);
        }
        if (hasData)
            return event;
    }
}

} // namespace chestnut
