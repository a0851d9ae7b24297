#include "decisions/leases/Order.h"

#include <algorithm>

namespace chestnut {

namespace {

    OrderStep wait(std::string reason)
    {
        return { OrderAction::Wait, {}, std::move(reason) };
    }

    bool isOwnIntent(const OrderInputs& inputs)
    {
        return inputs.intent && inputs.intent->holder == inputs.holder;
    }

    OrderIntent takeoverIntent(const OrderInputs& inputs)
    {
        auto number = inputs.lease.number;
        uint64_t sequence = 1;
        if (inputs.intent) {
            number = std::max(number, inputs.intent->fencingNumber + 1);
            sequence = inputs.intent->sequence + 1;
        }
        if (inputs.observed)
            number = std::max(number, inputs.observed->fencingNumber + 1);
        return { inputs.holder, inputs.lease.group, number, sequence, inputs.desired };
    }

    OrderIntent nextIntent(const OrderInputs& inputs)
    {
        auto intent = *inputs.intent;
        ++intent.sequence;
        intent.desired = inputs.desired;
        return intent;
    }

    bool runsIntent(const OrderInputs& inputs)
    {
        return inputs.observed->fencingNumber == inputs.intent->fencingNumber && inputs.observed->sequence == inputs.intent->sequence
            && runsSame(inputs.observed->running, inputs.intent->desired);
    }

    bool isChangeOverdue(const OrderInputs& inputs)
    {
        return inputs.now - inputs.changingSince >= engineChangeTimeout;
    }

} // namespace

bool runsSame(const DesiredEngine& a, const DesiredEngine& b)
{
    return !isDisruptive(a, b) && a.adapters == b.adapters;
}

bool isDisruptive(const DesiredEngine& from, const DesiredEngine& to)
{
    return from.role != to.role || loadsWeights(from, to);
}

bool loadsWeights(const DesiredEngine& from, const DesiredEngine& to)
{
    return from.model != to.model || from.version != to.version;
}

DesiredEngine desiredEngine(const Configuration& configuration, const EngineSpec& engine, const std::optional<OrderIntent>& intent, std::optional<EngineRole> decided)
{
    DesiredEngine desired { configuration.revision, engine.setBy, engine.role, engine.model, "", {} };
    if (auto model = configuration.models.find(engine.model.value()); model != configuration.models.end()) {
        desired.version = model->second.version;
        desired.adapters = model->second.adapters;
    }
    if (engine.rolePolicy == RolePolicy::Automatic) {
        if (decided)
            desired.role = *decided;
        else if (intent && intent->desired.setBy == engine.setBy)
            desired.role = intent->desired.role;
    }
    return desired;
}

OrderStep nextOrderStep(const OrderInputs& inputs)
{
    if (!mayOrder(inputs.lease, inputs.now))
        return wait("the lease ends too soon, or the wait for the former holder is not over");
    if (!isOwnIntent(inputs)) {
        if (inputs.intent && inputs.intent->desired.revision > inputs.desired.revision)
            return wait("another holder follows a newer configuration");
        return { OrderAction::TakeOver, takeoverIntent(inputs), "the intent belongs to another holder" };
    }
    if (!inputs.observed)
        return wait("the engine does not report its state");
    if (inputs.observed->fencingNumber > inputs.intent->fencingNumber)
        return { OrderAction::Yield, {}, "the engine has accepted a higher fencing number" };
    bool runsOwnIntent = runsIntent(inputs);
    if (runsOwnIntent && !inputs.observed->isReady && !isChangeOverdue(inputs))
        return wait("the engine is changing");
    if (runsOwnIntent && inputs.observed->isReady && runsSame(inputs.intent->desired, inputs.desired))
        return { OrderAction::Settled, {}, "" };
    if (inputs.now < inputs.sendFrom)
        return wait("an order of the former holder may still be in progress");
    if (inputs.now < inputs.retryAt)
        return wait("the last order has not taken effect; it is retried after a delay");
    if (isDisruptive(inputs.observed->running, inputs.desired) && !inputs.isDrained)
        return { OrderAction::Drain, {}, "the engine must be drained before it changes" };
    return { OrderAction::Send, nextIntent(inputs), "the engine does not run its desired state under the current order" };
}

Duration orderRetryDelay(int attempts)
{
    constexpr int maximumDoublings = 4;
    return std::min(shortestOrderRetry * (1 << std::clamp(attempts, 0, maximumDoublings)), longestOrderRetry);
}

} // namespace chestnut
