#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/estimates/WorkEstimate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chestnut {

/** One waiting request. */
struct QueuedRequest {
    uint64_t entryId = 0; /**< unique within the queue */
    AccountId account;
    PriorityClass priorityClass = PriorityClass::Live;
    double cost = 1; /**< tokens, or calls for plain services */
    double weight = 1; /**< share of the account */
    TimePoint deadline; /**< latest start that still meets the caller's deadline */
    TimePoint latestOnTimeStart = TimePoint::max(); /**< latest start that still meets the first-token target */
};

/** Waiting requests this close to their latest start go first. */
constexpr Duration urgentWindow = std::chrono::seconds(6);
/** Late live requests this close to their latest start may exceed the replicas' slots; see mustStart() and mayExceedSlots(). */
constexpr Duration mustStartWindow = std::chrono::milliseconds(3500);

/** Start-time fair queueing between accounts; live work goes before batch work. A request that has
    missed the first-token target waits behind those that can still meet it, until its own latest start comes near.
    Among an account's urgent requests, and among its late ones, the one with the earliest latest start goes first. */
struct FairQueue {
    struct Slot {
        QueuedRequest request;
        double startTag = 0;
    };
    std::multimap<double, Slot> live; /**< by start tag */
    std::multimap<double, Slot> batch;

    struct Tags {
        std::unordered_map<AccountId, double> lastFinishTag;
        double virtualTime = 0;
    };
    /** Tags of the classes are separate, so that an account's queued batch does not delay its own live work. */
    Tags liveTags;
    Tags batchTags;
};

void push(FairQueue&, QueuedRequest);

/** The request that pop() would take; null when there is none. */
const QueuedRequest* peek(const FairQueue&, bool batchAllowed, TimePoint now);

/** Removes and returns the next request: live first, batch only when no live request waits and `batchAllowed` says that the
    reserve for live work stays free. */
std::optional<QueuedRequest> pop(FairQueue&, bool batchAllowed, TimePoint now);

/** Whether a late request has waited almost until its latest start. A daemon whose other accounts take all free slots would
    otherwise refuse it although the fleet could finish it in time. */
bool mustStart(const QueuedRequest&, TimePoint now);

/** Removes a request, such as one whose caller disconnected or whose deadline passed. Returns false when it is not
    waiting. */
bool remove(FairQueue&, uint64_t entryId);

/** Requests whose deadline is before `now`. */
std::vector<QueuedRequest> expired(const FairQueue&, TimePoint now);

size_t size(const FairQueue&, PriorityClass);

} // namespace chestnut
