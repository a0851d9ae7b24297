#pragma once

#include <string>
#include <string_view>

namespace chestnut {

/** Percent-encodes a key for use in a request path. Slashes are not encoded. */
std::string percentEncodePath(std::string_view);
/** Malformed escapes are copied unchanged. */
std::string percentDecode(std::string_view);

} // namespace chestnut
