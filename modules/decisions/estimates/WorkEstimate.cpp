#include "decisions/estimates/WorkEstimate.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Later samples weigh at least one in this many, so that the model follows a shift of the workload. */
    constexpr double maximumSampleWeight = 50;
    constexpr double lowestRate = 1e-3;

} // namespace

WorkEstimate estimateWork(double promptTokens, double outputLimit, const OutputLengthModel& model)
{
    return { std::max(promptTokens, 0.0), std::max(1.0, outputLimit * model.meanShare) };
}

OutputLengthModel withSample(const OutputLengthModel& model, double outputLimit, double outputTokens)
{
    if (outputLimit <= 0)
        return model;
    auto share = std::clamp(outputTokens / outputLimit, 0.0, 1.0);
    auto samples = std::min(model.samples + 1, maximumSampleWeight);
    return { model.meanShare + (share - model.meanShare) / samples, samples };
}

Duration expectedServiceTime(const WorkEstimate& work, const ServiceRates& rates)
{
    auto prefill = work.prefillTokens / std::max(rates.prefillTokensPerSecond, lowestRate);
    auto decode = work.decodeTokens / std::max(rates.decodeTokensPerSecond, lowestRate);
    return fromSeconds(prefill + decode);
}

} // namespace chestnut
