#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <array>
#include <span>
#include <vector>

namespace chestnut {

/** Bands of the load at the start of a call: the requests in flight at the replica, including this one, as a share of its slots. */
constexpr size_t loadBands = 5;
/** Upper ends of the bands. The last band has none; its calls began at a replica whose slots were all occupied. */
constexpr std::array<double, loadBands - 1> loadBandEnds { 0.4, 0.6, 0.8, 1 };

/** Sums over the calls of one load band. */
struct LoadBandSums {
    double count = 0;
    double timeRatios = 0; /**< observed time over the expected time of the service */

    bool operator==(const LoadBandSums&) const = default;
};

/** Sums over the calls of one replica. Those of several daemons may be added, and age by being multiplied. */
struct CapacitySamples {
    ReplicaId replica;
    std::array<LoadBandSums, loadBands> bands;
    double squaredRatios = 0; /**< of the calls of all bands */
    double errors = 0; /**< responses that were an error of the replica's own; they are in no band */

    bool operator==(const CapacitySamples&) const = default;
};

/** What one replica handles well. The default is what is assumed without samples. */
struct ReplicaCapacity {
    double limitShare = 1; /**< share of its slots up to which further requests add throughput */
    double speed = 1; /**< at low load, relative to the median of its group */
    double errorShare = 0; /**< of its responses, those that are an error of its own */
    double samples = 0; /**< weight of the evidence for the speed */

    bool operator==(const ReplicaCapacity&) const = default;
};

/** Bounds of the speed, which also bound the effect of false samples. */
constexpr double lowestSpeed = 0.25;
constexpr double highestSpeed = 4;

/** Adds a call. The ratio is limited, so that an outlier has a bounded effect. `weight` is below one for observations of which
    there are several in each call. */
void addSample(CapacitySamples&, double loadShare, double timeRatio, double weight = 1);

/** Adds a refusal. One of a replica with free slots counts as a slow call; one of a full replica says nothing new. */
void addRefusal(CapacitySamples&, double loadShare);

void addError(CapacitySamples&);

/** Multiplies all sums by a factor below one, so that old samples lose weight. */
void scale(CapacitySamples&, double factor);

/** Adds the sums of other daemons for the same replica. */
void add(CapacitySamples&, const CapacitySamples&);

/** Number of calls, without errors. */
double callsOf(const CapacitySamples&);

/** The sum of what several daemons report about one replica. A daemon that reports far more calls than the median counts as
    a few times the median, and no mean is further from the expected time than that of an outlier, so that a daemon with
    false sums has a bounded effect. */
CapacitySamples sumOfReports(std::span<const CapacitySamples> reports);

/** The capacities of the replicas of one group, which serve the same kind of calls, in the same order. For pools whose replicas differ in speed, and
    for replicas that become slow before all their slots are occupied. The time of a call is modelled as a curve over the load
    that the group shares, divided by the speed of the replica. A replica whose calls deviate from the curve at high load has
    a lower limit. Deviations within the statistical error count as none, so that equal replicas get exactly equal values, and
    values return to the defaults when the samples have aged. */
std::vector<ReplicaCapacity> estimateCapacities(std::span<const CapacitySamples> group);

} // namespace chestnut
