#include "gateway/requests/PlainRelay.h"

#include "decisions/speeds/WaitLimits.h"
#include "gateway/requests/AttemptBody.h"
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

    void logWait(const RelayContext& relay, TimePoint since, Duration expected, SlotQueue::Step step)
    {
        auto end = step == SlotQueue::Step::Proceed ? "proceeded" : "refused";
        auto waited = relay.services.timers.now() - since;
        relay.services.log.write(EventId::SlotAwaited, { { "request", relay.request.id }, { "stage", "call" }, { "ms", waited.count() / 1000 }, { "end", end }, { "priority", relay.priority() }, { "expected_ms", expected.count() / 1000 } });
        relay.services.metrics.count("chestnut_gateway_slot_waits_total", { { "end", end } });
    }

    bool isServerError(int status)
    {
        return status >= 500;
    }

    /** The replica for the next attempt and what the choice was based on. */
    struct CallPlan {
        std::vector<PlacementView> views;
        std::optional<ReplicaEntry> choice;
    };

    CallPlan planCall(RelayContext& relay, bool mayUseEjected)
    {
        CallPlan plan;
        auto entries = relay.candidates(EngineStage::None);
        for (const auto* entry : entries)
            plan.views.push_back(relay.viewOf(*entry));
        auto choice = relay.chooseReplica(plan.views);
        // If every replica is ejected, trying one is better than refusing the request.
        if (!choice && mayUseEjected && !entries.empty() && !isWaitingForRate(plan.views))
            choice = 0;
        if (choice)
            plan.choice = *entries[*choice];
        return plan;
    }

    /** Returns a replica for the request. While the rate limits of all replicas leave none, the most urgent requests wait, and those
        that are not expected to be let through in time are refused at once. */
    asio::awaitable<Result<ReplicaEntry>> awaitReplica(RelayContext& relay, bool hasErrorResponse)
    {
        CallPlan plan;
        Duration expectedWait {};
        auto decide = [&](bool hasWaited) {
            plan = planCall(relay, !hasErrorResponse);
            if (plan.choice)
                return SlotQueue::Step::Proceed;
            // An error response at hand is not held back for a replica that may send a better one. A request that some replicas have
            // failed would hold up those behind it, which may use these replicas.
            if (!isWaitingForRate(plan.views) || hasErrorResponse || !relay.excluded.empty())
                return SlotQueue::Step::GiveUp;
            expectedWait = expectedRateWait(plan.views, hasWaited ? 1 : relay.waitingAhead() + 1);
            return expectedWait < relay.remaining() ? SlotQueue::Step::Wait : SlotQueue::Step::GiveUp;
        };
        auto since = relay.services.timers.now();
        auto step = co_await relay.services.slotQueue.wait(relay, { relay.orderAt(PrefillRank::Urgent), false, relay.deadline() }, decide);
        if (expectedWait > Duration::zero())
            logWait(relay, since, expectedWait, step);
        if (step == SlotQueue::Step::Proceed)
            co_return *plan.choice;
        if (isWaitingForRate(plan.views))
            co_return rateLimitedError(expectedWait);
        co_return makeError(ErrorKind::NoBackend, "the service has no usable replica");
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
        return { canContinueElsewhere, [] { return false; }, onInterrupt, {}, {}, {} };
    }

    asio::awaitable<Result<CompleteResponse>> attempt(RelayContext& relay, const ReplicaEntry& replica, Duration limit)
    {
        ReplicaCall call { relay.request, replica.id, replica.address, relay.remaining() };
        call.abort = relay.abort;
        auto startedAt = relay.services.timers.now();
        SilenceWatch watch(relay, silenceCallbacks(relay, replica, limit));
        watch.start(replica, limit);
        auto inFlightWork = relay.services.loadTracker->begin(replica.id);
        relay.recordRequestTo(replica);
        auto loadShare = relay.loadShareOf(replica);
        auto response = co_await relay.services.replicaClient.send(std::move(call));
        if (!response)
            co_return response.error();
        response->body = std::make_unique<AttemptBody>(std::move(response->body), [&relay] { return ConnectionEnd { .isRequestOver = relay.isTimeOver() }; });
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
            auto chosen = co_await awaitReplica(relay, firstError.has_value());
            if (!chosen) {
                if (chosen.error().kind == ErrorKind::Overloaded)
                    last = chosen.error();
                break;
            }
            if (!relay.acquireAttempt())
                break;
            auto replica = std::move(*chosen);
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
