#include "decisions/admission/Admission.h"
#include "decisions/fairness/FairQueue.h"

#include <doctest/doctest.h>

#include <map>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr auto now = TimePoint(100s);

ReplicaView fullReplica()
{
    ReplicaView view;
    view.id = ReplicaId("r0");
    view.own.liveRequests = 32;
    view.report.measuredAt = now;
    return view;
}

AdmissionDecision decide(const RouteRequest& request, Duration timeout, const QueueState& queue, const ReplicaView& view)
{
    RandomGenerator random(3);
    std::vector<ReplicaView> views { view };
    auto route = chooseReplica(request, views, now, random);
    return admit(request, now + timeout, queue, views, route, now);
}

} // namespace

// Guards against accepting work that will time out in any case.
TEST_CASE("work that cannot finish before its deadline is refused immediately")
{
    RouteRequest request { .work = { 1000, 100 } };
    CHECK(decide(request, 30s, {}, {}).action == AdmissionDecision::Action::Dispatch);
    CHECK(decide(request, 2s, {}, {}).refusal == ErrorKind::DeadlineUnreachable);
    CHECK(decide(request, 0s, {}, {}).refusal == ErrorKind::DeadlinePassed);
    QueueState queue { .waitingLive = 100, .waitingLiveWork = { 100000, 20000 } };
    CHECK(decide(request, 60s, queue, fullReplica()).action == AdmissionDecision::Action::Queue);
    auto late = decide(request, 30s, queue, fullReplica());
    CHECK(late.refusal == ErrorKind::DeadlineUnreachable);
    CHECK(late.retryAfter >= 1s);
}

// Guards against batch requests that occupy the whole queue, so that live work is refused.
TEST_CASE("batch work leaves part of the queue to live work")
{
    QueueState queue { .waitingBatch = 200 };
    RouteRequest batch { .priorityClass = PriorityClass::Batch, .work = { 1000, 100 } };
    CHECK(decide(batch, 600s, queue, fullReplica()).refusal == ErrorKind::Overloaded);
    CHECK(decide({ .work = { 1000, 100 } }, 30s, queue, fullReplica()).action == AdmissionDecision::Action::Queue);
    auto leaving = fullReplica();
    leaving.acceptsNewWork = false;
    CHECK(decide(batch, 600s, {}, leaving).refusal == ErrorKind::NoBackend);
}

// Guards against a limit that stays high while a backend slows down, or collapses while it is fast.
TEST_CASE("the concurrency limit follows the service time")
{
    ConcurrencyLimit limit;
    for (int response = 0; response < 50; response++)
        limit = withResponse(limit, 1, false, 30, 32);
    CHECK(limit.limit == 32);
    for (int response = 0; response < 200; response++)
        limit = withResponse(limit, 5, false, 30, 32);
    CHECK(limit.limit < 8);
    CHECK(withResponse({}, 0, true, 1, 32).limit < 16);
}

// Guards against starvation by an account with many requests, within the live class and across classes.
TEST_CASE("accounts share by weight and live work goes first")
{
    FairQueue queue;
    uint64_t entryId = 0;
    for (int count = 0; count < 50; count++)
        push(queue, { ++entryId, AccountId("flood"), PriorityClass::Live, 100, 1, now + 10s });
    for (int count = 0; count < 10; count++)
        push(queue, { ++entryId, AccountId("small"), PriorityClass::Live, 100, 2, now - 1s });
    push(queue, { ++entryId, AccountId("flood"), PriorityClass::Batch, 1, 1, now + 10s });
    CHECK(expired(queue, now).size() == 10);
    CHECK(remove(queue, 1));
    CHECK_FALSE(remove(queue, 1));
    std::map<std::string, int> served;
    for (int count = 0; count < 15; count++)
        served[pop(queue, true, now)->account.value()]++;
    CHECK(served["small"] == 10);
    while (size(queue, PriorityClass::Live) > 0)
        CHECK(pop(queue, true, now)->priorityClass == PriorityClass::Live);
    CHECK_FALSE(pop(queue, false, now).has_value());
    CHECK(pop(queue, true, now)->priorityClass == PriorityClass::Batch);
}

// Guards against an overload in which every request misses the first-token target although most could meet it.
TEST_CASE("work that missed the first-token target waits until its latest start is near")
{
    FairQueue queue;
    push(queue, { 1, AccountId("a"), PriorityClass::Live, 1, 1, now + 20s, now - 1s });
    push(queue, { 2, AccountId("a"), PriorityClass::Live, 1, 1, now + 20s, now + 1s });
    push(queue, { 3, AccountId("a"), PriorityClass::Live, 1, 1, now + 1s, now - 5s });
    CHECK(peek(queue, true, now)->entryId == 3);
    CHECK(pop(queue, true, now)->entryId == 3);
    CHECK(pop(queue, true, now)->entryId == 2);
    CHECK(pop(queue, true, now)->entryId == 1);
}

// Guards against refusing a late request that could have started in time: it is served before the requests of its account
// with a later latest start, and only then may it exceed the slots.
TEST_CASE("the late request with the earliest latest start is served first and may exceed the slots")
{
    FairQueue queue;
    push(queue, { 1, AccountId("a"), PriorityClass::Live, 1, 1, now + 5s, now - 1s });
    push(queue, { 2, AccountId("a"), PriorityClass::Live, 1, 1, now + 3s, now - 1s });
    push(queue, { 3, AccountId("a"), PriorityClass::Live, 1, 1, now + 1s, now + 1s });
    REQUIRE(peek(queue, true, now)->entryId == 2);
    QueueState state { .waitingLive = 3, .maximumWaiting = 10 };
    CHECK_FALSE(mayExceedSlots(*peek(queue, true, now), { .waitingLive = 9, .maximumWaiting = 10 }, now));
    CHECK(mayExceedSlots(*pop(queue, true, now), state, now));
    CHECK_FALSE(mayExceedSlots(*pop(queue, true, now), state, now));
    CHECK_FALSE(mayExceedSlots(*pop(queue, true, now), state, now));
}

// Guards against a straggler that is preempted so often that it misses its deadline.
TEST_CASE("batch work near its deadline is not preempted")
{
    CHECK(canPreempt(now + 101s, now));
    CHECK_FALSE(canPreempt(now + 99s, now));
}
