#include "gateway/requests/DecodePlan.h"

#include "base/digest/Digest.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Prefills in flight that are not less urgent than this request; their decodes begin before its own. Their number by
        priority is estimated from their queued tokens, as only these are counted by priority. */
    double prefillsAhead(const RelayContext& relay)
    {
        double ahead = 0;
        for (const auto* entry : relay.services.replicas.usable(relay.service, EngineStage::Prefill)) {
            auto work = relay.services.loadTracker->observe(entry->id).work;
            auto tokens = work.queued.sum();
            auto share = tokens > 0 ? work.queued.sum(0, relay.priorities().endOrderOf(relay.priority())) / tokens : 0;
            ahead += work.requests * share;
        }
        return ahead;
    }

    /** A stream that has begun can go on at no other engines, so that ejected ones are tried when they are all that is left. */
    void admitEjectedEngines(std::vector<PlacementView>& views)
    {
        if (std::ranges::any_of(views, isEligible))
            return;
        for (auto& view : views)
            view.isEjected = false;
    }

} // namespace

Error DecodePlan::refusal() const
{
    if (engines.empty())
        return makeError(ErrorKind::NoBackend, "the service has no usable decode engine");
    return saturatedError("the decode engines are saturated: " + describeLoad(views) + ", " + std::to_string(need.keptFree) + " slots kept free");
}

DecodePlan planDecode(const RelayContext& relay, const DecodeState& state)
{
    auto& services = relay.services;
    DecodePlan plan;
    for (const auto* entry : relay.candidates(EngineStage::Decode, state.cacheVersion)) {
        plan.engines.push_back(*entry);
        plan.views.push_back(relay.viewOf(*entry));
    }
    if (relay.version)
        admitEjectedEngines(plan.views);
    auto level = relay.priorities().levelOf(relay.priority());
    auto& need = plan.need;
    need.occupancy = services.speeds.speedOf(relay.service).occupancy.value_or(Duration::zero());
    need.timeLeft = relay.remaining();
    need.startsIn = state.startsIn;
    need.hasMoreUrgent = level > 0;
    need.keptFree = services.urgentWork.slotsKeptFree(relay.service, level, plan.views);
    need.waitingAhead = (state.isWaiting ? 0 : relay.waitingAhead()) + (state.startsIn > Duration::zero() ? prefillsAhead(relay) : 0);
    need.choice = hash64(relay.request.id.value(), state.calls);
    need.ownZone = services.zone;
    plan.decision = placeDecode(plan.views, need);
    return plan;
}

std::string describeLoad(const std::vector<PlacementView>& views)
{
    uint32_t requests = 0;
    size_t ejected = 0;
    for (const auto& view : views) {
        requests += view.isEjected ? 0 : view.requests;
        ejected += view.isEjected ? 1 : 0;
    }
    return std::to_string(requests) + " requests at " + std::to_string(views.size() - ejected) + " engines, " + std::to_string(ejected) + " ejected";
}

} // namespace chestnut
