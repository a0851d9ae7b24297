#include "decisions/accounts/AccountTable.h"
#include "decisions/admission/Admission.h"
#include "decisions/discovery/Discovery.h"
#include "decisions/fairness/FairQueue.h"
#include "decisions/routing/PrefixIndex.h"
#include "decisions/routing/Routing.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>
#include <string>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

std::atomic<uint64_t> allocations = 0;

std::vector<ReplicaView> makeViews(int64_t count, TimePoint now)
{
    RandomGenerator random(1);
    std::vector<ReplicaView> views;
    for (int64_t index = 0; index < count; index++) {
        ReplicaView view;
        view.id = ReplicaId("engine" + std::to_string(index));
        view.zone = AvailabilityZone("zone" + std::to_string(index % 4));
        view.blocks = 96;
        view.report = { static_cast<double>(random() % 20000), static_cast<double>(random() % 5000), static_cast<uint32_t>(random() % 28), 60, now - 1s };
        view.own.liveRequests = static_cast<uint32_t>(random() % 4);
        view.daemonShare = 1.0 / 6;
        views.push_back(std::move(view));
    }
    return views;
}

/** Computes what each request needs: a prefix lookup for each replica, the routing decision and admission. */
void routeOneRequest(benchmark::State& state)
{
    auto now = TimePoint(100s);
    auto views = makeViews(state.range(0), now);
    PrefixIndex prefixes;
    std::vector<uint64_t> blocks { 1, 2, 3, 4, 5, 6 };
    for (size_t index = 0; index < views.size(); index += 5)
        recordSentPrefix(prefixes, views[index].id, blocks);
    RandomGenerator random(2);
    std::vector<double> cached(views.size());
    auto before = allocations.load();
    for (auto _ : state) {
        for (size_t index = 0; index < views.size(); index++)
            cached[index] = cachedTokens(prefixes, views[index].id, blocks);
        RouteRequest request { .work = { 14000, 200 }, .zone = views.front().zone, .cachedTokens = cached };
        auto route = chooseReplica(request, views, now, random);
        auto admission = admit(request, now + 30s, {}, views, route, now);
        benchmark::DoNotOptimize(admission);
    }
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before), benchmark::Counter::kAvgIterations);
}

/** Queues one request and serves one, with one request waiting for each account. */
void queueOneRequest(benchmark::State& state)
{
    auto now = TimePoint(100s);
    FairQueue queue;
    uint64_t entryId = 0;
    auto requestOf = [&](int64_t account) {
        return QueuedRequest { ++entryId, AccountId("account" + std::to_string(account)), PriorityClass::Live, 1, 1, now + 30s };
    };
    for (int64_t account = 0; account < state.range(0); account++)
        push(queue, requestOf(account));
    RandomGenerator random(3);
    auto before = allocations.load();
    for (auto _ : state) {
        push(queue, requestOf(static_cast<int64_t>(random() % static_cast<uint64_t>(state.range(0)))));
        benchmark::DoNotOptimize(pop(queue, true, now));
    }
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before), benchmark::Counter::kAvgIterations);
}

/** Computes the discovery response for one account among the given number of daemons. */
void discoverOnce(benchmark::State& state)
{
    std::vector<MemberRecord> members;
    for (int64_t index = 0; index < state.range(0); index++) {
        MemberRecord member;
        member.id = DaemonId("daemon" + std::to_string(index));
        member.state = MemberState::Ready;
        member.zone = AvailabilityZone("zone" + std::to_string(index % 8));
        member.region = Region("region" + std::to_string(index % 8 / 3));
        members.push_back(std::move(member));
    }
    uint64_t account = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(entryPoints(AccountId("account" + std::to_string(++account)), AvailabilityZone("zone1"), members));
}

/** Accounts with two keys of 32 bytes each. */
std::vector<ClientAccount> makeAccounts(int64_t count)
{
    std::vector<ClientAccount> accounts;
    for (int64_t index = 0; index < count; index++) {
        auto number = std::to_string(1'000'000 + index);
        accounts.push_back({ AccountId("account-" + number), { "key-a-0123456789abcdefghi" + number, "key-b-0123456789abcdefghi" + number }, {} });
    }
    return accounts;
}

double usedMegabytes()
{
    return static_cast<double>(mallinfo2().uordblks) / (1 << 20);
}

void findAccount(benchmark::State& state)
{
    auto before = usedMegabytes();
    auto accounts = makeAccounts(state.range(0));
    auto withAccounts = usedMegabytes();
    AccountTable table(accounts, {});
    state.counters["accounts_mb"] = withAccounts - before;
    state.counters["table_mb"] = usedMegabytes() - withAccounts;
    RandomGenerator random(3);
    for (auto _ : state) {
        const auto& account = accounts[random() % accounts.size()];
        benchmark::DoNotOptimize(table.find(account.keys.back()));
    }
}

void buildAccounts(benchmark::State& state)
{
    auto accounts = makeAccounts(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(AccountTable(accounts, {}));
}

} // namespace

void* operator new(size_t size)
{
    allocations++;
    if (auto* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, size_t) noexcept
{
    std::free(memory);
}

BENCHMARK(routeOneRequest)->Arg(10)->Arg(24)->Arg(100)->Arg(1000);
BENCHMARK(queueOneRequest)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);
BENCHMARK(findAccount)->Arg(73)->Arg(27000);
BENCHMARK(buildAccounts)->Arg(73)->Arg(27000);
BENCHMARK(discoverOnce)->Arg(6)->Arg(33)->Arg(330);
BENCHMARK_MAIN();
