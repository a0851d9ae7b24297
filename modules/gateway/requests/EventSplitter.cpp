#include "gateway/requests/EventSplitter.h"

#include <charconv>
#include <utility>

namespace chestnut {

namespace {

    constexpr std::string_view idField = "id:";

    /** The position after the blank line that ends the first event, or npos. */
    size_t endOfEvent(std::string_view text, size_t from)
    {
        for (auto line = text.find('\n', from); line != std::string_view::npos; line = text.find('\n', line + 1)) {
            auto next = line + 1;
            if (next < text.size() && text[next] == '\r')
                ++next;
            if (next < text.size() && text[next] == '\n')
                return next + 1;
        }
        return std::string_view::npos;
    }

    bool isComment(std::string_view event)
    {
        auto isLineStart = true;
        for (auto character : event) {
            auto isEndOfLine = character == '\r' || character == '\n';
            if (isLineStart && !isEndOfLine && character != ':')
                return false;
            isLineStart = isEndOfLine;
        }
        return true;
    }

    std::string_view idOf(std::string_view event)
    {
        std::string_view id;
        size_t start = 0;
        while (start < event.size()) {
            auto end = event.find('\n', start);
            auto line = event.substr(start, end == std::string_view::npos ? std::string_view::npos : end - start);
            if (line.starts_with(idField)) {
                id = line.substr(idField.size());
                while (!id.empty() && id.front() == ' ')
                    id.remove_prefix(1);
                while (!id.empty() && id.back() == '\r')
                    id.remove_suffix(1);
            }
            if (end == std::string_view::npos)
                break;
            start = end + 1;
        }
        return id;
    }

} // namespace

EventBatch EventSplitter::takeEvents()
{
    size_t taken = 0;
    auto start = std::exchange(m_commentBytes, 0);
    EventBatch batch;
    for (auto end = endOfEvent(m_buffer, start); end != std::string::npos; end = endOfEvent(m_buffer, start)) {
        auto event = std::string_view(m_buffer).substr(start, end - start);
        start = end;
        if (isComment(event))
            continue;
        if (auto id = idOf(event); !id.empty())
            batch.lastId = id;
        taken = end;
    }
    m_commentBytes = start - taken;
    batch.bytes = m_buffer.substr(0, taken);
    m_buffer.erase(0, taken);
    return batch;
}

std::string EventSplitter::takeRemainder()
{
    m_commentBytes = 0;
    return std::exchange(m_buffer, {});
}

std::optional<uint64_t> eventNumber(std::string_view id)
{
    uint64_t number = 0;
    auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    if (error != std::errc() || end != id.data() + id.size())
        return std::nullopt;
    return number;
}

std::vector<StreamEvent> eventsOf(std::string_view batch)
{
    std::vector<StreamEvent> events;
    size_t start = 0;
    for (auto end = endOfEvent(batch, start); end != std::string_view::npos; end = endOfEvent(batch, start)) {
        auto text = batch.substr(start, end - start);
        events.push_back({ text, idOf(text), isComment(text) });
        start = end;
    }
    if (start < batch.size())
        events.push_back({ batch.substr(start), {}, true });
    return events;
}

bool keepContinuation(EventBatch& batch, StreamPosition& position, bool isContinuation, std::string& lastEventId)
{
    std::string kept;
    auto fits = true;
    for (const auto& event : eventsOf(batch.bytes)) {
        auto number = eventNumber(event.id);
        auto fit = isContinuation && !event.isComment ? position.fitOf(number) : EventFit::Next;
        fits = fit != EventFit::Mismatch;
        if (!fits)
            break;
        if (fit == EventFit::Repeated)
            continue;
        kept.append(event.text);
        if (event.isComment)
            continue;
        position.recordSent(number);
        if (!event.id.empty())
            lastEventId = event.id;
    }
    batch.bytes = std::move(kept);
    return fits;
}

} // namespace chestnut
