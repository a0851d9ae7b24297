#pragma once

#include "base/digest/Digest.h"
#include "base/time/TimePoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace chestnut {

/** The id of a part of prompts. */
struct PromptPartId {
    uint64_t value = 0;

    auto operator<=>(const PromptPartId&) const = default;
};

/** What crashes the replicas that run it: the content of a request, or a part of a prompt whatever the rest of the request is. */
using BlockSubject = std::variant<Digest, PromptPartId>;

/** A block as it is kept in the store, for daemons that start after the crashes. */
struct StoredBlock {
    uint32_t crashes = 0;
    UnixSeconds until {};
    bool isReleased = false; /**< a request with the subject has been answered since */

    bool operator==(const StoredBlock&) const = default;
};

/** A block that follows from the crashes that this daemon knows of. */
struct ObservedBlock {
    BlockSubject subject;
    uint32_t crashes = 0;
    TimePoint lastCrash;

    bool operator==(const ObservedBlock&) const = default;
};

/** What a daemon knows of one block. */
struct SharedBlock {
    uint32_t crashes = 0;
    TimePoint until;
    bool isReleased = false;
    uint64_t revision = 0; /**< of its key in the store; zero: the key does not exist */
    std::optional<TimePoint> writeAt; /**< when the block is written to the store, unless another daemon does so before */

    bool operator==(const SharedBlock&) const = default;
};

/** The blocks that all daemons share through the store. A block ends at its time or with its release, not with its key: a lease may
    expire in an outage, and a store may be restored from an older copy. Keys that are missing are written again. */
struct SharedBlockTable {
    std::map<BlockSubject, SharedBlock> blocks;
    size_t maximumBlocks = 256; /**< further ones are not shared */
};

/** One write to the store. */
struct BlockWrite {
    BlockSubject subject;
    StoredBlock block;
    Duration timeLeft {};
    uint64_t revision = 0; /**< that the key has to have; zero: it must not exist */

    bool operator==(const BlockWrite&) const = default;
};

/** Applies a block that was read from the store. */
void applyStoredBlock(SharedBlockTable&, const BlockSubject&, const StoredBlock&, uint64_t revision, TimePoint now, UnixSeconds wallClock);

/** Applies the removal of a key. The block is written again after the delay if it still applies. */
void applyMissingBlock(SharedBlockTable&, const BlockSubject&, TimePoint now, Duration writeDelay);

/** Adds the blocks that are new, or that last longer because of a further crash, once the crash is old enough that no later
    response of the replica can refute it. The delay differs between daemons, so that one of them writes a block before the
    others try. Returns how many did not fit. */
size_t addObservedBlocks(SharedBlockTable&, std::span<const ObservedBlock>, TimePoint now, Duration writeDelay);

/** Releases a block because a request with the subject was answered at this time, unless a crash has followed. Only the daemon
    that has received the response writes this to the store. */
void releaseSharedBlock(SharedBlockTable&, const BlockSubject&, TimePoint answeredAt, std::optional<TimePoint> writeAt);

/** The block of the subject if it applies; else null. */
const SharedBlock* findSharedBlock(const SharedBlockTable&, const BlockSubject&, TimePoint now);

/** The time of the last crash that the block follows from. */
TimePoint lastCrashOf(const BlockSubject&, const SharedBlock&);

/** Whether there is a block or a release of a request content. */
bool hasContents(const SharedBlockTable&);

/** The writes that are due. Each is due again after the retry time, unless its result or the block is applied before. */
std::vector<BlockWrite> takeDueWrites(SharedBlockTable&, TimePoint now, UnixSeconds wallClock);

/** Applies the result of a write: the new revision, or nothing if another daemon has changed the key. */
void applyWrittenBlock(SharedBlockTable&, const BlockSubject&, std::optional<uint64_t> revision);

void expireSharedBlocks(SharedBlockTable&, TimePoint now);

} // namespace chestnut
