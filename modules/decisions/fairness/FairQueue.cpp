#include "decisions/fairness/FairQueue.h"

#include <algorithm>
#include <string_view>

namespace chestnut {

namespace {

    using Waiting = std::multimap<double, FairQueue::Slot>;

    constexpr double lowestWeight = 1e-3;

    enum class Urgency : uint8_t {
        Urgent, /**< its latest start is near */
        OnTime,
        Late, /**< has missed the first-token target */
    };

    Urgency urgencyOf(const QueuedRequest& request, TimePoint now)
    {
        if (request.latestOnTimeStart >= now)
            return Urgency::OnTime;
        return request.deadline - now <= urgentWindow ? Urgency::Urgent : Urgency::Late;
    }

    bool isServedBefore(const QueuedRequest& request, Urgency urgency, const QueuedRequest& other, Urgency otherUrgency)
    {
        if (urgency != otherUrgency)
            return urgency < otherUrgency;
        return urgency != Urgency::OnTime && request.deadline < other.deadline;
    }

    /** The position of an account in the order of start tags, and the request of the account that is served there. */
    struct AccountHead {
        Waiting::const_iterator position;
        Waiting::const_iterator request;
        Urgency urgency = Urgency::Late;
    };

    /** Accounts are served by start tag; those with urgent or on-time requests go before those with late ones only.
        Urgency orders requests within an account, so that an account in overload does not displace the others. */
    AccountHead nextHead(const Waiting& waiting, TimePoint now)
    {
        std::unordered_map<std::string_view, AccountHead> heads;
        for (auto entry = waiting.begin(); entry != waiting.end(); ++entry) {
            auto urgency = urgencyOf(entry->second.request, now);
            auto& head = heads.try_emplace(entry->second.request.account.value(), AccountHead { entry, entry, urgency }).first->second;
            if (isServedBefore(entry->second.request, urgency, head.request->second.request, head.urgency)) {
                head.request = entry;
                head.urgency = urgency;
            }
        }
        const AccountHead* best = nullptr;
        for (auto entry = waiting.begin(); entry != waiting.end(); ++entry) {
            const auto& head = heads.at(entry->second.request.account.value());
            if (!best)
                best = &head;
            if (head.urgency != Urgency::Late)
                return head;
        }
        return *best;
    }

    QueuedRequest popNext(Waiting& waiting, FairQueue::Tags& tags, TimePoint now)
    {
        auto head = nextHead(waiting, now);
        auto request = head.request->second.request;
        tags.virtualTime = std::max(tags.virtualTime, head.position->first);
        // Removes the account's first position; the request at that position takes the position of the request that is
        // returned. An empty erase() turns the const iterator into a mutable one.
        auto taken = waiting.erase(head.request, head.request);
        taken->second.request = head.position->second.request;
        waiting.erase(head.position);
        // Finish tags matter only while accounts compete; clearing them when the queue is empty bounds their number.
        if (waiting.empty())
            tags = {};
        return request;
    }

    bool removeFrom(Waiting& waiting, uint64_t entryId)
    {
        return std::erase_if(waiting, [entryId](const auto& entry) { return entry.second.request.entryId == entryId; }) > 0;
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

const QueuedRequest* peek(const FairQueue& queue, bool batchAllowed, TimePoint now)
{
    if (!queue.live.empty())
        return &nextHead(queue.live, now).request->second.request;
    return batchAllowed && !queue.batch.empty() ? &nextHead(queue.batch, now).request->second.request : nullptr;
}

std::optional<QueuedRequest> pop(FairQueue& queue, bool batchAllowed, TimePoint now)
{
    if (!queue.live.empty())
        return popNext(queue.live, queue.liveTags, now);
    if (batchAllowed && !queue.batch.empty())
        return popNext(queue.batch, queue.batchTags, now);
    return std::nullopt;
}

bool mustStart(const QueuedRequest& request, TimePoint now)
{
    return urgencyOf(request, now) == Urgency::Urgent && request.deadline - now <= mustStartWindow;
}

bool remove(FairQueue& queue, uint64_t entryId)
{
    return removeFrom(queue.live, entryId) || removeFrom(queue.batch, entryId);
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
