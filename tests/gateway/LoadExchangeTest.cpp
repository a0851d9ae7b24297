#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr uint16_t peerPort = 47'660;

/** One daemon of a fleet, with its own loopback address. */
struct ExchangeDaemon {
    ExchangeDaemon(GatewayFixture& fixture, int number)
        : directory(fixture.context, fixture.store, fixture.timers, fixture.log, fixture.ownKeys, recordOf(number), [] {})
        , loadTracker(std::make_shared<LoadTracker>(fixture.timers, fixture.log))
        , speeds(fixture.timers)
        , crashTracker(fixture.timers)
        , exchange(fixture.context, fixture.timers, fixture.log, directory, loadTracker, speeds, crashTracker, fixture.replicas)
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
    std::shared_ptr<LoadTracker> loadTracker;
    SpeedTracker speeds;
    CrashTracker crashTracker;
    LoadExchange exchange;
};

/** A fleet of daemons. Their datagrams arrive in real time, so virtual time advances in small steps. */
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

    /** Whether the daemon returns the member with this number as an entry point. */
    bool listsAsEntryPoint(const ExchangeDaemon& daemon, int number) const
    {
        auto address = ExchangeDaemon::recordOf(number).clientEndpoint;
        auto entryPoints = entryPointsFor(daemon.directory.others(), ExchangeDaemon::recordOf(number).zone);
        return std::ranges::find(entryPoints, address) != entryPoints.end();
    }

    std::vector<std::unique_ptr<ExchangeDaemon>> members;
};

void checkSharedWork(int size)
{
    ExchangeFleet fleet(size);
    ReplicaId replica("i-1");
    auto inFlightWork = fleet.members.back()->loadTracker->beginPrefill(replica, 5000, orderOf(PrefillRank::Urgent));
    fleet.advanceSteps(1s);
    for (const auto& member : fleet.members)
        CHECK(member->loadTracker->observe(replica).work == ReplicaWork { replica, 1, amountAt(5000.0, orderOf(PrefillRank::Urgent)), {} });
    inFlightWork.end();
    fleet.advanceSteps(1s);
    for (const auto& member : fleet.members)
        CHECK(member->loadTracker->requestsAt(replica) == 0);
}

void checkSharedSpeed(int size)
{
    ExchangeFleet fleet(size);
    ServiceId service("s");
    for (int i = 1; i <= 8; ++i)
        fleet.members.back()->speeds.recordPrefill(service, 1000 * i, 20ms * i);
    fleet.advanceSteps(1s);
    for (const auto& member : fleet.members) {
        auto speed = member->speeds.speedOf(service).prefill;
        REQUIRE(speed.has_value());
        CHECK(speed->tokensPerMillisecond == doctest::Approx(50).epsilon(0.01));
    }
}

/** Records crashes at different daemons, of which none sees enough to block the part, and then a first event at another. */
void checkSharedPartCrashes(int size)
{
    ExchangeFleet fleet(size);
    std::vector<SharedPart> parts { { 7, 0 } };
    auto countAdmitting = [&] { return std::ranges::count_if(fleet.members, [&](const auto& member) { return member->crashTracker.admitParts(parts) == PartAdmission::Admitted; }); };
    for (size_t i = 0; i < 3; ++i) {
        CHECK(countAdmitting() == size);
        fleet.members[i]->crashTracker.addPartCrash({ ReplicaId("i-" + std::to_string(i)), 1 }, parts, fleet.timers.now());
        fleet.advanceSteps(300ms);
    }
    fleet.advanceSteps(1s);
    CHECK(countAdmitting() == 0);
    fleet.members.back()->crashTracker.recordPartsBegun({ ReplicaId("i-9"), 1 }, parts, fleet.timers.now());
    fleet.advanceSteps(1s);
    CHECK(countAdmitting() == size);
}

} // namespace

TEST_CASE("every daemon blocks a prompt part whose crashes were seen by three of them, until one sees a first event")
{
    checkSharedPartCrashes(4);
    checkSharedPartCrashes(15);
}

// Guards against daemons that know nothing of the engines' speed after a restart, or with little traffic of their own.
TEST_CASE("every daemon learns the speed of the engines from the calls of one daemon")
{
    checkSharedSpeed(4);
    checkSharedSpeed(15);
}

// Guards against daemons of a large fleet that know the capacity of a replica from their own few calls only.
TEST_CASE("every daemon learns the capacity of a slow replica from the calls of one daemon")
{
    for (auto size : { 4, 15 }) {
        ExchangeFleet fleet(size);
        for (int call = 0; call < 100; ++call) {
            for (const auto* id : { "i-1", "i-2", "i-3" })
                fleet.members.back()->loadTracker->capacity().record(ReplicaId(id), 0.3, id == std::string("i-1") ? 2 : 1);
        }
        auto entryOf = [](const char* id) {
            ReplicaEntry entry;
            entry.id = ReplicaId(id);
            entry.service = ServiceId("s");
            return entry;
        };
        for (int second = 0; second < 4; ++second) {
            fleet.advanceSteps(1s);
            for (const auto& member : fleet.members) {
                for (const auto* id : { "i-1", "i-2", "i-3" })
                    member->loadTracker->capacity().capacityOf(entryOf(id));
            }
        }
        for (const auto& member : fleet.members) {
            CHECK(member->loadTracker->capacity().capacityOf(entryOf("i-1")).speed < 0.65);
            CHECK(member->loadTracker->capacity().capacityOf(entryOf("i-2")).speed == 1);
        }
    }
}

TEST_CASE("every daemon of a small fleet receives the work of all others")
{
    checkSharedWork(4);
}

TEST_CASE("every daemon of a fleet with collectors receives the work of all others, counted once")
{
    checkSharedWork(15);
}

TEST_CASE("a killed daemon stops being an entry point although collectors exchange lists of live daemons")
{
    // Found in the day trouble-3 of the scenario tr-spares-grown: because of each other's lists, the collectors kept a
    // stopped daemon listed.
    ExchangeFleet fleet(15);
    CHECK(fleet.listsAsEntryPoint(*fleet.members[6], 13));
    // It stops sending messages; its registration remains until its lease expires.
    asio::co_spawn(fleet.context, fleet.members[12]->exchange.stop(), asio::detached);
    fleet.advanceSteps(2s);
    for (const auto& member : fleet.members) {
        auto isOther = member->directory.self().id != ExchangeDaemon::recordOf(13).id;
        if (isOther && member->directory.self().zone == ExchangeDaemon::recordOf(13).zone)
            CHECK_FALSE(fleet.listsAsEntryPoint(*member, 13));
    }
}

// Guards against members that rely on collectors without access to the store and so miss that a replica is leaving.
TEST_CASE("members rely on their collectors for changes of the store, except while these cannot reach it")
{
    ExchangeFleet fleet(15);
    auto countInformedMembers = [&fleet] { return std::ranges::count_if(fleet.members, [](const auto& member) { return member->exchange.receivesStoreChanges(); }); };
    // Two collectors in each of two zones watch the store for the others.
    CHECK(countInformedMembers() == 15 - 4);
    fleet.store.isDown = true;
    fleet.advanceSteps(3s);
    CHECK(countInformedMembers() == 0);
    fleet.store.isDown = false;
    fleet.advanceSteps(3s);
    CHECK(countInformedMembers() == 15 - 4);
}

// Guards against decisions on the number of replicas by a daemon that does not hear the others, and takes their work for none.
TEST_CASE("a daemon knows whether it hears of the work of the fleet, as a member of a mesh, a collector and a member of a zone")
{
    for (auto size : { 4, 16 }) {
        CAPTURE(size);
        ExchangeFleet fleet(size);
        for (const auto& member : fleet.members)
            CHECK(member->exchange.knowsFleetLoad());
        for (size_t i = 1; i < fleet.members.size(); ++i)
            asio::co_spawn(fleet.context, fleet.members[i]->exchange.stop(), asio::detached);
        fleet.advanceSteps(1800ms);
        CHECK_FALSE(fleet.members[0]->exchange.knowsFleetLoad());
    }
}
