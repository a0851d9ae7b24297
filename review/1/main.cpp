#include "review/standins/Clients.h"
#include "review/standins/PlainReplica.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

/* A request that crashes replicas comes again while the daemons are restarted one after the other. Counts the retries that reach
   replicas after the daemons have seen three crashes. */

namespace {

using namespace chestnut;
using namespace chestnut::review;
using namespace std::chrono_literals;

constexpr int replicaCount = 4;
constexpr uint32_t requestsPerSecond = 60;
/** Traffic starts this long after the machines. */
constexpr Duration leadTime = 10s;
constexpr Duration downTime = 2s; /**< of a crashed replica */
constexpr Duration callerPause = 500ms; /**< between two attempts of the caller */
constexpr Duration longestDetection = 20s; /**< of the crashing request, before the restarts */
constexpr Duration pauseBetweenRestarts = 1s;
constexpr uint32_t crashesToDetect = 3;
constexpr size_t allowedRetries = 3;
constexpr const char* crashingPath = "/book/crash";
constexpr const char* crashingBody = "booking that crashes replicas";

class CrashingRequestScenario {
public:
    explicit CrashingRequestScenario(const RunOptions& options)
        : m_hasTrouble(options.hasTrouble)
        , m_fleet(options)
        , m_clients(m_fleet)
    {
    }

    ReviewFleet& fleet() { return m_fleet; }

    asio::awaitable<Verdict> run()
    {
        addReplicas();
        if (!co_await m_fleet.start())
            co_return Verdict::NotRun;
        co_await m_fleet.timers.sleep(leadTime);
        m_clients.start(requestsPerSecond);
        asio::co_spawn(m_fleet.context, repeatCrashingRequest(), asio::detached);
        auto end = m_fleet.timers.now() + longestDetection;
        while (m_crashes < crashesToDetect && m_fleet.timers.now() < end)
            co_await m_fleet.timers.sleep(callerPause);
        if (m_crashes < crashesToDetect)
            co_return Verdict::NotRun;
        co_await m_fleet.timers.sleep(ReviewFleet::stableTime);
        m_failedBefore = m_clients.failed();
        co_await restartInTurn();
        co_await m_fleet.timers.sleep(ReviewFleet::stableTime * 2);
        m_isOver = true;
        m_clients.stop();
        co_return judge();
    }

private:
    void addReplicas()
    {
        for (int i = 0; i < replicaCount; ++i) {
            auto replica = std::make_unique<PlainReplica>(m_fleet, "zone-" + std::to_string(i % 3));
            replica->onArrival = [this](const PlainReplica::Arrival& arrival) { check(arrival); };
            replica->crashesOn = [](const PlainReplica::Arrival& arrival) { return arrival.body == crashingBody; };
            replica->onCrash = [this, crashed = replica.get()] { onCrash(*crashed); };
            replica->start();
            m_replicas.push_back(std::move(replica));
        }
    }

    void onCrash(PlainReplica& replica)
    {
        ++m_crashes;
        if (m_crashes == crashesToDetect)
            m_detectableAt = m_fleet.timers.now();
        asio::co_spawn(m_fleet.context, startAgain(replica), asio::detached);
    }

    asio::awaitable<void> startAgain(PlainReplica& replica)
    {
        co_await m_fleet.timers.sleep(downTime);
        replica.start();
    }

    /** The caller sends the request again at any machine that discovery offers, with a new id for each attempt. */
    asio::awaitable<void> repeatCrashingRequest()
    {
        for (size_t attempt = 0; !m_isOver; ++attempt) {
            auto& daemon = *m_fleet.daemons[attempt % m_fleet.daemons.size()];
            if (daemon.isStopping || !daemon.process->isRunning())
                continue;
            co_await m_clients.call({ crashingPath, crashingBody, &daemon });
            co_await m_fleet.timers.sleep(callerPause);
        }
    }

    /** The operator's rolling restart: planned work. */
    asio::awaitable<void> restartInTurn()
    {
        for (auto& daemon : m_fleet.daemons) {
            if (m_hasTrouble)
                co_await m_fleet.restart(*daemon);
            co_await m_fleet.timers.sleep(ReviewFleet::stableTime + pauseBetweenRestarts);
        }
    }

    void check(const PlainReplica::Arrival& arrival)
    {
        if (arrival.body != crashingBody)
            return;
        auto* daemon = m_fleet.find(arrival.daemon);
        auto isCounted = m_detectableAt && m_fleet.timers.now() > *m_detectableAt + ReviewFleet::stableTime && daemon && m_fleet.isInTouch(*daemon);
        if (isCounted)
            m_lateRetries.insert(arrival.request);
        m_fleet.record.write("crashing request " + arrival.request + " reaches a replica from " + arrival.daemon + (isCounted ? ", BUDGET: retry " + std::to_string(m_lateRetries.size()) + " after the bound" : ", not counted"));
    }

    Verdict judge()
    {
        auto& record = m_fleet.record;
        record.write("crashes of replicas: " + std::to_string(m_crashes) + "; retries after the bound by daemons in touch: " + std::to_string(m_lateRetries.size()) + ", allowed: " + std::to_string(allowedRetries));
        record.write("requests sent: " + std::to_string(m_clients.sent()) + ", without an answer or a promise: " + std::to_string(m_clients.failed()) + ", of these after the restarts began: " + std::to_string(m_clients.failed() - m_failedBefore));
        return m_lateRetries.size() > allowedRetries ? Verdict::Broken : Verdict::Held;
    }

    bool m_hasTrouble;
    ReviewFleet m_fleet;
    Clients m_clients;
    std::vector<std::unique_ptr<PlainReplica>> m_replicas;
    std::optional<TimePoint> m_detectableAt; /**< when the third replica crashed */
    uint32_t m_crashes = 0;
    std::set<std::string> m_lateRetries; /**< attempts of the caller that reached a replica after the bound */
    uint32_t m_failedBefore = 0;
    bool m_isOver = false;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    CrashingRequestScenario scenario(parseOptions(argumentCount, arguments));
    runScenario(scenario.fleet(), scenario.run());
}
