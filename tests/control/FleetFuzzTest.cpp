#include "control/FleetFixture.h"

#include <array>
#include <random>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr int engineCount = 5;
constexpr int daemonCount = 4;

enum class Faults : uint8_t {
    Basic,
    WithPartitions, /**< also daemons partitioned from their peers, and engines that do not respond */
};

/** Applies random faults and tickets to a small fleet. The accepted configuration is the expected final state. */
class FleetFuzz {
public:
    FleetFuzz(uint32_t seed, Faults faults)
        : m_random(seed)
        , m_faults(faults)
        , m_fleet(engineCount)
    {
        for (int i = 1; i <= daemonCount; ++i)
            m_fleet.addDaemon("d" + std::to_string(i));
        for (int i = 1; i <= engineCount; ++i)
            m_fleet.engineAt(i).checksFencing = i % 2 == 0;
        m_fleet.timers.advance(20s);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            applyRandomStep();
            m_fleet.timers.advance(std::chrono::milliseconds(pick(100, 4000)));
        }
    }

    void removeFaults()
    {
        m_fleet.store.isDown = false;
        m_fleet.store.latency = Duration::zero();
        m_fleet.network.partitioned.clear();
        for (auto& [id, record] : m_fleet.network.records)
            record.state = MemberState::Ready;
        for (auto& [address, engine] : m_fleet.engines.engines) {
            engine.isDown = false;
            engine.running = 0;
        }
        m_fleet.timers.advance(400s);
    }

    void check()
    {
        auto current = m_fleet.daemons[0]->configuration.current();
        for (const auto& daemon : m_fleet.daemons)
            CHECK(daemon->configuration.current()->revision == current->revision);
        for (int i = 1; i <= engineCount; ++i) {
            const auto& spec = current->engines.at("e" + std::to_string(i));
            const auto& engine = m_fleet.engineAt(i);
            CHECK(engine.state.role == spec.role);
            CHECK(engine.state.model == spec.model);
            CHECK(engine.state.version == current->models.at(spec.model.value()).version);
            CHECK(engine.conflicts == 0);
            for (const auto& daemon : m_fleet.daemons)
                CHECK(daemon->fleet.acceptsNewWork(ReplicaId(spec.id.value())));
        }
    }

    void checkUninterrupted()
    {
        for (int i = 1; i <= engineCount; ++i)
            CHECK(m_fleet.engineAt(i).interrupted == 0);
    }

private:
    int pick(int lowest, int highest) { return std::uniform_int_distribution<int>(lowest, highest)(m_random); }
    FakeEngine& anyEngine() { return m_fleet.engineAt(pick(1, engineCount)); }
    ControlDaemon& anyDaemon() { return *m_fleet.daemons[static_cast<size_t>(pick(0, daemonCount - 1))]; }

    void submit(const nlohmann::json& ticket)
    {
        asio::co_spawn(m_fleet.context, m_fleet.tickets.submit(ticket.dump()), [](std::exception_ptr, const Result<TicketReceipt>&) {});
    }

    void submitEngine()
    {
        constexpr std::array<const char*, 3> roles { "mixed", "prefill", "decode" };
        auto i = pick(1, engineCount);
        auto engine = FleetFixture::engine(i, roles[static_cast<size_t>(pick(0, 2))], pick(0, 2) == 0 ? "m2" : "m1");
        submit({ { "number", ++m_ticket }, { "engines", { { "e" + std::to_string(i), engine } } } });
    }

    /** Starts a request at an engine to which a daemon may send new work, or ends the running one. */
    void startOrEndRequest()
    {
        auto i = pick(1, engineCount);
        auto& engine = m_fleet.engineAt(i);
        bool isAccepted = anyDaemon().fleet.acceptsNewWork(ReplicaId("e" + std::to_string(i)));
        if (isAccepted && !engine.isDown && !engine.target)
            engine.running = 1;
        else
            engine.running = 0;
    }

    void togglePartition(const DaemonId& daemon)
    {
        if (m_fleet.network.partitioned.erase(daemon) == 0)
            m_fleet.network.partitioned.insert(daemon);
    }

    void applyRandomStep()
    {
        constexpr int firstPartitionFault = 11;
        auto fault = pick(0, m_faults == Faults::Basic ? 16 : 18);
        if (m_faults == Faults::Basic && fault >= firstPartitionFault) {
            startOrEndRequest();
            return;
        }
        switch (fault) {
        case 0:
        case 1:
            submitEngine();
            break;
        case 2:
            submit({ { "number", ++m_ticket }, { "models", { { "m1", { { "version", "v" + std::to_string(m_ticket) } } } } } });
            break;
        case 3:
            m_fleet.store.isDown = pick(0, 2) == 0;
            break;
        case 4:
            m_fleet.store.lostResponses = pick(0, 2);
            break;
        case 5:
            anyEngine().crashesInChange = pick(0, 1);
            break;
        case 6:
            anyEngine().lostResponses = pick(0, 1);
            break;
        case 7:
            anyEngine().orderDelay = std::chrono::milliseconds(pick(0, 2900));
            break;
        case 8:
            asio::co_spawn(m_fleet.context, m_fleet.store.destroySession(anyDaemon().leases.session()), asio::detached);
            break;
        case 9:
            m_fleet.network.records[anyDaemon().peers.self()].state = pick(0, 1) ? MemberState::Suspected : MemberState::Ready;
            break;
        case 10:
            m_fleet.store.latency = std::chrono::milliseconds(pick(0, 3) == 0 ? pick(0, 2500) : 2);
            break;
        case firstPartitionFault:
            togglePartition(anyDaemon().peers.self());
            break;
        case firstPartitionFault + 1:
            anyEngine().isDown = pick(0, 2) == 0;
            break;
        default:
            startOrEndRequest();
            break;
        }
    }

    std::mt19937 m_random;
    Faults m_faults;
    FleetFixture m_fleet;
    int m_ticket = 1;
};

/** Seed of a partition in which a request is interrupted; see KNOWN-RED.txt. */
constexpr uint32_t knownRedSeed = 24;

} // namespace

// Guards against conflicting orders (H1), interrupted requests (H2) and an accepted configuration that is never reached
// (H9) under faults in any order. Orders take up to 2.9 s, within the order timeout; some engines check fencing.
TEST_CASE("random tickets and faults never lead to conflicting orders and converge to the accepted state")
{
    // These seeds found a lease that a session kept locked after a lost response, with no daemon acting as its holder.
    std::vector<uint32_t> seeds { 108, 294, 355, 529, 537, 653, 695, 794, 1124, 1222 };
    for (uint32_t seed = 1; seed <= 40; ++seed)
        seeds.push_back(seed);
    for (auto seed : seeds) {
        INFO("seed " << seed);
        FleetFuzz fuzz(seed, Faults::Basic);
        fuzz.run(120);
        fuzz.removeFaults();
        fuzz.check();
        fuzz.checkUninterrupted();
    }
}

// Guards against the same failures when daemons cannot reach each other or engines do not respond.
TEST_CASE("random partitions and unresponsive engines never lead to conflicting orders and converge to the accepted state")
{
    for (uint32_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        FleetFuzz fuzz(seed, Faults::WithPartitions);
        fuzz.run(120);
        fuzz.removeFaults();
        fuzz.check();
        if (seed != knownRedSeed)
            fuzz.checkUninterrupted();
    }
}

// Guards against interrupting requests (H2) of a daemon that its peers cannot reach. See KNOWN-RED.txt.
TEST_CASE("a daemon that is cut off from its peers has no request interrupted by a role change")
{
    FleetFuzz fuzz(knownRedSeed, Faults::WithPartitions);
    fuzz.run(120);
    fuzz.checkUninterrupted();
}
