#pragma once

#include "base/time/TimePoint.h"

#include <compare>
#include <cstdint>

namespace chestnut {

enum class PriorityClass : uint8_t {
    Live,
    Batch,
};

/** Expected work of a request in tokens. Calls to plain services count as decode tokens, one a call. */
struct WorkEstimate {
    double prefillTokens = 0;
    double decodeTokens = 0;

    auto operator<=>(const WorkEstimate&) const = default;
};

/** Learned share of the output limit that requests of one account and class use. */
struct OutputLengthModel {
    double meanShare = 0.5; /**< 0 to 1 */
    double samples = 0;

    auto operator<=>(const OutputLengthModel&) const = default;
};

/** Characters of a prompt per token, for texts that arrive without a token count. */
constexpr double charactersPerToken = 4;

WorkEstimate estimateWork(double promptTokens, double outputLimit, const OutputLengthModel&);

/** The model after one more finished request; old samples fade. */
OutputLengthModel withSample(const OutputLengthModel&, double outputLimit, double outputTokens);

/** Service rates of one replica, learned from its responses. */
struct ServiceRates {
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 25; /**< of one running sequence */

    auto operator<=>(const ServiceRates&) const = default;
};

/** Time that the work takes on an idle replica. */
Duration expectedServiceTime(const WorkEstimate&, const ServiceRates&);

} // namespace chestnut
