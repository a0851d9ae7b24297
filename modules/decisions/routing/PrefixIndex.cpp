#include "decisions/routing/PrefixIndex.h"

#include "base/digest/Digest.h"
#include "decisions/estimates/WorkEstimate.h"
#include "decisions/routing/Routing.h"

namespace chestnut {

namespace {

    constexpr auto charactersPerBlock = static_cast<size_t>(tokensPerBlock * charactersPerToken);

    void insertBounded(std::unordered_set<uint64_t>& blocks, uint64_t block, size_t maximum)
    {
        if (maximum == 0 || blocks.contains(block))
            return;
        while (blocks.size() >= maximum)
            blocks.erase(blocks.begin());
        blocks.insert(block);
    }

    /** Probability that a block is still cached: each missed event may have evicted one of the blocks. */
    double certainty(const PrefixIndex::ReplicaBlocks& cache)
    {
        auto blocks = static_cast<double>(cache.blocks.size());
        return blocks / (blocks + static_cast<double>(cache.gaps));
    }

} // namespace

std::vector<uint64_t> prefixBlockHashes(std::string_view prompt)
{
    std::vector<uint64_t> hashes;
    hashes.reserve(prompt.size() / charactersPerBlock);
    uint64_t previous = 0;
    for (size_t start = 0; start + charactersPerBlock <= prompt.size(); start += charactersPerBlock) {
        previous = hash64(prompt.substr(start, charactersPerBlock), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

void applyCacheEvent(PrefixIndex& index, const ReplicaId& replica, uint64_t sequence, bool isStored, std::span<const uint64_t> blocks)
{
    auto& cache = index.replicas[replica];
    if (sequence <= cache.lastSequence)
        return;
    // The first event seen of a replica may have any sequence number.
    if (cache.lastSequence != 0)
        cache.gaps += sequence - cache.lastSequence - 1;
    cache.lastSequence = sequence;
    for (auto block : blocks) {
        if (isStored)
            insertBounded(cache.blocks, block, index.maximumBlocksPerReplica);
        else
            cache.blocks.erase(block);
    }
}

void recordSentPrefix(PrefixIndex& index, const ReplicaId& replica, std::span<const uint64_t> blocks)
{
    auto& cache = index.replicas[replica];
    for (auto block : blocks)
        insertBounded(cache.blocks, block, index.maximumBlocksPerReplica);
}

void removeReplica(PrefixIndex& index, const ReplicaId& replica)
{
    index.replicas.erase(replica);
}

double cachedTokens(const PrefixIndex& index, const ReplicaId& replica, std::span<const uint64_t> blocks)
{
    auto entry = index.replicas.find(replica);
    if (entry == index.replicas.end() || entry->second.blocks.empty())
        return 0;
    size_t matching = 0;
    while (matching < blocks.size() && entry->second.blocks.contains(blocks[matching]))
        matching++;
    return static_cast<double>(matching * tokensPerBlock) * certainty(entry->second);
}

} // namespace chestnut
