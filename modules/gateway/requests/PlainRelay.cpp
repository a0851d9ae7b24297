#include "gateway/requests/PlainRelay.h"

#include "decisions/speeds/WaitLimits.h"
#include "gateway/requests/BodyRelay.h"
#include "gateway/requests/SilenceWatch.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** The response of a replica; the rest of a long body is read while the client reads it. */
    struct CompleteResponse {
        int status = 0;
        HttpHeaders headers;
        BodyStart start;
        std::unique_ptr<HttpBodyStream> body; /**< null when all of it was read */
        LoadTracker::InFlightWork inFlightWork; /**< until the replica has sent the whole body */
    };

    bool isServerError(int status)
    {
        return status >= 500;
    }

    const ReplicaEntry* choose(RelayContext& relay, bool mayUseEjected)
    {
        auto entries = relay.candidates(EngineStage::None);
        std::vector<PlacementView> views;
        views.reserve(entries.size());
        for (const auto* entry : entries)
            views.push_back(relay.viewOf(*entry));
        auto choice = relay.chooseReplica(views);
        // If every replica is ejected, trying one is better than refusing the request.
        if (!choice && mayUseEjected && !entries.empty())
            choice = 0;
        return choice ? entries[*choice] : nullptr;
    }

    /** The callbacks of an attempt that waits for its response until `limit`. */
    SilenceWatch::Callbacks silenceCallbacks(RelayContext& relay, const ReplicaEntry& replica, Duration limit)
    {
        auto canContinueElsewhere = [&relay](const ReplicaId& replica) { return relay.hasFreeReplica(EngineStage::None, replica); };
        // The call needs at least this time, so that a service that has become slower is abandoned less often.
        auto onInterrupt = [&relay, replica, limit](TimePoint) {
            relay.recordCapacity(replica, relay.loadShareOf(replica), limit, relay.services.speeds.speedOf(relay.service).occupancy);
            relay.services.speeds.recordOccupancy(relay.service, limit);
        };
        return { canContinueElsewhere, [] { return false; }, onInterrupt, {}, {} };
    }

    asio::awaitable<Result<CompleteResponse>> attempt(RelayContext& relay, const ReplicaEntry& replica, Duration limit)
    {
        ReplicaCall call { relay.request, replica.id, replica.address, relay.remaining() };
        call.abort = relay.abort;
        auto startedAt = relay.services.timers.now();
        SilenceWatch watch(relay, silenceCallbacks(relay, replica, limit));
        watch.start(replica, limit);
        auto inFlightWork = relay.services.loadTracker->begin(replica.id);
        auto loadShare = relay.loadShareOf(replica);
        auto response = co_await relay.services.replicaClient.send(std::move(call));
        if (!response)
            co_return response.error();
        auto body = co_await readBodyStart(*response->body, relay.services.responseBuffers);
        // The header has already said that the request was not run, however its body ends.
        if (response->executionStatus == ExecutionStatus::NotExecuted)
            co_return makeError(ErrorKind::Overloaded, "refused by the replica with status " + std::to_string(response->body->status()));
        if (response->executionStatus == ExecutionStatus::WrongReplica)
            co_return makeError(ErrorKind::NoBackend, "the address belongs to another replica");
        if (!body)
            co_return makeError(ErrorKind::BackendFailed, body.error().detail);
        if (response->executionStatus == ExecutionStatus::Unverified)
            co_return makeError(ErrorKind::BackendFailed, "the response has no valid replica seal");
        CompleteResponse complete { response->body->status(), std::move(response->headers), std::move(*body), std::move(response->body), std::move(inFlightWork) };
        if (complete.start.isComplete) {
            complete.body.reset();
            complete.inFlightWork.end();
        }
        if (isServerError(complete.status)) {
            relay.recordErrorResponse(replica.id, startedAt, complete.status);
            co_return std::move(complete);
        }
        auto elapsed = relay.services.timers.now() - startedAt;
        auto expected = relay.services.speeds.speedOf(relay.service).occupancy;
        relay.recordCapacity(replica, loadShare, elapsed, expected);
        relay.services.speeds.recordOccupancy(relay.service, elapsed);
        relay.recordAttemptSuccess(replica.id, startedAt, expected ? toSeconds(elapsed) / toSeconds(*expected) : 1);
        co_return std::move(complete);
    }

    asio::awaitable<Result<CompleteResponse>> callWithRetries(RelayContext& relay)
    {
        if (relay.isBlockedContent())
            co_return crashingRequestError();
        auto last = makeError(ErrorKind::NoBackend, "the service has no usable replica");
        // The first error response of a replica; the client gets it unless a later attempt is served.
        std::optional<CompleteResponse> firstError;
        while (true) {
            const auto* entry = choose(relay, !firstError);
            if (!entry || !relay.acquireAttempt())
                break;
            auto replica = *entry;
            relay.services.log.write(EventId::RequestRouted, { { "request", relay.request.id }, { "route", relay.route.name }, { "replica", replica.id }, { "in_flight", relay.services.loadTracker->requestsAt(replica.id) }, { "left_ms", relay.remaining().count() / 1000 } });
            relay.beginUsage();
            auto response = co_await attempt(relay, replica, responseWaitLimit(relay.services.speeds.speedOf(relay.service), relay.route.latencyObjective));
            relay.endUsage(response || describe(response.error().kind).outcome != Outcome::NotRun);
            if (response && !isServerError(response->status)) {
                relay.blameForErrors(true);
                co_return response;
            }
            // The rest of the body is still being received, so that another attempt cannot be made before it is relayed.
            if (response && !response->start.isComplete) {
                relay.blameForErrors(false);
                co_return response;
            }
            if (!response) {
                last = response.error();
                relay.recordAttemptFailure(replica.id, last);
            } else if (!firstError)
                firstError = std::move(*response);
            if (!relay.mayRetry() || (firstError && !relay.canBeServedInTime()))
                break;
        }
        relay.blameForErrors(false);
        if (firstError && !relay.isClientDisconnected())
            co_return std::move(*firstError);
        co_return relay.finalError(last);
    }

} // namespace

asio::awaitable<void> relayPlain(RelayPointer relay, HttpResponseWriter& writer)
{
    auto response = co_await callWithRetries(*relay);
    if (!response) {
        const auto& error = response.error();
        relay->services.log.write(EventId::RequestRefused, { { "request", relay->request.id }, { "kind", describe(error.kind).name }, { "detail", error.detail } });
        if (error.kind != ErrorKind::CallerGone)
            co_await sendErrorResponse(writer, relay->request.id, error);
        co_return;
    }
    auto status = response->status;
    relay->recordCompletion();
    auto sent = co_await relayBody(writer, status, std::move(response->headers), std::move(response->start), response->body.get());
    relay->services.log.write(EventId::RequestCompleted, { { "request", relay->request.id }, { "status", status }, { "sent", sent ? 1 : 0 } });
}

} // namespace chestnut
