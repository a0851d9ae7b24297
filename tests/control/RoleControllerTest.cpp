#include "control/roles/RoleController.h"
#include "control/FleetFixture.h"

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** Requests one role change: engine e1 to prefill. */
struct OneChange {
    bool isRequested = false;
    size_t engines = 0;

    std::optional<RoleChange> operator()(const ModelDemand&, std::span<const RoleEngine> candidates, uint32_t, TimePoint)
    {
        engines = candidates.size();
        if (isRequested || candidates[0].isUnavailable)
            return std::nullopt;
        isRequested = true;
        return RoleChange { candidates[0].id, candidates[0].role, EngineRole::Prefill, 1 };
    }
};

} // namespace

// Guards against an automatic role that is lost with a change of holder or persists after a ticket for the engine.
TEST_CASE("an automatic role change is ordered, survives a change of holder and ends with a newer ticket")
{
    FleetFixture fleet;
    auto automatic = FleetFixture::engine(1);
    automatic["role_policy"] = "automatic";
    fleet.submit({ { "number", 2 }, { "engines", { { "e1", automatic } } } });
    auto& daemon = fleet.addDaemon("d1");
    auto change = std::make_shared<OneChange>();
    RoleDecisions decisions { [](const ModelDemand& mean, const ModelDemand&, Duration) { return mean; },
        [change](const ModelDemand& demand, std::span<const RoleEngine> engines, uint32_t floor, TimePoint now) { return (*change)(demand, engines, floor, now); } };
    RoleController roles(daemon.orders, daemon.configuration, fleet.timers, daemon.log, decisions, [](const EngineGroupId&) { return GroupDemand {}; });
    roles.start();
    fleet.timers.advance(40s);
    CHECK(change->engines == 3);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Prefill);
    CHECK(daemon.log.recent(EventId::RoleChangeDecided).size() == 1);

    auto& successor = fleet.addDaemon("d2");
    fleet.network.records[DaemonId("d1")].state = MemberState::Dropped;
    asio::co_spawn(fleet.context, fleet.store.destroySession(daemon.leases.session()), asio::detached);
    fleet.timers.advance(60s);
    REQUIRE(successor.holds("a/m1"));
    CHECK(successor.orders.statuses()[0].phase == "running");
    CHECK(fleet.engineAt(1).state.role == EngineRole::Prefill);
    CHECK(successor.fleet.roleOf(EngineId("e1")) == EngineRole::Prefill);

    fleet.setRole(3, 1, "decode");
    fleet.timers.advance(40s);
    CHECK(fleet.engineAt(1).state.role == EngineRole::Decode);
}

// Guards against new work for a replica on a leaving VM (H7), and against interrupting its running requests.
TEST_CASE("a leaving VM and a leaving backend server get no new work while a running request completes")
{
    FleetFixture fleet;
    auto& daemon = fleet.addDaemon("d1");
    nlohmann::json server { { "service", "orders" }, { "address", "10.0.1.1:80" }, { "zone", "a" }, { "region", "r" } };
    fleet.submit({ { "number", 2 }, { "backend_servers", { { "b1", server } } } });
    fleet.timers.advance(3s);
    CHECK(daemon.fleet.acceptsNewWork(ReplicaId("b1")));
    int changes = 0;
    daemon.fleet.onChange([&changes] { ++changes; });
    fleet.vms.vms = { { "vm1", "10.0.0.1", AvailabilityZone("a"), VmState::Leaving } };
    fleet.engineAt(1).running = 1;
    fleet.timers.advance(2s);
    CHECK_FALSE(daemon.fleet.acceptsNewWork(ReplicaId("e1")));
    server["membership"] = "leaving";
    fleet.submit({ { "number", 3 }, { "backend_servers", { { "b1", server } } } });
    CHECK_FALSE(daemon.fleet.acceptsNewWork(ReplicaId("b1")));
    CHECK(daemon.fleet.slowStartShare(ReplicaId("b1")) == 0);
    CHECK(changes == 2);
    fleet.timers.advance(drainTimeout);
    CHECK(fleet.engineAt(1).interrupted == 0);
    CHECK(fleet.engineAt(1).applied.size() == 1);
    server["membership"] = "joined";
    fleet.submit({ { "number", 4 }, { "backend_servers", { { "b1", server } } } });
    CHECK(daemon.fleet.slowStartShare(ReplicaId("b1")) == doctest::Approx(0.1).epsilon(0.5));
}
