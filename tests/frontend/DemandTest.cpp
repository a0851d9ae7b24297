#include "control/FleetFixture.h"
#include "frontend/demand/DemandMeter.h"

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** Two daemons that measure their arrivals and exchange them by heartbeat. */
struct MeteredFleet {
    MeteredFleet()
    {
        nlohmann::json engines;
        for (int i = 1; i <= 6; ++i) {
            engines["e" + std::to_string(i)] = FleetFixture::engine(i);
            engines["e" + std::to_string(i)]["role_policy"] = "automatic";
        }
        fleet.submit({ { "number", 2 }, { "engines", engines } });
        for (size_t i = 0; i < demandMeters.size(); ++i) {
            auto& daemon = fleet.addDaemon("d" + std::to_string(i + 1));
            roles.push_back(std::make_unique<RoleController>(daemon.orders, daemon.configuration, fleet.timers, daemon.log,
                RoleDecisions { smoothedDemand, decideRoleChange }, [this, i](const EngineGroupId& group) { return demandOf(i, group); }));
            roles.back()->start();
        }
    }

    GroupDemand demandOf(size_t index, const EngineGroupId& group)
    {
        auto& daemon = *fleet.daemons[index];
        return { demandMeters[index].groupDemand(group, *daemon.configuration.current(), daemon.peers.members(), fleet.timers.now()), { 6800, 23 } };
    }

    /** Both daemons record a request of this work twice a second. */
    void offerLoad(Duration time, WorkEstimate work)
    {
        for (auto end = fleet.timers.now() + time; fleet.timers.now() < end;) {
            for (auto& meter : demandMeters)
                meter.recordArrival(ModelId("m1"), work, fleet.timers.now());
            demandMeters[0].merge(DaemonId("d2"), demandMeters[1].report(fleet.timers.now()), fleet.timers.now());
            demandMeters[1].merge(DaemonId("d1"), demandMeters[0].report(fleet.timers.now()), fleet.timers.now());
            fleet.timers.advance(500ms);
        }
    }

    size_t changes()
    {
        size_t count = 0;
        for (const auto& daemon : fleet.daemons)
            count += daemon->log.recent(EventId::RoleChangeDecided).size();
        return count;
    }

    FleetFixture fleet { 6 };
    std::vector<DemandMeter> demandMeters { DemandMeter(DaemonId("d1")), DemandMeter(DaemonId("d2")) };
    std::vector<std::unique_ptr<RoleController>> roles;
};

/** Prefill and decode each take a quarter of the engines' time. */
const WorkEstimate balanced { 2550, 276 };
/** Prefill takes 60% of the engines' time, decode 3%. */
const WorkEstimate prefillHeavy { 6120, 30 };

} // namespace

// Guards against roles that never adapt to the workload mix, and against roles that change with each short swing.
TEST_CASE("a lasting shift of the mix changes roles and a swing of seconds does not")
{
    MeteredFleet metered;
    metered.offerLoad(150s, balanced);
    CHECK(metered.changes() == 0);
    for (int swing = 0; swing < 5; ++swing) {
        metered.offerLoad(4s, prefillHeavy);
        metered.offerLoad(30s, balanced);
    }
    CHECK(metered.changes() == 0);
    metered.offerLoad(150s, prefillHeavy);
    CHECK(metered.changes() >= 1);
    size_t prefillEngines = 0;
    for (int i = 1; i <= 6; ++i)
        prefillEngines += metered.fleet.engineAt(i).state.role == EngineRole::Prefill;
    CHECK(prefillEngines >= 1);
}

// Guards against ignoring the demand of members without a current report, and against counting it for the wrong zones.
TEST_CASE("the group's demand covers members without a report and is split by engines")
{
    Configuration configuration;
    for (const auto& [id, zone, region] : { std::tuple("e1", "a", "r"), std::tuple("e2", "b", "r"), std::tuple("e3", "b", "r"), std::tuple("e4", "c", "s") }) {
        EngineSpec engine { EngineId(id), "", AvailabilityZone(zone), Region(region), ModelId("m1") };
        configuration.engines[id] = engine;
    }
    std::vector<MemberRecord> members;
    for (const auto* id : { "d1", "d2", "d3" })
        members.push_back({ DaemonId(id), 1, 1, MemberState::Ready, AvailabilityZone("a"), Region("r") });
    members.push_back({ DaemonId("d4"), 1, 1, MemberState::Leaving, AvailabilityZone("a"), Region("r") });
    DemandMeter meter(DaemonId("d1"));
    auto now = TimePoint(100s);
    meter.merge(DaemonId("d2"), nlohmann::json::parse(R"([["m1",1200,600]])"), now);
    CHECK(meter.groupDemand(EngineGroupId("b/m1"), configuration, members, now).prefillTokensPerSecond == doctest::Approx(1200));
    CHECK(meter.groupDemand(EngineGroupId("a/m1"), configuration, members, now).decodeTokensPerSecond == doctest::Approx(300));
    CHECK(meter.groupDemand(EngineGroupId("c/m1"), configuration, members, now) == ModelDemand {});
    CHECK(meter.groupDemand(EngineGroupId("b/m1"), configuration, members, now + 11s) == ModelDemand {});
    CHECK_THROWS_AS(meter.merge(DaemonId("d2"), "nonsense", now), nlohmann::json::exception);
}
