#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <optional>

namespace chestnut {

/** Sums over completed prefills, from which the speed of the engines is estimated. Those of several daemons may be added. */
struct PrefillSamples {
    double count = 0;
    double tokens = 0;
    double milliseconds = 0;
    double tokensSquared = 0;
    double tokensTimesMilliseconds = 0;

    bool operator==(const PrefillSamples&) const = default;
};

/** Sums over observed times, from which their mean is estimated. */
struct TimeSamples {
    double count = 0;
    double milliseconds = 0;

    bool operator==(const TimeSamples&) const = default;
};

/** What the engines of one service have been observed to need. */
struct ServiceSamples {
    ServiceId service;
    PrefillSamples prefill;
    TimeSamples firstEvent; /**< from the decode call to the first event of the stream */
    TimeSamples eventGap; /**< between two events of a stream */
    TimeSamples occupancy; /**< from the call to the end of the response; for a decode, of its slot */

    bool operator==(const ServiceSamples&) const = default;
};

/** Time of a prefill call: a fixed part plus a part that grows with its tokens and those queued before it. */
struct PrefillSpeed {
    double tokensPerMillisecond = 1;
    double fixedMilliseconds = 0;

    bool operator==(const PrefillSpeed&) const = default;
};

/** Estimated speeds of the engines of one service; absent until enough calls have completed. */
struct ServiceSpeed {
    std::optional<PrefillSpeed> prefill;
    std::optional<Duration> firstEvent; /**< mean time from the decode call to the first event */
    std::optional<Duration> eventGap; /**< mean time between two events */
    std::optional<Duration> occupancy; /**< mean time that a request occupies its slot */

    bool operator==(const ServiceSpeed&) const = default;
};

/** Expected time of a prefill call behind and including this many tokens. */
Duration expectedPrefillTime(const PrefillSpeed&, double tokens);

/** Adds a completed prefill. `tokens` counts those queued before it too. A time far above the present estimate is an outlier
    and is limited, so that one slow link or neighbour does not change the estimate much; repeated ones still do. */
void addPrefill(PrefillSamples&, double tokens, Duration);

/** Adds an observed time, limited in the same way. */
void addTime(TimeSamples&, Duration);

/** Multiplies all sums by a factor below one, so that old samples lose weight. */
void scale(ServiceSamples&, double factor);

/** Adds the sums of other daemons for the same service. */
void add(ServiceSamples&, const ServiceSamples&);

/** The estimates from the sums. Prefills are fitted by least squares; the fit has one parameter when the samples are too
    similar to tell the fixed part from the speed. */
ServiceSpeed estimateSpeed(const ServiceSamples&);

} // namespace chestnut
