#pragma once

#include "base/time/TimePoint.h"
#include "bench/engine/FakeEngine.h"

#include <string>

namespace chestnut::bench {

/** One kind of request. Token counts are drawn between the limits; arrivals are independent, except within a group. */
struct WorkKind {
    PriorityClass priorityClass = PriorityClass::Live;
    double perSecond = 1; /**< mean arrival rate */
    uint32_t groupSize = 1; /**< requests that arrive together */
    uint32_t promptLow = 100;
    uint32_t promptHigh = 1000;
    uint32_t outputLow = 1;
    uint32_t outputHigh = 100;
    uint32_t outputLimit = 256;
    uint32_t sharedPrefixes = 0; /**< distinct shared prefixes; 0 means that nothing is shared */
    uint32_t prefixBlocks = 0; /**< length of each shared prefix */
    double stragglerShare = 0; /**< share of the requests whose output is many times longer than expected */
    uint32_t stragglerOutput = 0;
    Duration timeout = std::chrono::seconds(30);
};

/** A deployment of section 1.3 of the design page. */
struct Deployment {
    std::string name;
    uint32_t zones = 3;
    uint32_t engines = 14;
    uint32_t daemons = 6;
    Duration zoneDelay {}; /**< one-way delay between zones */
    Duration clientDelay = std::chrono::milliseconds(3);
    EngineProfile engine;
    WorkKind live;
    WorkKind batch;
    uint32_t accounts = 40;
};

Deployment tannerRuddock();
Deployment saranrat();
/** Tanner's workload, scaled to a fleet near the size targeted in two years: one model, 130 replicas behind 48 daemons. */
Deployment largeFleet();

} // namespace chestnut::bench
