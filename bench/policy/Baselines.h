#pragma once

#include "bench/run/Fleet.h"

#include <memory>
#include <string_view>

namespace chestnut::bench {

enum class BaselineKind : uint8_t {
    RoundRobin,
    LeastInFlight, /**< by the last load report, which is old */
    TwoChoices, /**< the better of two random replicas, by report and own requests sent since */
    AllKnowing, /**< reads the engines' true state and speed without delay; not implementable */
};

std::string_view nameOf(BaselineKind);

/** Sends each request at once to one engine; the engines queue. Priorities are sent, as every daemon can do. */
std::unique_ptr<Policy> makeBaseline(BaselineKind, Fleet&);

} // namespace chestnut::bench
