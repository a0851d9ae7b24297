#include "decisions/placement/PromptPlacement.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

const AvailabilityZone zoneA("a");
const AvailabilityZone zoneB("b");
const PrefillSpeed speed { 300, 2 };

std::vector<PlacementView> engines(size_t count)
{
    std::vector<PlacementView> views;
    for (size_t i = 0; i < count; ++i) {
        PlacementView view;
        view.id = ReplicaId("i-" + std::to_string(i));
        view.zone = i % 2 == 0 ? zoneA : zoneB;
        view.slots = 12;
        views.push_back(view);
    }
    return views;
}

/** 6,300 shared and 2,890 own tokens. */
PromptShape promptOf(uint64_t subject)
{
    return { "m", 9190, 2, { { 1, 2520 }, { 1000 + subject, 3780 }, { 900'000 + subject, 2890 } } };
}

/** Simulates the queue of one engine, which serves deferred prompts last; times in milliseconds. */
struct EngineQueue {
    struct Job {
        double arrival = 0;
        double work = 0;
        bool isDeferred = false;
    };
    std::vector<Job> jobs;
    double freeAt = 0;

    /** Runs the jobs up to a time; returns the number of prefills that ended within the objective. */
    size_t runUntil(double time, double objective)
    {
        size_t onTime = 0;
        while (!jobs.empty() && freeAt < time) {
            auto next = std::ranges::min_element(jobs, {}, [](const Job& job) { return std::pair(job.isDeferred, job.arrival); });
            freeAt = std::max(freeAt, next->arrival) + next->work;
            if (freeAt - next->arrival <= objective)
                ++onTime;
            jobs.erase(next);
        }
        return onTime;
    }

    double queuedTokens(bool isDeferred) const
    {
        double tokens = 0;
        for (const auto& job : jobs) {
            if (job.isDeferred == isDeferred)
                tokens += job.work * speed.tokensPerMillisecond;
        }
        return tokens;
    }
};

/** Simulates a peak of four seconds at a multiple of the engines' capacity; returns the share prefilled on time. */
double shareOnTime(double overload, bool mayDefer)
{
    constexpr double objective = 120;
    constexpr double length = 4000;
    constexpr size_t engineCount = 4;
    std::mt19937 random(11);
    // The shared parts are cached at the home engines, so a prompt costs its own 2,890 tokens.
    std::exponential_distribution<double> gap(overload * engineCount * speed.tokensPerMillisecond / 2890);
    std::vector<EngineQueue> queues(engineCount);
    auto views = engines(engineCount);
    size_t requests = 0;
    size_t onTime = 0;
    for (double now = gap(random); now < length; now += gap(random)) {
        for (size_t i = 0; i < engineCount; ++i) {
            onTime += queues[i].runUntil(now, objective);
            views[i].queued.set(orderOf(PrefillRank::Urgent), queues[i].queuedTokens(false));
            views[i].queued.set(orderOf(PrefillRank::Deferred), queues[i].queuedTokens(true));
        }
        auto choice = choosePrefillEngine(promptOf(random() % 100'000), views, speed, mayDefer ? Duration(100ms) : Duration(1h));
        queues[choice->index].jobs.push_back({ now, choice->missingTokens / speed.tokensPerMillisecond, choice->rank == PrefillRank::Deferred });
        ++requests;
    }
    for (auto& queue : queues)
        onTime += queue.runUntil(1e9, objective);
    return static_cast<double>(onTime) / static_cast<double>(requests);
}

} // namespace

TEST_CASE("daemons send prompts that share their last common part to the same engine without messages")
{
    auto views = engines(9);
    for (uint64_t subject = 0; subject < 50; ++subject) {
        auto here = choosePrefillEngine(promptOf(subject), views, speed, 1s);
        auto reversed = views;
        std::ranges::reverse(reversed);
        auto there = choosePrefillEngine(promptOf(subject), reversed, speed, 1s);
        CHECK(views[here->index].id == reversed[there->index].id);
        CHECK(here->missingTokens == 2890);
    }
}

TEST_CASE("subjects are spread over all engines")
{
    auto views = engines(9);
    std::vector<int> counts(9);
    for (uint64_t subject = 0; subject < 1675; ++subject)
        ++counts[choosePrefillEngine(promptOf(subject), views, speed, 1s)->index];
    for (auto count : counts) {
        CHECK(count > 1675 / 9 / 2);
        CHECK(count < 1675 / 9 * 2);
    }
}

TEST_CASE("a prompt leaves its home engine only when the queue there costs more than another prefill of the shared parts")
{
    auto views = engines(4);
    auto home = choosePrefillEngine(promptOf(7), views, speed, 1s)->index;
    views[home].queued = amountAt(6300.0, orderOf(PrefillRank::Urgent));
    CHECK(choosePrefillEngine(promptOf(7), views, speed, 1s)->index == home);
    views[home].queued = amountAt(60'000.0, orderOf(PrefillRank::Urgent));
    auto other = choosePrefillEngine(promptOf(7), views, speed, 1s);
    CHECK(other->index != home);
    CHECK(other->missingTokens == 9190);
}

TEST_CASE("an ejected or full engine gets no prompt")
{
    auto views = engines(2);
    views[0].isEjected = true;
    views[1].requestsAtRefusal = 48;
    views[1].requests = 47;
    CHECK(choosePrefillEngine(promptOf(1), views, speed, 1s)->index == 1);
    views[1].requests = 48;
    CHECK_FALSE(choosePrefillEngine(promptOf(1), views, speed, 1s).has_value());
}

TEST_CASE("at twice the capacity most of the prefills that fit are on time when late prompts are deferred")
{
    // The engines can prefill half of the prompts. Without deferring, the queue makes nearly all of them late.
    CHECK(shareOnTime(2, true) > 0.4);
    CHECK(shareOnTime(2, false) < 0.2);
}

TEST_CASE("below the capacity deferring makes no prompt late")
{
    CHECK(shareOnTime(0.5, true) > 0.95);
}

TEST_CASE("the own zone is preferred until a replica in another zone is clearly less occupied")
{
    auto views = engines(2);
    views[0].requests = 1;
    CHECK(chooseLeastOccupied(views, zoneA) == 0);
    views[0].requests = 6;
    CHECK(chooseLeastOccupied(views, zoneA) == 1);
}

TEST_CASE("a slow replica gets less work than a fast one")
{
    auto views = engines(2);
    views[1].zone = zoneA;
    views[0].slowdown = 4;
    views[1].requests = 2;
    CHECK(chooseLeastOccupied(views, zoneA) == 1);
}

TEST_CASE("the wait for a decode slot follows from the work in flight, and ejected engines do not count")
{
    auto views = engines(2);
    views[0].requests = 12;
    views[1].requests = 11;
    CHECK(expectedSlotWait(views, 100ms) == 0ms);
    views[0].requests = 36;
    CHECK(expectedSlotWait(views, 100ms) == 100ms);
}

TEST_CASE("decode engines are saturated by their work in flight, ejected ones do not count")
{
    auto views = engines(2);
    views[0].requests = 30;
    views[1].requests = 29;
    CHECK(expectedSlotWait(views, 100ms).has_value());
    views[1].isEjected = true;
    CHECK_FALSE(expectedSlotWait(views, 100ms).has_value());
}

// Guards against refusals and deferrals that rest on the speed of an engine type which a deployment does not have.
TEST_CASE("while the speed is unknown a prompt is placed by queued tokens, with no expected time and never deferred")
{
    auto views = engines(4);
    auto home = choosePrefillEngine(promptOf(7), views, {}, 1ms);
    CHECK_FALSE(home->expectedTime.has_value());
    CHECK(home->rank == PrefillRank::Urgent);
    views[home->index].queued = amountAt(60'000.0, orderOf(PrefillRank::Urgent));
    auto other = choosePrefillEngine(promptOf(7), views, {}, 1ms);
    CHECK(other->index != home->index);
    CHECK(other->rank == PrefillRank::Urgent);
}

TEST_CASE("the expected time of the same prompt grows with slower engines")
{
    auto views = engines(4);
    auto fast = choosePrefillEngine(promptOf(7), views, speed, 1s);
    auto slow = choosePrefillEngine(promptOf(7), views, PrefillSpeed { 50, 2 }, 1s);
    CHECK(*slow->expectedTime > *fast->expectedTime * 5);
    CHECK(choosePrefillEngine(promptOf(7), views, PrefillSpeed { 50, 2 }, 20ms)->rank == PrefillRank::Deferred);
}

// Guards against a long prompt with a long objective that delays a short one with a short objective beyond it.
TEST_CASE("a prompt with a long objective waits behind those with a short one, which do not wait for it")
{
    CHECK(rankOnTime(1200ms, 400ms) == PrefillRank::Relaxed);
    CHECK(rankOnTime(500ms, 400ms) == PrefillRank::Urgent);
    CHECK(rankOnTime(150ms, 150ms) == PrefillRank::Urgent);
    auto views = engines(1);
    views[0].queued = amountAt(1000.0, orderOf(PrefillRank::Urgent));
    views[0].queued += amountAt(20'000.0, orderOf(PrefillRank::Relaxed));
    views[0].queued += amountAt(50'000.0, orderOf(PrefillRank::Deferred));
    CHECK(choosePrefillEngine(promptOf(1), views, speed, 1s, { 0, PrefillRank::Urgent, {} })->workTokens == 1000 + 2890);
    CHECK(choosePrefillEngine(promptOf(1), views, speed, 1s, { 0, PrefillRank::Relaxed, {} })->workTokens == 21'000 + 2890);
    auto late = choosePrefillEngine(promptOf(1), views, speed, 40ms, { 0, PrefillRank::Relaxed, {} });
    CHECK(late->rank == PrefillRank::Deferred);
    CHECK(late->workTokens == 71'000 + 2890);
}
