#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chestnut {

/** A 128-bit XXH3 hash of some bytes. It identifies content; it is no defence against a deliberate collision. */
struct Digest {
    uint64_t high = 0;
    uint64_t low = 0;

    auto operator<=>(const Digest&) const = default;
};

Digest digestOf(std::string_view bytes);

/** 64-bit XXH3 hash of bytes under a seed. */
uint64_t hash64(std::string_view bytes, uint64_t seed = 0);

/** Rendezvous (highest random weight) score of a node for a key; the node with the highest score owns the key. */
uint64_t rendezvousScore(std::string_view key, std::string_view node);

/** 32 lower-case hexadecimal digits. */
std::string toHex(const Digest&);

/** Returns nothing unless the text is 32 hexadecimal digits. */
std::optional<Digest> digestFromHex(std::string_view text);

} // namespace chestnut

template <>
struct std::hash<chestnut::Digest> {
    size_t operator()(const chestnut::Digest& digest) const { return static_cast<size_t>(digest.low); }
};
