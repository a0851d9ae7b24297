#include "gateway/replicas/FleetLoad.h"

#include <cmath>

namespace chestnut {

namespace {

    /** Requests at positions before `end`. The work at plain services is not divided by priority. */
    uint32_t requestsBefore(const ReplicaWork& work, EngineStage stage, EnginePosition end)
    {
        if (stage == EngineStage::Decode)
            return work.decodes.sum(0, end);
        auto tokens = work.queued.sum();
        return tokens > 0 ? static_cast<uint32_t>(std::lround(work.requests * work.queued.sum(0, end) / tokens)) : 0;
    }

} // namespace

std::vector<ReplicaLoad> loadsOf(const std::vector<const ReplicaEntry*>& entries, const LoadTracker& loadTracker, const ServicePriorities& priorities)
{
    // Priority zero precedes all, so that its positions are those of the most urgent one.
    auto endOfUrgent = priorities.levels() > 1 ? priorities.endOrderOf(0) : 0;
    std::vector<ReplicaLoad> loads;
    loads.reserve(entries.size());
    for (const auto* entry : entries) {
        auto work = loadTracker.observe(entry->id).work;
        loads.push_back({ entry->stage, entry->slots, work.requests, requestsBefore(work, entry->stage, endOfUrgent), work.queued.sum() });
    }
    return loads;
}

} // namespace chestnut
