#include "http/message/HttpMessage.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace chestnut {

namespace {

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

    std::string percentDecode(std::string_view text)
    {
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
                decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
                i += 2;
            } else
                decoded += text[i] == '+' ? ' ' : text[i];
        }
        return decoded;
    }

} // namespace

std::string_view HttpHeaders::value(std::string_view name) const
{
    for (const auto& [fieldName, fieldValue] : m_fields) {
        if (boost::algorithm::iequals(fieldName, name))
            return fieldValue;
    }
    return {};
}

bool HttpHeaders::contains(std::string_view name) const
{
    return std::ranges::any_of(m_fields, [&](const auto& field) { return boost::algorithm::iequals(field.first, name); });
}

void HttpHeaders::set(std::string_view name, std::string_view value)
{
    for (auto& [fieldName, fieldValue] : m_fields) {
        if (boost::algorithm::iequals(fieldName, name)) {
            fieldValue = value;
            return;
        }
    }
    m_fields.emplace_back(name, value);
}

std::string_view HttpRequest::path() const
{
    std::string_view view = target;
    return view.substr(0, view.find('?'));
}

std::string HttpRequest::queryValue(std::string_view name) const
{
    std::string_view rest = target;
    auto question = rest.find('?');
    rest = question == std::string_view::npos ? std::string_view() : rest.substr(question + 1);
    while (!rest.empty()) {
        auto pair = rest.substr(0, rest.find('&'));
        rest = pair.size() < rest.size() ? rest.substr(pair.size() + 1) : std::string_view();
        auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
    }
    return {};
}

} // namespace chestnut
