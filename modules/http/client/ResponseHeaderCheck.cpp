#include "http/client/ResponseHeaderCheck.h"

#include "http/message/BeastConversions.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace chestnut {

namespace http = boost::beast::http;

namespace {

    using ResponseHeader = http::header<false, http::fields>;

    constexpr unsigned lowestStatus = 100;
    constexpr unsigned highestStatus = 599;
    constexpr unsigned httpVersion11 = 11;

    bool hasNoBody(unsigned status)
    {
        return status / 100 == 1 || status == 204;
    }

    /** Whether the text holds the beginning of a response, such as "HTTP/1.1 200". */
    bool holdsStatusLine(std::string_view text)
    {
        constexpr std::string_view protocol = "HTTP/";
        constexpr std::string_view pattern = "d.d ddd";
        for (auto start = text.find(protocol); start != std::string_view::npos; start = text.find(protocol, start + 1)) {
            auto rest = text.substr(start + protocol.size(), pattern.size());
            auto matches = [](char character, char expected) { return expected == 'd' ? absl::ascii_isdigit(static_cast<unsigned char>(character)) : character == expected; };
            if (std::ranges::equal(rest, pattern, matches))
                return true;
        }
        return false;
    }

    /** A header that is cut off and followed by another response is read as one header, of which a reason or a value holds the next status
        line. */
    std::optional<std::string> findJoinFault(const ResponseHeader& header)
    {
        auto isJoined = holdsStatusLine(viewOf(header.reason()));
        for (const auto& field : header)
            isJoined = isJoined || holdsStatusLine(viewOf(field.value()));
        if (isJoined)
            return "it holds another status line";
        return std::nullopt;
    }

    std::optional<std::string> findStatusFault(unsigned status)
    {
        if (status < lowestStatus || status > highestStatus)
            return "the status " + std::to_string(status) + " is out of range";
        // The bytes after it would belong to a protocol that no request of this client asks for.
        if (status == 101)
            return "the server switches to another protocol";
        return std::nullopt;
    }

    /** Requests of this client accept no other coding than chunks (RFC 9112, section 6.1). The parser decodes chunks only, and takes a
        body with another coding for one that ends with its connection. */
    std::optional<std::string> findCodingFault(const ResponseHeader& header)
    {
        auto [first, last] = header.equal_range(http::field::transfer_encoding);
        if (first == last)
            return std::nullopt;
        if (header.version() < httpVersion11)
            return "a transfer coding in a response of HTTP/1.0";
        auto isSingle = std::next(first) == last;
        if (!isSingle || !boost::beast::iequals(first->value(), "chunked"))
            return "a transfer coding other than chunked";
        return std::nullopt;
    }

    /** A body that the parser does not expect would be read as the next response (RFC 9112, section 6.3). */
    std::optional<std::string> findBodyFault(const ResponseHeader& header, unsigned status)
    {
        if (!hasNoBody(status))
            return std::nullopt;
        auto length = header.find(http::field::content_length);
        auto announcesBody = length != header.end() && length->value() != "0";
        if (announcesBody || header.count(http::field::transfer_encoding) > 0)
            return "a body in a response with status " + std::to_string(status);
        return std::nullopt;
    }

} // namespace

std::optional<std::string> findHeaderFault(const ResponseHeader& header)
{
    auto status = header.result_int();
    if (auto fault = findStatusFault(status))
        return fault;
    if (auto fault = findCodingFault(header))
        return fault;
    if (auto fault = findJoinFault(header))
        return fault;
    return findBodyFault(header, status);
}

} // namespace chestnut
