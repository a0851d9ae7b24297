#pragma once

#include "base/errors/Result.h"

#include <string>
#include <string_view>

namespace chestnut {

/** The text in zlib's format. */
std::string compressText(std::string_view);

/** Reverses compressText(). Fails with ProtocolError when the bytes are damaged or truncated, or when the text would be
    longer than `maximumBytes`; no more memory than that is taken. */
Result<std::string> decompressText(std::string_view, size_t maximumBytes);

/** Whether the bytes begin like zlib's format. JSON never does. */
bool isCompressed(std::string_view);

} // namespace chestnut
