#include "gateway/requests/PlainRelay.h"

namespace chestnut {

namespace {

    /** A repeatable call that has no answer after this multiple of its objective is sent to another replica. */
    constexpr int stallObjectives = 2;
    /** Share of the objective that an unloaded replica needs; only the ratio between replicas matters. */
    constexpr double expectedShareOfObjective = 0.25;
    constexpr size_t maximumAnswer = 8 << 20;

    struct WholeAnswer {
        int status = 0;
        HttpHeaders headers;
        std::string body;
    };

    const ReplicaEntry* choose(RelayContext& relay)
    {
        auto entries = relay.services.replicas.usable(relay.service, EngineStage::None, relay.excluded);
        std::vector<PlacementView> views;
        views.reserve(entries.size());
        for (const auto* entry : entries)
            views.push_back(relay.viewOf(*entry));
        auto choice = chooseLeastOccupied(views, relay.services.zone);
        // With every replica ejected, a try is better than a refusal.
        if (!choice && !entries.empty())
            choice = 0;
        return choice ? entries[*choice] : nullptr;
    }

    asio::awaitable<Result<WholeAnswer>> attempt(RelayContext& relay, const ReplicaEntry& replica, Duration timeout)
    {
        ReplicaCall call { relay.request, replica.id, replica.address, relay.remaining() };
        call.abort = relay.abort;
        auto startedAt = relay.services.timers.now();
        auto stall = relay.services.timers.once(timeout, [abort = relay.abort] { abort->interrupt(); });
        auto flight = relay.services.board->begin(replica.id);
        auto answer = co_await relay.services.instances.send(std::move(call));
        if (!answer)
            co_return answer.error();
        auto body = co_await readWholeBody(*answer->body, maximumAnswer);
        if (!body)
            co_return makeError(ErrorKind::BackendFailed, body.error().detail);
        if (answer->verdict == ExecutionStatus::NotExecuted)
            co_return makeError(ErrorKind::Overloaded, "refused by the replica with status " + std::to_string(answer->body->status()));
        if (answer->verdict == ExecutionStatus::OtherInstance)
            co_return makeError(ErrorKind::NoBackend, "another replica has the address");
        if (answer->verdict == ExecutionStatus::Unsealed)
            co_return makeError(ErrorKind::BackendFailed, "response without the seal of the replica");
        auto expected = toSeconds(relay.route.latencyObjective) * expectedShareOfObjective;
        relay.noteSuccess(replica.id, startedAt, toSeconds(relay.services.timers.now() - startedAt) / expected);
        co_return WholeAnswer { answer->body->status(), std::move(answer->headers), std::move(*body) };
    }

    Duration attemptTimeout(const RelayContext& relay)
    {
        auto isRepeatable = relay.route.kind == RouteKind::Idempotent && relay.runs + 1 < relay.route.maximumAttempts;
        return isRepeatable ? std::min(relay.remaining(), relay.route.latencyObjective * stallObjectives) : relay.remaining();
    }

    asio::awaitable<Result<WholeAnswer>> callUntilAnswered(RelayContext& relay)
    {
        if (relay.isRefusedContent())
            co_return crashingContent();
        auto last = makeError(ErrorKind::NoBackend, "no replica of the service is known");
        while (true) {
            const auto* entry = choose(relay);
            if (!entry || !relay.takeArrival())
                co_return relay.finalError(last);
            auto replica = *entry;
            relay.services.log.write(EventId::RequestRouted, { { "request", relay.request.id }, { "route", relay.route.name }, { "replica", replica.id }, { "in_flight", relay.services.board->requestsAt(replica.id) }, { "left_ms", relay.remaining().count() / 1000 } });
            auto answer = co_await attempt(relay, replica, attemptTimeout(relay));
            if (answer)
                co_return answer;
            last = answer.error();
            relay.noteFailure(replica.id, last);
            if (!relay.mayRunAgain())
                co_return relay.finalError(last);
        }
    }

} // namespace

asio::awaitable<void> relayPlain(RelayPointer relay, HttpResponseWriter& writer)
{
    auto answer = co_await callUntilAnswered(*relay);
    if (!answer) {
        const auto& error = answer.error();
        relay->services.log.write(EventId::RequestRefused, { { "request", relay->request.id }, { "kind", describe(error.kind).name }, { "detail", error.detail } });
        if (error.kind != ErrorKind::CallerGone)
            co_await answerError(writer, relay->request.id, error);
        co_return;
    }
    auto status = answer->status;
    relay->clearLosses();
    auto sent = co_await writer.send({ answer->status, std::move(answer->headers), std::move(answer->body) });
    relay->services.log.write(EventId::RequestCompleted, { { "request", relay->request.id }, { "status", status }, { "sent", sent ? 1 : 0 } });
}

} // namespace chestnut
