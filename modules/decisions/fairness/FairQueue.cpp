#include "decisions/fairness/FairQueue.h"

#include <algorithm>

namespace chestnut {

namespace {

    using Waiting = std::multimap<double, FairQueue::Slot>;

    constexpr double lowestWeight = 1e-3;

    QueuedRequest popFirst(Waiting& waiting, FairQueue::Tags& tags)
    {
        auto first = waiting.begin();
        auto request = std::move(first->second.request);
        tags.virtualTime = std::max(tags.virtualTime, first->first);
        waiting.erase(first);
        // Finish tags matter only while accounts compete; dropping them here bounds their number.
        if (waiting.empty())
            tags = {};
        return request;
    }

    bool removeFrom(Waiting& waiting, uint64_t ticket)
    {
        return std::erase_if(waiting, [ticket](const auto& entry) { return entry.second.request.ticket == ticket; }) > 0;
    }

    void appendExpired(std::vector<QueuedRequest>& result, const Waiting& waiting, TimePoint now)
    {
        for (const auto& [tag, slot] : waiting) {
            if (slot.request.deadline < now)
                result.push_back(slot.request);
        }
    }

} // namespace

void push(FairQueue& queue, QueuedRequest request)
{
    auto isLive = request.priorityClass == PriorityClass::Live;
    auto& tags = isLive ? queue.liveTags : queue.batchTags;
    auto& lastFinish = tags.lastFinishTag[request.account];
    auto start = std::max(tags.virtualTime, lastFinish);
    lastFinish = start + request.cost / std::max(request.weight, lowestWeight);
    (isLive ? queue.live : queue.batch).emplace(start, FairQueue::Slot { std::move(request), start });
}

const QueuedRequest* peek(const FairQueue& queue, bool batchAllowed)
{
    if (!queue.live.empty())
        return &queue.live.begin()->second.request;
    return batchAllowed && !queue.batch.empty() ? &queue.batch.begin()->second.request : nullptr;
}

std::optional<QueuedRequest> pop(FairQueue& queue, bool batchAllowed)
{
    if (!queue.live.empty())
        return popFirst(queue.live, queue.liveTags);
    if (batchAllowed && !queue.batch.empty())
        return popFirst(queue.batch, queue.batchTags);
    return std::nullopt;
}

bool remove(FairQueue& queue, uint64_t ticket)
{
    return removeFrom(queue.live, ticket) || removeFrom(queue.batch, ticket);
}

std::vector<QueuedRequest> expired(const FairQueue& queue, TimePoint now)
{
    std::vector<QueuedRequest> result;
    appendExpired(result, queue.live, now);
    appendExpired(result, queue.batch, now);
    return result;
}

size_t size(const FairQueue& queue, PriorityClass priorityClass)
{
    return priorityClass == PriorityClass::Live ? queue.live.size() : queue.batch.size();
}

} // namespace chestnut
