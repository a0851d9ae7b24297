#pragma once

#include "gateway/requests/RelayContext.h"

#include <boost/asio/steady_timer.hpp>

namespace chestnut {

/** A stream that is opened at another engine while the silent attempt is still read, so that nothing is lost when the other
    engine refuses it. */
class StreamMove : public std::enable_shared_from_this<StreamMove> {
public:
    StreamMove(RelayPointer, ReplicaEntry engine);

    /** Sends the request. `resumeAfter` is the last event that the client has received. */
    void start(std::string resumeAfter, uint32_t priority);
    /** Ends the call; an engine that has accepted it drops the request when its connection closes. */
    void cancel();

    /** Waits until the engine has responded or the time has passed. */
    asio::awaitable<void> waitForResponse(Duration);

    /** Whether the engine has responded without continuing the stream, and why. */
    std::optional<Error> failure() const;

    /** Waits for the response of the engine, which can be taken once. From here on the request's own abort handle ends the call. */
    asio::awaitable<Result<ReplicaResponse>> takeResponse();

    const ReplicaEntry engine;
    const TimePoint sentAt;

private:
    asio::awaitable<void> waitForCompletion();
    asio::awaitable<void> open(std::shared_ptr<StreamMove> self, ReplicaCall);

    RelayPointer m_relay; /**< keeps the request alive while it is sent */
    std::shared_ptr<AbortHandle> m_abort = std::make_shared<AbortHandle>();
    LoadTracker::InFlightWork m_inFlightWork;
    asio::steady_timer m_completion; /**< never expires; cancelled when the response has arrived */
    std::optional<Result<ReplicaResponse>> m_response;
};

/** The response of an engine as a result: an error unless the engine has run the request and, for a continuation, streams it. */
Result<ReplicaResponse> checkDecodeResponse(Result<ReplicaResponse>, bool isContinuation);

/** Whether the response is a stream of events. Without a content type it is taken for one. */
bool isEventStream(const ReplicaResponse&);

} // namespace chestnut
