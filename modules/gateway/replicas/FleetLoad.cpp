#include "gateway/replicas/FleetLoad.h"

namespace chestnut {

namespace {

    double tokensOf(const QueuedTokens& queued)
    {
        return queued.urgent + queued.relaxed + queued.deferred;
    }

} // namespace

std::vector<ReplicaLoad> loadsOf(const std::vector<const ReplicaEntry*>& entries, const LoadTracker& loadTracker)
{
    std::vector<ReplicaLoad> loads;
    loads.reserve(entries.size());
    for (const auto* entry : entries) {
        auto work = loadTracker.observe(entry->id).work;
        loads.push_back({ entry->stage, entry->slots, work.requests, 0, tokensOf(work.queued) });
    }
    return loads;
}

} // namespace chestnut
