#include "soak/ResponseRewriter.h"

#include "platform/Names.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

namespace chestnut::soak {

namespace {

    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headerEnd = "\r\n\r\n";
    /** The chunk, counted from 0, in the middle of which a cut stream ends. */
    constexpr int cutChunk = 1;
    constexpr int hexadecimal = 16;
    /** One in this many requests with another id gets a copy. */
    constexpr int otherRequestsPerCopy = 4;

    /** The request id in the header of a message, or nothing. */
    std::string requestIdIn(const std::string& message)
    {
        std::vector<std::string> lines = absl::StrSplit(message.substr(0, message.find(headerEnd)), "\r\n");
        auto start = std::string(platform::names::requestId) + ": ";
        for (const auto& line : lines) {
            if (absl::StartsWithIgnoreCase(line, start))
                return line.substr(start.size());
        }
        return {};
    }

} // namespace

std::string ResponseRewriter::rewrite(const std::string& bytes, ResponseFault fault)
{
    if (m_fault == ResponseFault::None) {
        keepRefusal(bytes);
        auto isUnaltered = fault == ResponseFault::None || fault == ResponseFault::RepeatedRefusal || fault == ResponseFault::CopiedRefusal;
        if (isUnaltered || !bytes.starts_with("HTTP/1.1 200"))
            return bytes;
        m_fault = fault;
    }
    m_input += bytes;
    auto output = m_isHeaderSent ? std::string() : takeHeader();
    if (m_isHeaderSent && m_end == ConnectionEnd::None)
        output += m_isChunked ? takeChunks() : takeBody();
    return output;
}

void ResponseRewriter::keepRefusal(const std::string& bytes)
{
    auto isUnavailable = bytes.starts_with("HTTP/1.1 503");
    if (isUnavailable)
        m_refusal = bytes;
    if (!isUnavailable && !bytes.starts_with("HTTP/1.1 421"))
        return;
    // Only an id tells a copy from the response to a report or an order.
    if (auto id = requestIdIn(bytes); !id.empty())
        m_refusals.insert_or_assign(std::move(id), bytes);
}

std::string ResponseRewriter::takeCopy(const std::string& requestBytes)
{
    auto isStart = requestBytes.find(" HTTP/1.1\r\n") != std::string::npos;
    if (!isStart || m_refusals.empty())
        return {};
    auto found = m_refusals.find(requestIdIn(requestBytes));
    if (found == m_refusals.end()) {
        if (++m_otherRequests % otherRequestsPerCopy != 0)
            return {};
        found = m_refusals.begin();
    }
    return std::move(m_refusals.extract(found).mapped());
}

std::string ResponseRewriter::takeHeader()
{
    auto size = m_input.find(headerEnd);
    if (size == std::string::npos)
        return {};
    if (m_fault == ResponseFault::CutHeader) {
        m_end = ConnectionEnd::Close;
        return m_input.substr(0, size / 2);
    }
    std::string header;
    std::vector<std::string> lines = absl::StrSplit(m_input.substr(0, size), "\r\n");
    for (const auto& line : lines) {
        if (absl::StartsWithIgnoreCase(line, "Content-Length:"))
            m_bodyLeft = std::stoul(line.substr(line.find(':') + 1));
        else if (absl::StartsWithIgnoreCase(line, "Transfer-Encoding:"))
            m_isChunked = true;
        else
            header += line + std::string(lineEnd);
    }
    m_input.erase(0, size + headerEnd.size());
    m_isHeaderSent = true;
    return header + "Connection: close" + std::string(headerEnd);
}

std::string ResponseRewriter::takeBody()
{
    if (m_input.size() < m_bodyLeft)
        return {};
    auto isCut = m_fault == ResponseFault::CutWithoutLength;
    m_end = isCut ? ConnectionEnd::Reset : ConnectionEnd::Close;
    return m_input.substr(0, isCut ? m_bodyLeft / 2 : m_bodyLeft);
}

std::string ResponseRewriter::takeChunks()
{
    std::string output;
    while (true) {
        auto lineSize = m_input.find(lineEnd);
        if (lineSize == std::string::npos)
            return output;
        auto size = std::stoul(m_input, nullptr, hexadecimal);
        auto begin = lineSize + lineEnd.size();
        if (m_input.size() < begin + size + lineEnd.size())
            return output;
        auto isCut = m_fault == ResponseFault::CutWithoutLength && m_chunks++ == cutChunk;
        output += m_input.substr(begin, isCut ? size / 2 : size);
        m_input.erase(0, begin + size + lineEnd.size());
        if (isCut || size == 0) {
            m_end = ConnectionEnd::Close;
            return output;
        }
    }
}

} // namespace chestnut::soak
