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
    double decodeTokensPerSecond = 25; /**< rate of one sequence */
    uint32_t slots = 32;
    uint32_t blocks = 1024; /**< memory in blocks of 2,048 tokens */
    uint32_t cachedBlocks = 256; /**< maximum number of cached prefix blocks */
    bool checksFencing = true;
    Duration changeTime = std::chrono::seconds(8); /**< how long a change of model, version or role makes the engine unavailable */
    Duration eventDelay = std::chrono::milliseconds(200); /**< delay until a cache event is visible */
};

/** Faults that can be changed at run time through /control/faults. */
struct EngineFaults {
    int64_t loadLagMs = 0; /**< age of the state in load reports */
    std::string crashPrompt; /**< a prompt that contains this text aborts the process */
    bool crashDuringChange = false;
    bool ignoresFencing = false;
    uint32_t cacheGapEvery = 0; /**< drops every n-th cache event; 0: none */
    int64_t lateAnswerMs = 0; /**< delay before the response header */
    uint32_t crossedAnswers = 0; /**< number of pairs of responses still to be swapped */
    double slowFactor = 1; /**< multiplies all service times */

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(EngineFaults, loadLagMs, crashPrompt, crashDuringChange, ignoresFencing, cacheGapEvery, lateAnswerMs, crossedAnswers, slowFactor)
};

} // namespace chestnut
