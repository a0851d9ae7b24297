#pragma once

#include "base/digest/Digest.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace chestnut {

/** Text of the n-th token that the engine double generates for a prompt; clients compare with it. */
inline std::string standinToken(std::string_view prompt, uint64_t index)
{
    char text[16];
    std::snprintf(text, sizeof(text), " %07x", static_cast<unsigned>(hash64(prompt, index) & 0xfffffff));
    return text;
}

/** Number of tokens that the engine double generates for a prompt, from half of the limit up to the limit. */
inline uint64_t standinTokenCount(std::string_view prompt, uint64_t limit)
{
    auto percent = 50 + hash64(prompt, 0) % 51;
    return std::max<uint64_t>(1, limit * percent / 100);
}

/** Response body of the service double to a call; clients compare with it. */
inline std::string standinServiceResponse(std::string_view target, std::string_view body)
{
    return "{\"echo\":\"" + toHex(digestOf(std::string(target) + "\n" + std::string(body))) + "\"}";
}

} // namespace chestnut
