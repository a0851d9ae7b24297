#pragma once

#include "base/time/TimePoint.h"
#include "decisions/estimates/WorkEstimate.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace chestnut {

enum class LoadKind : uint8_t {
    Completion, /**< streamed or not */
    ServiceRead,
    ServiceWrite, /**< not idempotent */
};

/** One request of a workload, with the data that determine its expected response. */
struct PlannedRequest {
    Duration at {}; /**< time from the start of the run */
    LoadKind kind = LoadKind::Completion;
    std::string name; /**< kind of work, for the summary */
    std::string account;
    PriorityClass priorityClass = PriorityClass::Live;
    bool isStreamed = true;
    std::string prompt;
    uint32_t maximumTokens = 0;
    std::string service;
    std::string serviceTarget; /**< path without the prefix of the service, as the backend server receives it */
    std::string serviceBody;
    Duration timeout = std::chrono::seconds(30);
};

struct WorkloadSettings {
    std::string name = "tanner"; /**< or saranrat */
    double requestsPerSecond = 10;
    Duration duration = std::chrono::seconds(10);
    uint64_t seed = 1;
    uint32_t accounts = 20;
    uint64_t maximumRequests = 100000;
    double spikeFactor = 1; /**< rate multiple in the middle fifth of the run */
    double mixShift = 0; /**< relative growth of the share of long jobs in the second half of the run, 0 to 1 */
    double stragglerShare = 0.01; /**< share of long jobs that produce ten times the output */
};

/** Generates the two companies' requests (section 1.3 of the design) as Poisson arrivals. Equal settings give equal requests. */
class Workload {
public:
    explicit Workload(WorkloadSettings);

    /** The next request in order of arrival, or nothing at the end of the run. */
    std::optional<PlannedRequest> next();

private:
    PlannedRequest tanner(double longShare);
    PlannedRequest saranrat(double longShare);
    PlannedRequest longCompletion(const std::string& name, const std::string& prompt, uint32_t lowestTokens, uint32_t highestTokens);
    std::string randomWords(uint32_t lowestCount, uint32_t highestCount);
    uint32_t between(uint32_t lowest, uint32_t highest);
    double uniform();

    WorkloadSettings m_settings;
    std::mt19937_64 m_random;
    std::string m_styleSheet;
    Duration m_now {};
    uint64_t m_count = 0;
};

} // namespace chestnut
