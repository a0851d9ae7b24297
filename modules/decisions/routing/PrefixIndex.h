#pragma once

#include "base/ids/StrongId.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chestnut {

/** Chained hashes of the prompt's whole blocks: the n-th value covers the first n blocks. */
std::vector<uint64_t> prefixBlockHashes(std::string_view prompt);

/** Prefix blocks that each replica is assumed to cache, from cache events that arrive late and with gaps. */
struct PrefixIndex {
    struct ReplicaBlocks {
        std::unordered_set<uint64_t> blocks;
        uint64_t lastSequence = 0;
        uint64_t gaps = 0; /**< events missed so far */
    };

    std::unordered_map<ReplicaId, ReplicaBlocks> replicas;
    /** At about 40 bytes a block, 120 replicas take up to 39 MB of the 128 MB that a daemon may use. */
    size_t maximumBlocksPerReplica = 8192;
};

/** Applies one event. After a gap in the sequence, blocks are kept with a lower certainty. */
void applyCacheEvent(PrefixIndex&, const ReplicaId&, uint64_t sequence, bool isStored, std::span<const uint64_t> blocks);

/** Records that the replica will cache the blocks of a prompt just sent to it. */
void recordSentPrefix(PrefixIndex&, const ReplicaId&, std::span<const uint64_t> blocks);

/** Removes the blocks of a replica that restarted or changed its model. */
void removeReplica(PrefixIndex&, const ReplicaId&);

/** Expected number of prompt tokens whose prefill the replica saves. */
double cachedTokens(const PrefixIndex&, const ReplicaId&, std::span<const uint64_t> blocks);

} // namespace chestnut
