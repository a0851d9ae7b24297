#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>

/* Included only by the source files of this module. */

namespace chestnut {

/** Checks a response header against the rules of RFC 9110 and RFC 9112 that Beast's parser does not enforce: the range of the status, the
    transfer coding, and the framing of responses that have no body. A header that holds a second status line is wrong too: it consists
    of two responses, of which the first one was cut off. Returns what is wrong, or nothing. */
std::optional<std::string> findHeaderFault(const boost::beast::http::header<false, boost::beast::http::fields>&);

} // namespace chestnut
