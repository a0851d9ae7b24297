#pragma once

#include "decisions/speeds/ServiceSpeed.h"

namespace chestnut {

/** Limits on waiting for a replica, after which the work is sent to another one. An abandoned call is work done in vain, so
    each limit is a multiple of what such calls have been observed to need. There is none for a call to an engine while that is unknown. */

/** For a prefill whose end is expected after this time. */
std::optional<Duration> prefillWaitLimit(std::optional<Duration> expected, Duration latencyObjective);

/** For the first event of a stream. */
std::optional<Duration> firstEventWaitLimit(const ServiceSpeed&, Duration latencyObjective);

/** For the next event of a stream. It is longer than `soundSilence`, the longest silence of a sound engine in the middle of
    a stream, unless too little of the time left would then remain for another engine. */
std::optional<Duration> eventGapWaitLimit(const ServiceSpeed&, Duration latencyObjective, Duration timeLeft, Duration soundSilence);

/** For the response of a plain service to a call that may be repeated. It follows from the objective alone while the speed is
    unknown, as such a call is cheap. */
Duration responseWaitLimit(const ServiceSpeed&, Duration latencyObjective);

/** Whether a decode engine should process the prompt itself, because the delay to the streams that it runs is small compared
    with the pause that they may have. While the speed is unknown, the prompt is compared with the output. */
bool isShortPrompt(uint32_t promptTokens, uint32_t maximumOutputTokens, const ServiceSpeed&, Duration gapObjective);

} // namespace chestnut
