#include "frontend/dispatch/FrontendState.h"

namespace chestnut {

namespace {

    /** Output length models by account and class; the bound limits memory use and suffices for 27,000 accounts. */
    constexpr size_t maximumOutputModels = 60000;

} // namespace

RequestId FrontendState::nextAttemptId()
{
    char text[48];
    std::snprintf(text, sizeof(text), "%llx-%llx", static_cast<unsigned long long>(services.peers.incarnation()), static_cast<unsigned long long>(++lastAttempt));
    return RequestId(services.peers.self().value() + "-" + text);
}

OutputLengthModel& FrontendState::outputModel(const AccountId& account, PriorityClass priorityClass)
{
    if (outputModels.size() > maximumOutputModels)
        outputModels.clear();
    return outputModels[{ account, priorityClass }];
}

} // namespace chestnut
