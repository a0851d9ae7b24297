#pragma once

#include "decisions/placement/PromptPlacement.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chestnut {

/** One kind of requests to simulated decode engines; times in milliseconds. */
struct DecodeKind {
    std::string name;
    uint32_t priority = 0;
    double perSecond = 0;
    double occupancy = 0; /**< mean time in a slot */
    double objective = 0; /**< to the first event */
    double timeout = 0;
    double burstLength = 0; /**< zero: arrivals are spread evenly */
    double burstPeriod = 0;
};

/** What the callers of one kind got. */
struct DecodeOutcome {
    size_t requests = 0;
    size_t onTime = 0;
    size_t late = 0;
    size_t refusedAtOnce = 0; /**< without a call to an engine */
    size_t refusedAfterCalls = 0; /**< for generations with a prefill, after the prompt was read */
    size_t calls = 0; /**< to engines */
    size_t waits = 0; /**< of requests in the daemon */

    double share(size_t part) const { return requests == 0 ? 0 : static_cast<double>(part) / static_cast<double>(requests); }
    size_t served() const { return onTime + late; }
};

struct DecodeFleet {
    size_t engines = 12;
    uint32_t slots = 6;
    uint32_t queueLimit = 6; /**< an engine refuses more requests than its slots and these */
    size_t daemons = 60;
    double viewPeriod = 150; /**< milliseconds between two updates of a daemon's view of the work of the others */
    double length = 20'000;
    bool preempts = false; /**< a more urgent request takes the slot of the least urgent one, which is queued again */
};

/** What a daemon does with a request now. */
struct DecodeStep {
    enum class Action : uint8_t {
        Call,
        Wait,
        Refuse,
    };
    Action action = Action::Refuse;
    size_t engine = 0;
};

/** The situation in which a daemon decides. */
struct DecodeSituation {
    const DecodeKind& kind;
    std::vector<PlacementView> views;
    size_t calls = 0; /**< made for the request */
    double waitingAhead = 0; /**< in all daemons, not less urgent */
    uint64_t choice = 0;
    bool hasWaited = false;
    double waited = 0; /**< since its arrival, in milliseconds */
    double now = 0;
    size_t daemon = 0;
};

/** A rule to be compared: the decision, and the position of a request at the engines. */
struct DecodeRule {
    std::function<DecodeStep(const DecodeSituation&)> decide;
    std::function<EnginePosition(const DecodeKind&)> orderOf;
    ServicePriorities priorities;
    bool sharesRefusals = false; /**< the load at refusals is known to all daemons */
};

/** Simulates decode engines that admit requests by their position, and daemons whose views of each other's work are old. */
class DecodeSimulation {
public:
    DecodeSimulation(DecodeFleet, std::vector<DecodeKind>, DecodeRule, uint32_t seed = 5);

    std::map<std::string, DecodeOutcome> run();

private:
    struct Request {
        size_t kind = 0;
        size_t daemon = 0;
        double arrival = 0;
        double occupancy = 0;
        uint64_t number = 0;
        size_t calls = 0;
        bool hasWaited = false;
        std::vector<size_t> refusedBy;
    };
    struct Job {
        Request request;
        EnginePosition order = 0;
        double end = 0;
        bool hasStarted = false;
    };
    struct Engine {
        std::vector<Job> running;
        std::vector<Job> queue;
    };
    struct Refusal {
        uint32_t requests = 0;
        double until = -1;
    };

    void arrive();
    void advanceEngines();
    void refreshViews();
    void serve(Request);
    void recordRefusal(Refusal&, uint32_t requests) const;
    bool call(Request&, size_t engine);
    void startQueued(Engine&);
    void preempt(Engine&);
    void start(Engine&, Job);
    void record(const Request&, double startedAt);
    std::vector<PlacementView> viewsOf(const Request&) const;
    double waitingAhead(const Request&) const;
    OrderedRequests decodesAt(size_t engine) const;

    DecodeFleet m_fleet;
    std::vector<DecodeKind> m_kinds;
    DecodeRule m_rule;
    std::mt19937 m_arrivals; /**< the same for all rules */
    double m_now = 0;
    std::vector<Engine> m_engines;
    std::vector<std::vector<OrderedRequests>> m_known; /**< of each daemon: at its last update, plus what it has sent since */
    std::vector<std::vector<Refusal>> m_refusals; /**< of each daemon, or of all */
    std::vector<Request> m_waiting;
    uint64_t m_requests = 0;
    std::map<std::string, DecodeOutcome> m_outcomes;
};

} // namespace chestnut
