#include "base/digest/Digest.h"

#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace chestnut {

namespace {

    constexpr size_t hexDigitsPerHalf = 16;

    std::optional<uint64_t> parseHexHalf(std::string_view text)
    {
        uint64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

} // namespace

Digest digestOf(std::string_view bytes)
{
    auto hash = XXH3_128bits(bytes.data(), bytes.size());
    return { hash.high64, hash.low64 };
}

uint64_t hash64(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Digest keyedDigestOf(std::string_view bytes, const DigestSecret& secret)
{
    auto hash = XXH3_128bits_withSecret(bytes.data(), bytes.size(), secret.data(), secret.size());
    return { hash.high64, hash.low64 };
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    // Volatile, because a compiler may otherwise end the loop at the first difference.
    volatile unsigned char difference = 0;
    for (size_t i = 0; i < left.size(); ++i)
        difference = static_cast<unsigned char>(difference | (static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i])));
    return difference == 0;
}

uint64_t rendezvousScore(std::string_view key, std::string_view node)
{
    return hash64(node, hash64(key));
}

std::string toHex(const Digest& digest)
{
    char buffer[2 * hexDigitsPerHalf + 1];
    std::snprintf(buffer, sizeof(buffer), "%016llx%016llx", static_cast<unsigned long long>(digest.high),
        static_cast<unsigned long long>(digest.low));
    return buffer;
}

std::optional<Digest> digestFromHex(std::string_view text)
{
    if (text.size() != 2 * hexDigitsPerHalf)
        return std::nullopt;
    auto high = parseHexHalf(text.substr(0, hexDigitsPerHalf));
    auto low = parseHexHalf(text.substr(hexDigitsPerHalf));
    if (!high || !low)
        return std::nullopt;
    return Digest { *high, *low };
}

} // namespace chestnut
