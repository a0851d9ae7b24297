#pragma once

#include "base/ids/StrongId.h"

namespace chestnut {

/** The fencing number of a lease that was acquired at a revision of a store. A store that is restored from a copy assigns revisions
    again, but increases its epoch, so that the numbers increase across restores. */
FencingNumber fencingNumberAt(uint64_t epoch, uint64_t revision);

} // namespace chestnut
