#pragma once

#include "decisions/capacity/CapacityPlacement.h"
#include "decisions/capacity/ReplicaCapacity.h"

#include <functional>
#include <random>
#include <vector>

namespace chestnut {

/** A replica of the simulated pool. Requests beyond its slots wait in order. */
struct SimulatedReplica {
    AvailabilityZone zone { "a" };
    uint32_t slots = 8;
    std::function<double(double seconds)> speed = [](double) { return 1; };
    double kneeShare = 1; /**< of the slots; with more requests in service the throughput does not increase */
    double kneePower = 1; /**< above one, the throughput decreases from there on */
};

struct SimulatedLoad {
    size_t daemons = 1;
    double requestsPerSecond = 10;
    double meanSeconds = 0.5; /**< of a request at speed 1 */
    bool isExponential = false; /**< durations; otherwise between half and one and a half of the mean */
    bool isTimePerToken = false; /**< samples are times in proportion to the work, as between the events of a stream */
    double seconds = 40;
    double warmUp = 15; /**< requests that arrive earlier do not count */
};

/** How the daemons choose. */
enum class SimulatedDecision : uint8_t {
    Present, /**< least occupied by the last known counts, with a slowdown that each daemon learns by itself */
    PowerOfTwo, /**< the less occupied of two replicas that are drawn in proportion to their learned capacity */
    Learned, /**< by learned capacity and free capacity */
};

struct SimulatedResult {
    std::vector<double> share; /**< of the requests, by replica */
    double meanSeconds = 0;
    double p50 = 0;
    double p99 = 0;
    double waitedShare = 0; /**< requests that found all slots of their replica occupied */
    double otherZoneShare = 0; /**< requests that left the zone of their daemon */
    std::vector<ReplicaCapacity> capacities; /**< at the end */

    /** Share of the first replicas in the requests. */
    double shareOfFirst(size_t count) const;
};

/** Simulates a fleet of daemons whose counts of each other's requests are 50 to 300 ms old, in steps of one millisecond. */
class CapacitySimulation {
public:
    CapacitySimulation(std::vector<SimulatedReplica>, SimulatedLoad, SimulatedDecision);

    SimulatedResult run();

    /** Reports that replace those of the fleet's daemon 0; called when reports are summed. */
    std::function<void(std::vector<CapacitySamples>&)> falsifyReports;

private:
    struct Request {
        size_t daemon = 0;
        double arrival = 0;
        double size = 0; /**< seconds at speed 1 */
        double work = 0; /**< seconds left at speed 1 */
        double loadShare = 0;
        bool counts = false;
    };
    struct Daemon {
        std::vector<uint32_t> own;
        std::vector<uint32_t> others; /**< as known */
        std::vector<uint32_t> nextOthers; /**< on their way */
        std::vector<double> slowdowns;
        std::vector<CapacitySamples> samples;
    };

    void exchangeCounts(int step);
    void exchangeSamples();
    void arrive(double now);
    void serve(double now);
    void complete(size_t replica, const Request&, double now);
    std::vector<PlacementView> viewsOf(const Daemon&) const;
    const AvailabilityZone& zoneOf(const Daemon&) const;
    size_t choose(const Daemon&, const std::vector<PlacementView>&);
    size_t chooseOfTwo(const std::vector<PlacementView>&);

    std::vector<SimulatedReplica> m_replicas;
    SimulatedLoad m_load;
    SimulatedDecision m_decision;
    std::mt19937_64 m_random { 7 };
    std::vector<Daemon> m_daemons;
    std::vector<std::vector<Request>> m_requests; /**< by replica, in order of arrival */
    std::vector<ReplicaCapacity> m_capacities;
    double m_expectedSeconds = 0;
    std::vector<double> m_times;
    std::vector<double> m_served;
    double m_waited = 0;
    double m_leftZone = 0;
};

/** Value below which this share of the items is. */
double quantileOf(std::vector<double> values, double share);

} // namespace chestnut
