#include "decisions/leases/StoreFencing.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Bits of the revision. A store with ten thousand changes a second takes more than three years to exceed them. */
    constexpr unsigned revisionBits = 40;
    /** Keeps the number a positive 64-bit integer for engines that read it as a signed one. */
    constexpr uint64_t largestEpoch = (uint64_t(1) << (63U - revisionBits)) - 1;

} // namespace

FencingNumber fencingNumberAt(uint64_t epoch, uint64_t revision)
{
    return (std::min(epoch, largestEpoch) << revisionBits) + revision;
}

} // namespace chestnut
