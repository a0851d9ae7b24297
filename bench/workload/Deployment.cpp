#include "bench/workload/Deployment.h"

namespace chestnut::bench {

using namespace std::chrono_literals;

Deployment tannerRuddock()
{
    Deployment deployment;
    deployment.name = "tanner";
    deployment.zones = 3;
    deployment.engines = 14;
    deployment.zoneDelay = 1500us;
    // Short descriptions of luggage handles at the shop counter: short prompts, and a customer waits for the output.
    deployment.live = { .priorityClass = PriorityClass::Live, .perSecond = 16, .promptLow = 200, .promptHigh = 900, .outputLow = 60, .outputHigh = 180, .outputLimit = 256, .timeout = 30s };
    // Catalogue-matching checks: long prompts with a yes or no as output; a few requests generate up to the output limit.
    deployment.batch = { .priorityClass = PriorityClass::Batch, .perSecond = 3.5, .promptLow = 8000, .promptHigh = 26000, .outputLow = 1, .outputHigh = 8, .outputLimit = 2400, .sharedPrefixes = 60, .prefixBlocks = 2, .stragglerShare = 0.02, .stragglerOutput = 2400, .timeout = 120s };
    return deployment;
}

Deployment saranrat()
{
    Deployment deployment;
    deployment.name = "saranrat";
    deployment.zones = 4;
    deployment.engines = 12;
    deployment.zoneDelay = 500us;
    deployment.accounts = 24;
    // Live term lookups during client calls.
    deployment.live = { .priorityClass = PriorityClass::Live, .perSecond = 16, .promptLow = 200, .promptHigh = 1500, .outputLow = 20, .outputHigh = 90, .outputLimit = 128, .timeout = 30s };
    // Glossary batches arrive as groups of requests whose prompts begin with the same style sheet of 12,288 tokens.
    deployment.batch = { .priorityClass = PriorityClass::Batch, .perSecond = 3.2, .groupSize = 32, .promptLow = 13000, .promptHigh = 18000, .outputLow = 250, .outputHigh = 900, .outputLimit = 8000, .sharedPrefixes = 16, .prefixBlocks = 6, .stragglerShare = 0.02, .stragglerOutput = 6000, .timeout = 300s };
    return deployment;
}

Deployment largeFleet()
{
    auto deployment = tannerRuddock();
    auto scale = 130.0 / deployment.engines;
    deployment.name = "large";
    deployment.zones = 8;
    deployment.engines = 130;
    deployment.daemons = 48;
    deployment.accounts = 400;
    deployment.live.perSecond *= scale;
    deployment.batch.perSecond *= scale;
    return deployment;
}

} // namespace chestnut::bench
