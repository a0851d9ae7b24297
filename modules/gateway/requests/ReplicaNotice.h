#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <optional>
#include <string>

namespace chestnut {

/** What a response says about the rate of requests that the replica takes. */
struct RateNotice {
    std::optional<double> perSecond; /**< requests per second of all daemons together; absent: it names no limit */

    bool operator==(const RateNotice&) const = default;
};

/** What one response of a replica says about the replica itself. */
struct NoticeContent {
    bool isLeaving = false; /**< this process start is about to end */
    std::optional<Duration> backoff; /**< with a refusal: the time for which it wants no requests from this daemon */
    std::string unreadable; /**< header fields that could not be read, for the log */
    std::optional<RateNotice> rate; /**< absent: the response does not show whether there is a limit */

    bool operator==(const NoticeContent&) const = default;
};

/** A notice and the replica that it came from. */
struct ReplicaNotice {
    ReplicaId replica;
    std::string address; /**< IP:PORT to which the request was sent */
    TimePoint sentAt; /**< of the request; a response to an earlier process start must not affect a later one */
    std::string request; /**< the request's id, or the name of the control call */
    NoticeContent content;

    bool operator==(const ReplicaNotice&) const = default;
};

} // namespace chestnut
