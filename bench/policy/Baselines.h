#pragma once

#include "bench/run/Fleet.h"

#include <memory>
#include <string_view>

namespace chestnut::bench {

enum class BaselineKind : uint8_t {
    RoundRobin,
    LeastInFlight, /**< fewest requests in the last load report, which is out of date */
    TwoChoices, /**< the less loaded of two random replicas, by load report and own requests sent since then */
    AllKnowing, /**< oracle that reads the engines' actual state and speed without delay; not implementable in a real system */
};

std::string_view nameOf(BaselineKind);

/** Creates a policy that sends each request to an engine on arrival, with its priority. Only the engines queue requests. */
std::unique_ptr<Policy> makeBaseline(BaselineKind, Fleet&);

} // namespace chestnut::bench
