#pragma once

namespace chestnut {

/** What is known when a response body without length or chunks ends: its replica has closed the connection, which it does at the end of
    the body, and also when it gives the request up. */
struct ConnectionEnd {
    bool mayHaveStopped = false; /**< this daemon has asked the replica to end the run, and the replica may have done so */
    bool isRequestOver = false; /**< the client has left, or the time limit that the replica was given has passed */
    bool hasReplicaLeft = false; /**< the time at which the replica had announced to leave has passed */

    bool operator==(const ConnectionEnd&) const = default;
};

/** Whether the body is whole: nothing else explains the closed connection. */
constexpr bool isWholeBody(const ConnectionEnd& end)
{
    return !end.mayHaveStopped && !end.isRequestOver && !end.hasReplicaLeft;
}

} // namespace chestnut
