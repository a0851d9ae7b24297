#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chestnut {

/** A 128-bit XXH3 hash that identifies content. It is not cryptographic: collisions can be made on purpose. */
struct Digest {
    uint64_t high = 0;
    uint64_t low = 0;

    auto operator<=>(const Digest&) const = default;
};

Digest digestOf(std::string_view bytes);

/** The 64-bit XXH3 hash of the bytes with a seed. */
uint64_t hash64(std::string_view bytes, uint64_t seed = 0);

/** A secret that makes digests unpredictable for those who do not know it; random bytes. */
using DigestSecret = std::array<uint8_t, 192>;

/** The 128-bit XXH3 hash of the bytes under a secret. It places texts in a table at positions that nobody can predict; it is
    no signature. */
Digest keyedDigestOf(std::string_view bytes, const DigestSecret&);

/** Whether two texts are equal. The duration depends on their sizes only, so that it does not show where they differ. */
bool equalInConstantTime(std::string_view, std::string_view);

/** Rendezvous (highest random weight) score of a node for a key; the node with the highest score owns the key. */
uint64_t rendezvousScore(std::string_view key, std::string_view node);

/** The digest as 32 lower-case hexadecimal digits. */
std::string toHex(const Digest&);

/** Parses 32 hexadecimal digits; returns nothing for any other text. */
std::optional<Digest> digestFromHex(std::string_view text);

} // namespace chestnut

template <>
struct std::hash<chestnut::Digest> {
    size_t operator()(const chestnut::Digest& digest) const { return static_cast<size_t>(digest.low); }
};
