#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace chestnut {

struct EngineSettings {
    std::string model = "m1";
    std::string version = "1";
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 25; /**< of one sequence */
    uint32_t slots = 32;
    uint32_t blocks = 1024; /**< of 2,048 tokens */
    uint32_t cachedBlocks = 256; /**< prefix blocks kept at most */
    bool checksFencing = true;
    Duration changeTime = std::chrono::seconds(8); /**< unavailable time of a change of model, version or role */
    Duration eventDelay = std::chrono::milliseconds(200); /**< delay of cache events */
};

/** Faults that can be switched at run time. */
struct EngineFaults {
    int64_t loadLagMs = 0; /**< load reports show the state this long ago */
    std::string crashPrompt; /**< a prompt that contains this text aborts the process */
    bool crashDuringChange = false;
    bool ignoresFencing = false;
    uint32_t cacheGapEvery = 0; /**< drops each n-th cache event; 0: none */
    int64_t lateAnswerMs = 0; /**< delay before the response header */
    uint32_t crossedAnswers = 0; /**< number of pairs of answers still to swap */
    double slowFactor = 1; /**< multiplies all service times */

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(EngineFaults, loadLagMs, crashPrompt, crashDuringChange, ignoresFencing, cacheGapEvery, lateAnswerMs, crossedAnswers, slowFactor)
};

} // namespace chestnut
