#include "http/message/HttpMessage.h"

#include "base/text/PercentEncoding.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace chestnut {

namespace {

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

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const auto& field) { return boost::algorithm::iequals(field.first, name); });
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
