#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr uint16_t peerPort = 47'660;

/** One daemon of a fleet on the loopback range. */
struct ExchangeDaemon {
    ExchangeDaemon(GatewayFixture& fixture, int number)
        : directory(fixture.context, fixture.store, fixture.timers, fixture.log, fixture.ownKeys, recordOf(number), [] {})
        , board(std::make_shared<LoadTracker>(fixture.timers, fixture.log))
        , losses(fixture.timers)
        , exchange(fixture.context, fixture.timers, fixture.log, directory, board, losses, fixture.replicas)
    {
        directory.start();
        exchange.start();
    }

    static DaemonRecord recordOf(int number)
    {
        auto address = "127.0.7." + std::to_string(number);
        return { DaemonId("d" + std::to_string(100 + number)), AvailabilityZone(number % 2 == 0 ? "a" : "b"), { address, 80 }, { address, peerPort } };
    }

    DaemonDirectory directory;
    std::shared_ptr<LoadTracker> board;
    CrashTracker losses;
    LoadExchange exchange;
};

/** Daemons whose datagrams take real time to arrive; virtual time moves in small steps. */
struct ExchangeFleet : GatewayFixture {
    explicit ExchangeFleet(int size)
    {
        for (int i = 1; i <= size; ++i)
            members.push_back(std::make_unique<ExchangeDaemon>(*this, i));
        ownKeys->start();
        advanceSteps(4s);
    }

    void advanceSteps(Duration time)
    {
        for (Duration step = 0s; step < time; step += 50ms) {
            timers.advance(50ms);
            context.restart();
            context.run_for(1ms);
        }
    }

    /** Whether the daemon sends clients to the member with this number. */
    bool names(const ExchangeDaemon& daemon, int number) const
    {
        auto address = ExchangeDaemon::recordOf(number).clientEndpoint;
        auto named = entryPointsFor(daemon.directory.others(), ExchangeDaemon::recordOf(number).zone);
        return std::ranges::find(named, address) != named.end();
    }

    std::vector<std::unique_ptr<ExchangeDaemon>> members;
};

void checkSharedWork(int size)
{
    ExchangeFleet fleet(size);
    ReplicaId replica("i-1");
    auto flight = fleet.members.back()->board->beginPrefill(replica, 5000, false);
    fleet.advanceSteps(1s);
    for (const auto& member : fleet.members)
        CHECK(member->board->observe(replica).work == ReplicaWork { replica, 1, 5000, 0 });
    flight.end();
    fleet.advanceSteps(1s);
    for (const auto& member : fleet.members)
        CHECK(member->board->requestsAt(replica) == 0);
}

} // namespace

TEST_CASE("all daemons of a small fleet know each other's work")
{
    checkSharedWork(4);
}

TEST_CASE("all daemons of a fleet with collectors know each other's work, counted once")
{
    checkSharedWork(15);
}

TEST_CASE("a killed daemon is named to no client, though collectors exchange their lists")
{
    // Day trouble-3 of tr-spares-grown: the collectors kept a daemon alive in each other's lists after it had gone.
    ExchangeFleet fleet(15);
    CHECK(fleet.names(*fleet.members[6], 13));
    // It falls silent; its registration stands until its lease ends.
    asio::co_spawn(fleet.context, fleet.members[12]->exchange.stop(), asio::detached);
    fleet.advanceSteps(2s);
    for (const auto& member : fleet.members) {
        auto isOther = member->directory.self().id != ExchangeDaemon::recordOf(13).id;
        if (isOther && member->directory.self().zone == ExchangeDaemon::recordOf(13).zone)
            CHECK_FALSE(fleet.names(*member, 13));
    }
}

// Guards against members that rely on collectors which do not see the store: they would miss the leaving of a replica.
TEST_CASE("members are told of changes by their collectors, but not while these do not see the store")
{
    ExchangeFleet fleet(15);
    auto toldMembers = [&fleet] { return std::ranges::count_if(fleet.members, [](const auto& member) { return member->exchange.isTold(); }); };
    // Two collectors in each of two zones watch for the others.
    CHECK(toldMembers() == 15 - 4);
    fleet.store.isDown = true;
    fleet.advanceSteps(3s);
    CHECK(toldMembers() == 0);
    fleet.store.isDown = false;
    fleet.advanceSteps(3s);
    CHECK(toldMembers() == 15 - 4);
}
