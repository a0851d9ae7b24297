#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>

namespace chestnut::standin {

/** Faults of the test double, which apply to all its clients. */
struct Faults {
    bool isOutage = false; /**< connections are closed without a response, and calls have no effect */
    Duration latency { 0 }; /**< added before each response */
    unsigned lostResponses = 0; /**< number of next writes whose responses are lost after they took effect */
    double lostResponseShare = 0; /**< probability from 0 to 1 that the response of a write is lost */
    Duration vmListLag { 0 };
};

/** Changes the faults named in a JSON object with the fields `outage`, `latency_ms`, `lose_next`, `lose_share` and
    `vm_list_lag_ms`; throws nlohmann::json::exception when a field has another type. */
void applyFaults(Faults&, const nlohmann::json&);

/** Whether the response of the present write is lost; counts `lostResponses` down. */
bool takeLostResponse(Faults&, std::mt19937_64&);

} // namespace chestnut::standin
