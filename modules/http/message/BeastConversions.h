#pragma once

#include "base/errors/Result.h"
#include "http/message/HttpMessage.h"
#include "kernel/settings/SettingsReader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

/* Included only by the source files of this module. */

namespace chestnut {

namespace beast = boost::beast;

using BeastRequest = beast::http::request<beast::http::string_body>;
using BeastResponse = beast::http::response<beast::http::string_body>;

inline HttpHeaders headersOf(const beast::http::fields& fields)
{
    HttpHeaders headers;
    for (const auto& field : fields)
        headers.append(std::string_view(field.name_string().data(), field.name_string().size()), std::string_view(field.value().data(), field.value().size()));
    return headers;
}

template <typename Message>
void setHeaders(Message& message, const HttpHeaders& headers)
{
    for (const auto& [name, value] : headers.fields())
        message.insert(name, value);
}

inline std::string_view viewOf(beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace chestnut
