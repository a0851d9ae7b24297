#include "http/message/HttpMessage.h"

#include "base/text/PercentEncoding.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace chestnut {

namespace {

    /** Whether two field names are equal. They are ASCII, so no locale is asked, which takes much longer. */
    bool isSameName(std::string_view left, std::string_view right)
    {
        auto isSameCharacter = [](char a, char b) { return absl::ascii_tolower(static_cast<unsigned char>(a)) == absl::ascii_tolower(static_cast<unsigned char>(b)); };
        return left.size() == right.size() && std::ranges::equal(left, right, isSameCharacter);
    }

    /** In a query, a plus sign stands for a space. */
    std::string decodeQueryValue(std::string text)
    {
        std::ranges::replace(text, '+', ' ');
        return percentDecode(text);
    }

} // namespace

std::string_view HttpHeaders::value(std::string_view name) const
{
    for (const auto& [fieldName, fieldValue] : m_fields) {
        if (isSameName(fieldName, name))
            return fieldValue;
    }
    return {};
}

bool HttpHeaders::contains(std::string_view name) const
{
    return std::ranges::any_of(m_fields, [&](const auto& field) { return isSameName(field.first, name); });
}

size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<size_t>(std::ranges::count_if(m_fields, [&](const auto& field) { return isSameName(field.first, name); }));
}

void HttpHeaders::set(std::string_view name, std::string_view value)
{
    auto isNamed = [&](const auto& field) { return isSameName(field.first, name); };
    auto first = std::ranges::find_if(m_fields, isNamed);
    if (first == m_fields.end()) {
        append(name, value);
        return;
    }
    first->second = value;
    m_fields.erase(std::remove_if(first + 1, m_fields.end(), isNamed), m_fields.end());
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const auto& field) { return isSameName(field.first, name); });
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
            return equals == std::string_view::npos ? std::string() : decodeQueryValue(std::string(pair.substr(equals + 1)));
    }
    return {};
}

} // namespace chestnut
