#include "control/FleetFixture.h"

using namespace chestnut;
using namespace std::chrono_literals;

// Guards against several daemons that send orders to one engine (H1), and against new work for an engine during a change.
TEST_CASE("one of several daemons holds the group and changes an engine to its desired role")
{
    FleetFixture fleet;
    for (auto id : { "d1", "d2", "d3" })
        fleet.addDaemon(id);
    fleet.timers.advance(20s);
    auto* holder = fleet.holderOf("a/m1");
    REQUIRE(holder);
    CHECK(fleet.engineAt(1).applied.size() == 1);
    fleet.setRole(2, 1, "decode");
    fleet.timers.advance(8s);
    for (const auto& daemon : fleet.daemons)
        CHECK_FALSE(daemon->fleet.acceptsNewWork(ReplicaId("e1")));
    fleet.timers.advance(15s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Decode);
    for (const auto& daemon : fleet.daemons) {
        CHECK(daemon->fleet.acceptsNewWork(ReplicaId("e1")));
        CHECK(daemon->fleet.roleOf(EngineId("e1")) == EngineRole::Decode);
        CHECK(daemon->fleet.slowStartShare(ReplicaId("e1")) < 1);
    }
    fleet.timers.advance(30s);
    CHECK(holder->fleet.slowStartShare(ReplicaId("e1")) == 1);
    CHECK(fleet.conflicts() == 0);
}

// Guards against a planned change that interrupts a request (H2).
TEST_CASE("a role change waits for the running requests of an engine, but not beyond the drain timeout")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    fleet.engineAt(1).running = 1;
    fleet.setRole(2, 1, "decode");
    fleet.timers.advance(60s);
    CHECK(fleet.engineAt(1).applied.size() == 1);
    CHECK(fleet.daemons[0]->orders.statuses()[0].phase == "draining");
    fleet.engineAt(1).running = 0;
    fleet.timers.advance(20s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Decode);
    CHECK(fleet.engineAt(1).interrupted == 0);
    fleet.engineAt(2).running = 1;
    fleet.setRole(3, 2, "decode");
    fleet.timers.advance(drainTimeout + 20s);
    CHECK(fleet.engineAt(2).state.role == EngineRole::Decode);
}

// Guards against an engine that keeps its old role after a crash during the change or a lost response.
TEST_CASE("an engine that crashes during a role change gets the order again")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    fleet.engineAt(1).crashesInChange = 2;
    fleet.engineAt(1).lostResponses = 1;
    fleet.setRole(2, 1, "prefill");
    fleet.timers.advance(120s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Prefill);
    CHECK(fleet.engineAt(1).applied.size() == 4);
    CHECK(fleet.daemons[0]->fleet.acceptsNewWork(ReplicaId("e1")));
    CHECK(fleet.conflicts() == 0);
}

// Guards against an order without a recorded intent, and against a change that is lost in an outage.
TEST_CASE("an outage of the key-value service delays a change and stops orders before the lease ends")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    fleet.setRole(2, 1, "decode");
    fleet.store.isDown = true;
    fleet.timers.advance(120s);
    CHECK(fleet.engineAt(1).applied.size() == 1);
    CHECK(fleet.daemons[0]->configuration.isReady());
    fleet.store.isDown = false;
    fleet.timers.advance(60s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Decode);
    CHECK(fleet.daemons[0]->fleet.acceptsNewWork(ReplicaId("e1")));
    CHECK(fleet.conflicts() == 0);
}

// Guards against the older of two tickets winning because its change was in progress.
TEST_CASE("a ticket that supersedes a change in progress is applied after that change")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    fleet.setRole(2, 1, "decode");
    for (int second = 0; second < 20 && !fleet.engineAt(1).target; ++second)
        fleet.timers.advance(1s);
    REQUIRE(fleet.engineAt(1).target);
    fleet.setRole(3, 1, "prefill");
    fleet.timers.advance(3s);
    CHECK(fleet.engineAt(1).applied.size() == 2); // not ordered again while it changes
    fleet.timers.advance(60s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Prefill);
    CHECK(fleet.daemons[0]->fleet.roleOf(EngineId("e1")) == EngineRole::Prefill);
    CHECK(fleet.conflicts() == 0);
}

// Guards against a partial change that no daemon completes, and against a successor that sends orders too early.
TEST_CASE("a successor waits, then completes the change of a holder that died")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.addDaemon("d2");
    fleet.timers.advance(20s);
    auto* holder = fleet.holderOf("a/m1");
    REQUIRE(holder);
    fleet.engineAt(1).crashesInChange = 1;
    fleet.setRole(2, 1, "decode");
    fleet.timers.advance(5s);
    REQUIRE(fleet.engineAt(1).applied.size() == 2);
    fleet.network.records[holder->peers.self()].state = MemberState::Dropped;
    std::erase_if(fleet.daemons, [holder](const auto& daemon) { return daemon.get() == holder; });
    fleet.timers.advance(successorWait);
    CHECK(fleet.engineAt(1).applied.size() == 2);
    fleet.timers.advance(60s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Decode);
    CHECK(fleet.daemons[0]->fleet.acceptsNewWork(ReplicaId("e1")));
    CHECK(fleet.conflicts() == 0);
}

namespace {

/** Delays the order of holder d1 for ticket 2 until d2 has acquired the lease and applied ticket 3. */
void delayOrderPastLease(FleetFixture& fleet)
{
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    fleet.addDaemon("d2");
    auto& holder = *fleet.daemons[0];
    fleet.engineAt(1).orderDelay = 40s;
    fleet.setRole(2, 1, "decode");
    while (holder.log.recent(EventId::OrderSent).size() < 4)
        fleet.timers.advance(100ms);
    fleet.engineAt(1).orderDelay = Duration::zero();
    asio::co_spawn(fleet.context, fleet.store.destroySession(holder.leases.session()), asio::detached);
    fleet.network.records[holder.peers.self()].state = MemberState::Dropped;
    fleet.setRole(3, 1, "prefill");
    fleet.timers.advance(33s);
    REQUIRE(fleet.engineAt(1).state.role == EngineRole::Prefill);
}

} // namespace

// Guards against an order of a holder that has lost its lease (H3).
TEST_CASE("a delayed order of a holder that has lost its lease is refused by an engine that checks fencing numbers")
{
    FleetFixture fleet;
    delayOrderPastLease(fleet);
    fleet.timers.advance(30s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Prefill);
    CHECK(fleet.daemons[0]->log.recent("reason", "stale_authority: stale fencing number").size() == 1);
    CHECK(fleet.conflicts() == 0);
}

// Guards against an engine that keeps the state of a late order because it does not check fencing numbers.
TEST_CASE("a delayed order of a holder that has lost its lease is overwritten at an engine that does not check fencing numbers")
{
    FleetFixture fleet;
    fleet.engineAt(1).checksFencing = false;
    delayOrderPastLease(fleet);
    fleet.timers.advance(6s);
    REQUIRE(fleet.engineAt(1).conflicts == 1); // the late order took effect
    fleet.timers.advance(30s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Prefill);
    CHECK(fleet.daemons[1]->fleet.acceptsNewWork(ReplicaId("e1")));
}

// Guards against orders under a lease whose renewals take so long that it may end during the order.
TEST_CASE("a slow key-value service stops orders although the session is alive")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    fleet.setRole(2, 1, "decode");
    fleet.store.latency = 7s;
    fleet.timers.advance(120s);
    CHECK(fleet.engineAt(1).applied.size() == 1);
}

// Guards against a planned stop that leaves its engines without a holder for the successor's wait.
TEST_CASE("a graceful stop hands the group over without the successor's wait")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.addDaemon("d2");
    fleet.timers.advance(20s);
    auto* holder = fleet.holderOf("a/m1");
    REQUIRE(holder);
    fleet.network.records[holder->peers.self()].state = MemberState::Leaving;
    asio::co_spawn(fleet.context, holder->orders.stop(), asio::detached);
    fleet.timers.advance(1s);
    asio::co_spawn(fleet.context, holder->leases.stop(), asio::detached);
    fleet.timers.advance(3s);
    auto* successor = fleet.holderOf("a/m1");
    REQUIRE(successor);
    CHECK(successor != holder);
    fleet.setRole(2, 1, "decode");
    fleet.timers.advance(20s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Decode);
}

// Guards against two holders ordering one engine when its group changes while one holder has an old revision.
TEST_CASE("an engine that moves between groups never gets conflicting orders")
{
    FleetFixture fleet;
    for (auto id : { "d1", "d2", "d3", "d4" })
        fleet.addDaemon(id);
    fleet.setRole(2, 3, "mixed", "m2");
    fleet.timers.advance(40s);
    REQUIRE(fleet.engineAt(3).state.model == ModelId("m2"));
    auto* first = fleet.holderOf("a/m1");
    auto* second = fleet.holderOf("a/m2");
    REQUIRE((first && second));
    fleet.network.partitioned.insert(first->peers.self()); // cannot pull the next revision from its peers
    fleet.setRole(3, 1, "mixed", "m2");
    fleet.setRole(4, 3, "mixed", "m1");
    fleet.timers.advance(120s);
    fleet.network.partitioned.clear();
    fleet.timers.advance(60s);
    CHECK(fleet.engineAt(1).state.model == ModelId("m2"));
    CHECK(fleet.engineAt(3).state.model == ModelId("m1"));
    CHECK(fleet.conflicts() == 0);
}

// Guards against a model without any replica because all of them load new weights at the same time.
TEST_CASE("a new version reaches the engines of a model one after another")
{
    FleetFixture fleet(4);
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    fleet.submit({ { "number", 2 }, { "models", { { "m1", { { "version", "v2" } } } } } });
    for (int second = 0; second < 120; ++second) {
        fleet.timers.advance(1s);
        int unavailable = 0;
        for (int i = 1; i <= 4; ++i)
            unavailable += fleet.daemons[0]->fleet.acceptsNewWork(ReplicaId("e" + std::to_string(i))) ? 0 : 1;
        CHECK(unavailable <= 1);
    }
    for (int i = 1; i <= 4; ++i)
        CHECK(fleet.engineAt(i).state.version == "v2");
}

// Guards against a ticket that is never applied without any reported reason.
TEST_CASE("an engine that does not respond is reported with the reason until a newer ticket supersedes the old one")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    fleet.engineAt(1).isDown = true;
    fleet.setRole(2, 1, "decode");
    fleet.timers.advance(30s);
    auto status = fleet.daemons[0]->orders.statuses()[0];
    CHECK(status.phase == "waiting");
    CHECK(status.problem == "the engine does not report its state");
    fleet.submit({ { "number", 3 }, { "remove", { "engine/e1" } } });
    fleet.timers.advance(5s);
    CHECK(fleet.daemons[0]->orders.statuses().size() == 2);
    CHECK_FALSE(fleet.daemons[0]->fleet.acceptsNewWork(ReplicaId("e1")));
}

// Guards against a change at an engine to which another daemon still sends work.
TEST_CASE("a change waits until every member that is not suspected has acknowledged that the engine is unavailable")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    auto& other = fleet.addDaemon("d2");
    fleet.timers.advance(1s);
    fleet.network.partitioned.insert(DaemonId("d2"));
    fleet.setRole(2, 1, "decode");
    auto drains = [&fleet] { return fleet.daemons[0]->log.recent("reason", "engine change").size(); };
    for (int i = 0; i < 100 && drains() == 0; ++i)
        fleet.timers.advance(100ms);
    REQUIRE(drains() == 1);
    fleet.timers.advance(drainAcknowledgementTimeout);
    CHECK(fleet.engineAt(1).applied.size() == 1);
    fleet.network.partitioned.clear();
    fleet.timers.advance(4s);
    CHECK(fleet.engineAt(1).applied.size() == 2);
    CHECK_FALSE(other.fleet.acceptsNewWork(ReplicaId("e1")));
}

// Guards against a holder that overwrites the intent of another holder that has taken over the engine (H1).
TEST_CASE("a holder whose intent was overwritten sends nothing while the other one follows a newer configuration")
{
    FleetFixture fleet;
    auto& daemon = fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    auto& entry = fleet.store.entries.at("orders/e1");
    auto intent = *decodeIntent(entry.value);
    intent.holder = "d9/1/a/m2/7";
    intent.fencingNumber += 7;
    intent.desired.revision += 100;
    entry.value = encodeIntent(intent);
    entry.modifyIndex += 1'000'000;
    fleet.setRole(2, 1, "decode");
    fleet.timers.advance(60s);
    CHECK(daemon.log.recent(EventId::OrderSuperseded).size() == 1);
    CHECK(daemon.orders.statuses()[0].problem == "another holder follows a newer configuration");
    CHECK(fleet.engineAt(1).applied.size() == 1);
    CHECK(fleet.store.entries.at("orders/e1").value == encodeIntent(intent));
}

// Guards against a dead engine that blocks changes of all engines of its model.
TEST_CASE("the slots of an engine that dies during its change are released for the others")
{
    FleetFixture fleet;
    fleet.addDaemon("d1");
    fleet.timers.advance(10s);
    fleet.submit({ { "number", 2 }, { "models", { { "m1", { { "version", "v2" } } } } } });
    int dead = 0;
    for (int second = 0; second < 30 && dead == 0; ++second) {
        fleet.timers.advance(1s);
        for (int i = 1; i <= 3; ++i)
            dead = fleet.engineAt(i).target ? i : dead;
    }
    REQUIRE(dead > 0);
    fleet.engineAt(dead).isDown = true;
    fleet.timers.advance(240s);
    for (int i = 1; i <= 3; ++i)
        CHECK((fleet.engineAt(i).state.version == "v2") == (i != dead));
    CHECK_FALSE(fleet.daemons[0]->fleet.acceptsNewWork(ReplicaId("e" + std::to_string(dead))));
    fleet.engineAt(dead).isDown = false;
    fleet.timers.advance(60s);
    CHECK(fleet.engineAt(dead).state.version == "v2");
}

// Guards against a lease without an acting holder: the response was lost, and another member has become preferred.
TEST_CASE("a lease is released when the response to its acquisition was lost and another member is preferred")
{
    FleetFixture fleet;
    auto& first = fleet.addDaemon("d1");
    fleet.store.lostResponses = 1;
    fleet.timers.advance(1s);
    REQUIRE_FALSE(first.holds("a/m1"));
    REQUIRE(fleet.store.entries.at("leases/a/m1").session == first.leases.session());
    fleet.network.records[DaemonId("d1")].state = MemberState::Leaving;
    auto& second = fleet.addDaemon("d2");
    fleet.timers.advance(5s);
    CHECK(second.holds("a/m1"));
    fleet.timers.advance(successorWait + 5s);
    CHECK(fleet.engineAt(1).applied.size() == 1);
}
