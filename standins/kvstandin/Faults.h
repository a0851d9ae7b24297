#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>

namespace chestnut::standin {

/** Faults that the stand-in shows to all its clients. */
struct Faults {
    bool isOutage = false; /**< connections are closed without an answer, and calls have no effect */
    Duration latency { 0 }; /**< added before each answer */
    unsigned lostAnswers = 0; /**< answers of the next writes are lost after they took effect */
    double lostAnswerShare = 0; /**< probability from 0 to 1 that the answer of a write is lost */
    Duration vmListLag { 0 };
};

/** Changes the faults named in a JSON object with the fields `outage`, `latency_ms`, `lose_next`, `lose_share` and
    `vm_list_lag_ms`; throws nlohmann::json::exception when a field has another type. */
void applyFaults(Faults&, const nlohmann::json&);

/** Decides whether the answer of this write is lost. */
bool takeLostAnswer(Faults&, std::mt19937_64&);

} // namespace chestnut::standin
