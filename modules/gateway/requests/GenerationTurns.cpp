#include "gateway/requests/GenerationTurns.h"

#include "gateway/requests/DecodePlan.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Share of the validity of a handle that its decode may wait; the rest is for the call and the transfer. */
    constexpr double usedShareOfValidity = 0.6;

    Duration handleValidity(const RelayContext& relay)
    {
        const auto* profile = relay.table->service(relay.service);
        return profile && profile->engine ? profile->engine->handleValidity : EngineProfile {}.handleValidity;
    }

    /** The engine for a decode with a handle that cannot wait any longer. */
    Result<ReplicaEntry> lastDecodeEngine(const RelayContext& relay, const GenerationProgress& progress)
    {
        auto plan = planDecode(relay, { Duration::zero(), true, progress.decodeCalls, progress.cacheVersion });
        auto choice = lastResortEngine(plan.views, relay.services.zone);
        if (!choice)
            return plan.refusal();
        return plan.engines[*choice];
    }

    /** Writes one line about a request that waited, or was refused without a wait. */
    void logWait(const RelayContext& relay, std::string_view stage, TimePoint since, const DecodePlan& plan, std::string_view end)
    {
        auto waited = relay.services.timers.now() - since;
        if (waited == Duration::zero() && end == "proceeded")
            return;
        relay.services.log.write(EventId::SlotAwaited, { { "request", relay.request.id }, { "stage", stage }, { "ms", waited.count() / 1000 }, { "end", end }, { "priority", relay.priority() }, { "load", describeLoad(plan.views) }, { "kept_free", plan.need.keptFree }, { "ahead", plan.need.waitingAhead }, { "expected_ms", plan.decision.expectedWait.count() / 1000 } });
        relay.services.metrics.count("chestnut_gateway_slot_waits_total", { { "end", std::string(end) } });
    }

} // namespace

asio::awaitable<Result<void>> awaitPrefillTurn(RelayContext& relay, const PromptPrefill& prefill, GenerationProgress progress)
{
    auto since = relay.services.timers.now();
    auto longestHold = fromSeconds(toSeconds(handleValidity(relay)) * usedShareOfValidity);
    // A slot is taken only after the prefill, but a part of an engine's rate at once.
    auto takesRate = relay.services.replicas.hasRateLimit(relay.service);
    auto isWaitingForRate = false;
    DecodePlan plan;
    auto decide = [&](bool hasWaited) {
        auto prefillTime = prefill.expectedTime();
        plan = planDecode(relay, { prefillTime, hasWaited, progress.decodeCalls });
        if (plan.decision.action == DecodeAction::Refuse && !hasWaited)
            return SlotQueue::Step::GiveUp;
        isWaitingForRate = relay.services.replicas.hasRateLimit(relay.service) && prefill.isWaitingForRate();
        if (isWaitingForRate) {
            auto wait = prefill.expectedRateWait(hasWaited ? 1 : plan.need.waitingAhead + 1);
            return wait < relay.remaining() ? SlotQueue::Step::Wait : SlotQueue::Step::GiveUp;
        }
        return plan.decision.action != DecodeAction::Refuse && plan.decision.expectedWait <= longestHold ? SlotQueue::Step::Proceed : SlotQueue::Step::Wait;
    };
    auto step = co_await relay.services.slotQueue.wait(relay, { progress.order, false, relay.deadline(), takesRate }, decide);
    if (step == SlotQueue::Step::Proceed) {
        logWait(relay, "prefill", since, plan, "proceeded");
        co_return Result<void>();
    }
    logWait(relay, "prefill", since, plan, "refused");
    co_return isWaitingForRate ? rateLimitedError(prefill.expectedRateWait(plan.need.waitingAhead + 1)) : plan.refusal();
}

asio::awaitable<Result<ReplicaEntry>> awaitDecodeEngine(RelayContext& relay, GenerationProgress progress)
{
    auto since = relay.services.timers.now();
    auto until = relay.deadline();
    if (progress.handleAt)
        until = std::min(until, *progress.handleAt + fromSeconds(toSeconds(handleValidity(relay)) * usedShareOfValidity));
    DecodePlan plan;
    auto decide = [&](bool hasWaited) {
        plan = planDecode(relay, { Duration::zero(), hasWaited, progress.decodeCalls, progress.cacheVersion });
        if (plan.decision.action == DecodeAction::Call)
            return SlotQueue::Step::Proceed;
        // With a handle the prompt has been read, and after a wait the requests that came later are not ahead.
        auto mayWait = !plan.engines.empty() && (progress.handleAt || hasWaited || plan.decision.action == DecodeAction::Wait);
        return mayWait ? SlotQueue::Step::Wait : SlotQueue::Step::GiveUp;
    };
    auto step = co_await relay.services.slotQueue.wait(relay, { progress.order, progress.handleAt.has_value(), until }, decide);
    if (step == SlotQueue::Step::Proceed) {
        logWait(relay, "decode", since, plan, "proceeded");
        co_return plan.engines[plan.decision.index];
    }
    auto last = progress.handleAt && !relay.isOver() ? lastDecodeEngine(relay, progress) : Result<ReplicaEntry>(plan.refusal());
    logWait(relay, "decode", since, plan, last ? "last_resort" : "refused");
    co_return last;
}

} // namespace chestnut
