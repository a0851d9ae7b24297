#include "bench/services/ServiceRun.h"

#include "decisions/ejection/Ejection.h"
#include "decisions/hedging/Hedging.h"
#include "decisions/quarantine/RequestQuarantine.h"
#include "decisions/retries/Retries.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

namespace chestnut::bench {

using namespace std::chrono_literals;

namespace {

    constexpr uint32_t daemonCount = 6;
    constexpr uint32_t slotsPerServer = 16;
    constexpr double callsPerSecond = 150;
    constexpr double serviceSeconds = 0.02;
    constexpr double idempotentShare = 0.7;
    constexpr double slowFactor = 10;
    constexpr double outageRefusalShare = 0.5;
    constexpr Duration runDuration = 120s;
    constexpr Duration callTimeout = 5s;
    constexpr Duration networkDelay = 1ms;
    constexpr Duration crashPeriod = 10s;
    constexpr Duration restartTime = 3s;
    constexpr Duration refreshPeriod = 1s;
    constexpr Duration callerRetryPeriod = 2s;
    constexpr TimePoint firstPoisonCallTime { 30s };
    constexpr uint32_t poisonCallCount = 20;

    struct Call {
        uint32_t daemon = 0;
        TimePoint arrival;
        Digest content;
        bool isIdempotent = false;
        bool isPoison = false;
        bool isDone = false;
        uint32_t attempts = 0;
        uint32_t lost = 0;
        std::vector<uint32_t> running; /**< servers with an attempt in flight */
        uint32_t started = 0; /**< attempts that a server began to run */
    };

    struct Server {
        std::deque<size_t> waiting;
        std::vector<size_t> running;
        double slowdown = 1;
        bool isDown = false;
        uint32_t incarnation = 0;
    };

    struct DaemonState {
        std::vector<ReplicaView> views;
        LatencyGroup latencies;
        LatencyQuantiles quantiles;
        HedgeBudget hedges;
        RetryBudget retries;
        RandomGenerator random;
        uint32_t nextServer = 0;
    };

    class ServiceRun {
    public:
        ServiceRun(ServiceFigures& figures, const ServiceScenario& scenario, const ServiceOptions& options)
            : m_figures(figures)
            , m_scenario(scenario)
            , m_options(options)
            , m_servers(scenario.servers)
            , m_arrivalRandom(scenario.seed)
            , m_serviceRandom(scenario.seed + 1)
        {
            for (uint32_t index = 0; index < daemonCount; index++)
                m_daemons.push_back(makeDaemon(index));
        }

        void run()
        {
            m_clock.after(fromSeconds(exponential(m_arrivalRandom, 1 / callsPerSecond)), [this] { generateCall(); });
            m_clock.after(refreshPeriod, [this] { refreshHealth(); });
            if (m_scenario.hasSlowdowns)
                slowNextServer(0);
            if (m_scenario.hasCrashes)
                m_clock.after(crashPeriod, [this] { crashNextServer(0); });
            if (m_scenario.hasPoison)
                m_clock.at(firstPoisonCallTime, [this] { sendPoison(poisonCallCount); });
            while (m_clock.now() < TimePoint(runDuration + callTimeout) && m_clock.runNext()) { }
            for (const auto& call : m_calls) {
                m_figures.calls += call.isPoison ? 0 : 1;
                m_figures.done += call.isDone && !call.isPoison ? 1 : 0;
                m_figures.ranTwice += !call.isIdempotent && call.started > 1 ? 1 : 0;
            }
        }

    private:
        static double uniform(RandomGenerator& random) { return static_cast<double>(random() >> 11) / 9007199254740992.0; }
        static double exponential(RandomGenerator& random, double mean) { return -mean * std::log(1 - uniform(random)); }

        DaemonState makeDaemon(uint32_t index) const
        {
            DaemonState daemon;
            daemon.random.seed(m_scenario.seed * 100 + index);
            daemon.nextServer = index;
            for (uint32_t server = 0; server < m_scenario.servers; server++) {
                ReplicaView view;
                view.id = ReplicaId("server" + std::to_string(server));
                view.slots = slotsPerServer;
                view.rates = { 1, 1 / serviceSeconds };
                view.networkDelay = networkDelay;
                daemon.latencies.replicas[view.id] = {};
                daemon.views.push_back(view);
            }
            return daemon;
        }

        void generateCall()
        {
            if (m_clock.now() >= TimePoint(runDuration))
                return;
            Call call;
            call.daemon = static_cast<uint32_t>(m_arrivalRandom() % daemonCount);
            call.isIdempotent = uniform(m_arrivalRandom) < idempotentShare;
            call.content = { 1, m_calls.size() };
            startCall(call);
            m_clock.after(fromSeconds(exponential(m_arrivalRandom, 1 / callsPerSecond)), [this] { generateCall(); });
        }

        void sendPoison(uint32_t remaining)
        {
            Call call;
            call.daemon = remaining % daemonCount;
            call.isIdempotent = true;
            call.isPoison = true;
            call.content = { 2, 0 };
            startCall(call);
            if (remaining > 1)
                m_clock.after(callerRetryPeriod, [this, remaining] { sendPoison(remaining - 1); });
        }

        void startCall(Call call)
        {
            call.arrival = m_clock.now();
            m_calls.push_back(std::move(call));
            auto& daemon = m_daemons[m_calls.back().daemon];
            daemon.hedges.requests += 1;
            daemon.retries = withRequest(daemon.retries);
            startAttempt(m_calls.size() - 1, {}, false);
        }

        std::optional<uint32_t> choose(DaemonState& daemon, std::vector<ReplicaId> excluded)
        {
            if (m_options.isRoundRobin)
                return daemon.nextServer++ % m_scenario.servers;
            RouteRequest request;
            request.work = { 0, 1 };
            request.excluded = excluded;
            auto route = chooseReplica(request, daemon.views, m_clock.now(), daemon.random);
            if (!route.chosen)
                return std::nullopt;
            return static_cast<uint32_t>(route.chosen->index);
        }

        void startAttempt(size_t id, std::vector<ReplicaId> excluded, bool isHedge)
        {
            auto& call = m_calls[id];
            auto& daemon = m_daemons[call.daemon];
            if (call.isDone || m_clock.now() - call.arrival > callTimeout)
                return;
            if (m_options.quarantine && isQuarantined(m_quarantine, call.content, m_clock.now()))
                return;
            auto server = choose(daemon, std::move(excluded));
            if (!server)
                return;
            call.attempts++;
            m_figures.attempts++;
            call.running.push_back(*server);
            daemon.views[*server].own.liveRequests++;
            m_clock.after(networkDelay, [this, id, server = *server] { submit(id, server); });
            if (!isHedge)
                scheduleHedge(id, *server);
        }

        void scheduleHedge(size_t id, uint32_t server)
        {
            auto& call = m_calls[id];
            auto& daemon = m_daemons[call.daemon];
            HedgeQuery query { call.isIdempotent || m_options.hedgesAll, false, PriorityClass::Live, fromSeconds(serviceSeconds) + 2 * networkDelay };
            query.attempts = call.attempts;
            if (!m_options.hedging || m_options.isRoundRobin)
                return;
            auto delay = hedgeDelay(query, daemon.quantiles, daemon.hedges);
            if (!delay)
                return;
            m_clock.after(*delay, [this, id, server] {
                auto& late = m_calls[id];
                if (late.isDone || late.running.size() != 1)
                    return;
                m_daemons[late.daemon].hedges.hedges += 1;
                startAttempt(id, { m_daemons[late.daemon].views[server].id }, true);
            });
        }

        void submit(size_t id, uint32_t server)
        {
            auto& target = m_servers[server];
            auto inOutage = m_scenario.hasOutage && m_clock.now() >= TimePoint(40s) && m_clock.now() < TimePoint(70s);
            if (target.isDown)
                return handleFailure(id, server, ErrorKind::ConnectFailed);
            if (inOutage && uniform(m_serviceRandom) < outageRefusalShare)
                return handleFailure(id, server, ErrorKind::Overloaded);
            target.waiting.push_back(id);
            startWaiting(server);
        }

        void startWaiting(uint32_t server)
        {
            auto& target = m_servers[server];
            while (!target.waiting.empty() && target.running.size() < slotsPerServer) {
                auto id = target.waiting.front();
                target.waiting.pop_front();
                if (m_calls[id].isDone) {
                    release(id, server);
                    continue;
                }
                m_calls[id].started++;
                target.running.push_back(id);
                auto time = fromSeconds(serviceSeconds * (0.5 + uniform(m_serviceRandom)) * target.slowdown);
                m_clock.after(time, [this, id, server, incarnation = target.incarnation] { finish(id, server, incarnation); });
            }
        }

        void finish(size_t id, uint32_t server, uint32_t incarnation)
        {
            auto& target = m_servers[server];
            if (target.incarnation != incarnation)
                return;
            if (m_calls[id].isPoison)
                return crash(server);
            std::erase(target.running, id);
            startWaiting(server);
            m_clock.after(networkDelay, [this, id, server] { receiveResponse(id, server); });
        }

        void receiveResponse(size_t id, uint32_t server)
        {
            auto& call = m_calls[id];
            auto& daemon = m_daemons[call.daemon];
            release(id, server);
            recordCompletion(m_quarantine, call.content);
            auto latency = toSeconds(m_clock.now() - call.arrival);
            auto ratio = latency / (serviceSeconds + 2 * toSeconds(networkDelay));
            recordResponse(daemon.latencies, daemon.views[server].id, ratio, m_clock.now());
            if (call.isDone)
                return;
            addSample(daemon.quantiles, ratio);
            call.isDone = latency <= toSeconds(callTimeout);
            m_figures.latencies.push_back(1000 * latency);
        }

        void release(size_t id, uint32_t server)
        {
            auto& call = m_calls[id];
            if (auto entry = std::ranges::find(call.running, server); entry != call.running.end()) {
                call.running.erase(entry);
                m_daemons[call.daemon].views[server].own.liveRequests--;
            }
        }

        void handleFailure(size_t id, uint32_t server, ErrorKind kind)
        {
            auto& call = m_calls[id];
            auto& daemon = m_daemons[call.daemon];
            release(id, server);
            if (kind != ErrorKind::Overloaded)
                recordFailure(daemon.latencies, daemon.views[server].id, m_clock.now());
            call.lost += kind == ErrorKind::OutcomeUnknown ? 1 : 0;
            if (call.isDone || !call.running.empty() || !m_options.retries || m_options.isRoundRobin)
                return;
            RetryQuery query { kind, call.isIdempotent, call.attempts, call.lost, call.arrival + callTimeout, fromSeconds(serviceSeconds) };
            auto budget = m_options.retryBudget ? daemon.retries : RetryBudget {};
            auto decision = decideRetry(query, budget, m_clock.now(), daemon.random);
            if (!decision.retry)
                return;
            daemon.retries = decision.budget;
            m_clock.after(decision.delay, [this, id, excluded = daemon.views[server].id] { startAttempt(id, { excluded }, false); });
        }

        void crash(uint32_t server)
        {
            auto& target = m_servers[server];
            if (target.isDown)
                return;
            m_figures.lostServers++;
            target.isDown = true;
            target.incarnation++;
            auto running = std::exchange(target.running, {});
            auto waiting = std::exchange(target.waiting, {});
            std::vector<Digest> contents;
            contents.reserve(running.size());
            for (auto id : running)
                contents.push_back(m_calls[id].content);
            recordLoss(m_quarantine, ReplicaId("server" + std::to_string(server)), contents, m_clock.now());
            for (auto id : running)
                handleFailure(id, server, ErrorKind::OutcomeUnknown);
            for (auto id : waiting)
                handleFailure(id, server, ErrorKind::OutcomeUnknown);
            m_clock.after(restartTime, [this, server] { m_servers[server].isDown = false; });
        }

        void crashNextServer(uint32_t turn)
        {
            crash(turn % m_scenario.servers);
            m_clock.after(crashPeriod, [this, turn] { crashNextServer(turn + 1); });
        }

        void slowNextServer(uint32_t turn)
        {
            for (uint32_t index = 0; index < m_scenario.servers; index++)
                m_servers[index].slowdown = index == turn % m_scenario.servers ? slowFactor : 1;
            m_clock.after(20s, [this, turn] { slowNextServer(turn + 1); });
        }

        void refreshHealth()
        {
            for (auto& daemon : m_daemons) {
                if (m_options.ejection)
                    updateHealth(daemon.latencies, m_clock.now());
                for (uint32_t server = 0; server < m_scenario.servers; server++) {
                    auto& view = daemon.views[server];
                    view.health = daemon.latencies.replicas[view.id].health;
                    view.report.measuredAt = m_clock.now();
                }
            }
            m_clock.after(refreshPeriod, [this] { refreshHealth(); });
        }

        ServiceFigures& m_figures;
        ServiceScenario m_scenario;
        ServiceOptions m_options;
        VirtualClock m_clock;
        std::vector<Server> m_servers;
        std::vector<DaemonState> m_daemons;
        std::deque<Call> m_calls; // a deque keeps references valid while calls are added
        QuarantineTable m_quarantine; // shared by all daemons, as heartbeats distribute its entries within seconds
        RandomGenerator m_arrivalRandom;
        RandomGenerator m_serviceRandom;
    };

} // namespace

void runService(ServiceFigures& figures, const ServiceScenario& scenario, const ServiceOptions& options)
{
    ServiceRun(figures, scenario, options).run();
}

} // namespace chestnut::bench
