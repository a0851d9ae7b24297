#include "review/standins/Clients.h"
#include "review/standins/PlainReplica.h"

/* A replica's entry is removed while the open channels to the store are silent. Counts the requests that reach the replica after
   its drain time. */

namespace {

using namespace chestnut;
using namespace chestnut::review;
using namespace std::chrono_literals;

constexpr int replicaCount = 4;
constexpr uint32_t requestsPerSecond = 100;
/** Traffic starts this long after the machines. */
constexpr Duration leadTime = 10s;
constexpr Duration calmTime = 4s;
constexpr Duration timeFromSilenceToRemoval = 500ms;
/** The replica serves for its drain time and some seconds longer, as some do. */
constexpr Duration serviceAfterRemoval = 3500ms;
constexpr Duration endTime = 2s;

struct Counts {
    uint32_t beforeRemoval = 0; /**< requests that reached the replica */
    uint32_t late = 0; /**< requests that broke the rule */
};

class RemovedReplicaScenario {
public:
    explicit RemovedReplicaScenario(const RunOptions& options)
        : m_hasTrouble(options.hasTrouble)
        , m_fleet(options)
        , m_clients(m_fleet)
    {
    }

    ReviewFleet& fleet() { return m_fleet; }

    asio::awaitable<Verdict> run()
    {
        for (int i = 0; i < replicaCount; ++i) {
            m_replicas.push_back(std::make_unique<PlainReplica>(m_fleet, "zone-" + std::to_string(i % 3)));
            m_replicas.back()->start();
        }
        if (!co_await m_fleet.start())
            co_return Verdict::NotRun;
        m_replicas.front()->onArrival = [this](const PlainReplica::Arrival& arrival) { check(arrival); };
        co_await m_fleet.timers.sleep(leadTime);
        m_clients.start(requestsPerSecond);
        co_await m_fleet.timers.sleep(calmTime);
        if (m_hasTrouble)
            silenceStoreChannels();
        co_await m_fleet.timers.sleep(timeFromSilenceToRemoval);
        m_removedAt = m_fleet.timers.now();
        m_replicas.front()->removeEntry();
        co_await m_fleet.timers.sleep(serviceAfterRemoval);
        m_replicas.front()->end();
        co_await m_fleet.timers.sleep(endTime);
        m_clients.stop();
        co_return judge();
    }

private:
    void silenceStoreChannels()
    {
        m_silentAt = m_fleet.timers.now();
        m_fleet.record.write("the open channels of all daemons to the store go silent; new ones work");
        for (auto& daemon : m_fleet.daemons)
            daemon->storeLink->stallOpenConnections();
    }

    /** A daemon is in touch from the stable time after the reset of its channels on. */
    void check(const PlainReplica::Arrival& arrival)
    {
        if (!m_removedAt) {
            ++m_counts.beforeRemoval;
            return;
        }
        auto bound = std::max(*m_removedAt + ReviewFleet::drainTime, m_silentAt ? *m_silentAt + ReviewFleet::stableTime : TimePoint());
        if (m_clients.sentAt(arrival.request) <= bound)
            return;
        ++m_counts.late;
        auto since = std::chrono::duration_cast<std::chrono::milliseconds>(m_fleet.timers.now() - *m_removedAt);
        m_fleet.record.write("DRAIN: request " + arrival.request + " reaches the removed replica from " + arrival.daemon + " " + std::to_string(since.count()) + " ms after the confirmation");
    }

    Verdict judge()
    {
        auto& record = m_fleet.record;
        record.write("requests at the replica before the removal: " + std::to_string(m_counts.beforeRemoval) + "; after the bound: " + std::to_string(m_counts.late));
        record.write("requests sent: " + std::to_string(m_clients.sent()) + ", without an answer or a promise: " + std::to_string(m_clients.failed()));
        if (m_counts.beforeRemoval == 0)
            return Verdict::NotRun;
        return m_counts.late > 0 ? Verdict::Broken : Verdict::Held;
    }

    bool m_hasTrouble;
    ReviewFleet m_fleet;
    Clients m_clients;
    std::vector<std::unique_ptr<PlainReplica>> m_replicas;
    std::optional<TimePoint> m_silentAt;
    std::optional<TimePoint> m_removedAt;
    Counts m_counts;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    RemovedReplicaScenario scenario(parseOptions(argumentCount, arguments));
    runScenario(scenario.fleet(), scenario.run());
}
