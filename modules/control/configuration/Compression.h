#pragma once

#include "base/errors/Result.h"

#include <string>
#include <string_view>

namespace chestnut {

/** Compresses a text into zlib's format. */
std::string compressText(std::string_view);

/** Reverses compressText(). Fails with ProtocolError when the bytes are corrupt or truncated, or when the text would be
    longer than `maximumBytes`; never allocates more memory than that. */
Result<std::string> decompressText(std::string_view, size_t maximumBytes);

/** Whether the bytes begin with the header of zlib's format. JSON never does. */
bool isCompressed(std::string_view);

} // namespace chestnut
