#include "bench/run/Measurement.h"

#include <algorithm>
#include <map>

namespace chestnut::bench {

namespace {

    constexpr double percent = 100;
    constexpr double milliseconds = 1000;

    double quantileOf(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        std::ranges::sort(values);
        auto rank = static_cast<size_t>(share * static_cast<double>(values.size()));
        return values[std::min(rank, values.size() - 1)];
    }

    template <typename Predicate>
    std::vector<const JobRecord*> select(const RunRecords& records, Predicate predicate)
    {
        std::vector<const JobRecord*> result;
        for (const auto& job : records.jobs) {
            if (predicate(job))
                result.push_back(&job);
        }
        return result;
    }

    template <typename Predicate>
    double shareOf(const std::vector<const JobRecord*>& jobs, Predicate predicate)
    {
        auto count = std::ranges::count_if(jobs, [&](const JobRecord* job) { return predicate(*job); });
        return jobs.empty() ? percent : percent * static_cast<double>(count) / static_cast<double>(jobs.size());
    }

    std::vector<double> valuesOf(const std::vector<const JobRecord*>& jobs, double JobRecord::*member)
    {
        std::vector<double> values;
        for (const auto* job : jobs) {
            if (job->outcome != JobOutcome::RefusedEarly)
                values.push_back(milliseconds * job->*member);
        }
        return values;
    }

    /** Additional latency of each job compared with the same job in `alone`. */
    std::vector<double> delaysAgainst(const std::vector<const JobRecord*>& jobs, const RunRecords& alone)
    {
        std::map<std::pair<uint64_t, uint64_t>, double> reference;
        std::map<uint64_t, uint64_t> order;
        for (const auto& job : alone.jobs)
            reference[{ job.seed, order[job.seed]++ }] = job.lastTokenSeconds;
        order.clear();
        std::vector<double> delays;
        delays.reserve(jobs.size());
        for (const auto* job : jobs)
            delays.push_back(milliseconds * (job->lastTokenSeconds - reference[{ job->seed, order[job->seed]++ }]));
        return delays;
    }

    double meanOf(const std::vector<double>& values)
    {
        double sum = 0;
        for (auto value : values)
            sum += value;
        return values.empty() ? 0 : sum / static_cast<double>(values.size());
    }

    bool isDone(const JobRecord& job)
    {
        return job.outcome == JobOutcome::Done;
    }

    bool isRefused(const JobRecord& job)
    {
        return job.outcome == JobOutcome::RefusedEarly;
    }

    bool isTimedOut(const JobRecord& job)
    {
        return job.outcome == JobOutcome::TimedOut;
    }

    void fillLive(Row& row, const std::vector<const JobRecord*>& live)
    {
        row.liveGood = shareOf(live, [](const JobRecord& job) { return job.isGood(); });
        row.firstOnTime = shareOf(live, [](const JobRecord& job) { return !isRefused(job) && job.firstTokenSeconds <= toSeconds(firstTokenTarget); });
        row.gapOnTime = shareOf(live, [](const JobRecord& job) { return isDone(job) && job.tokenGapSeconds <= toSeconds(tokenGapTarget); });
        row.liveDone = shareOf(live, isDone);
        row.refused = shareOf(live, isRefused);
        row.timedOut = shareOf(live, isTimedOut);
        row.inTime = percent - row.timedOut;
        auto first = valuesOf(live, &JobRecord::firstTokenSeconds);
        row.p50 = quantileOf(first, 0.5);
        row.p95 = quantileOf(first, 0.95);
        row.p99 = quantileOf(first, 0.99);
        row.p999 = quantileOf(first, 0.999);
        row.last95 = quantileOf(valuesOf(live, &JobRecord::lastTokenSeconds), 0.95);
        row.last99 = quantileOf(valuesOf(live, &JobRecord::lastTokenSeconds), 0.99);
    }

    double goodTokensOf(const RunRecords& records)
    {
        double tokens = 0;
        for (const auto& job : records.jobs)
            tokens += job.isGood() ? job.tokens : 0;
        return tokens / records.measuredSeconds;
    }

} // namespace

bool JobRecord::isGood() const
{
    if (outcome != JobOutcome::Done)
        return false;
    auto meetsTargets = firstTokenSeconds <= toSeconds(firstTokenTarget) && tokenGapSeconds <= toSeconds(tokenGapTarget);
    return priorityClass == PriorityClass::Batch || meetsTargets;
}

void addRun(RunRecords& records, const Fleet& fleet)
{
    auto clientDelay = fleet.scenario().deployment.clientDelay;
    for (const auto& job : fleet.jobs()) {
        if (!job.isMeasured)
            continue;
        const auto& state = fleet.state(job.id);
        JobRecord record { job.id, fleet.scenario().seed, job.priorityClass, state.outcome, job.isFlood };
        auto sent = job.arrival - clientDelay;
        auto isFinished = state.outcome == JobOutcome::Done;
        record.firstTokenSeconds = toSeconds((state.hasFirstToken ? state.firstToken : job.deadline) - sent);
        record.lastTokenSeconds = toSeconds((isFinished ? state.lastToken : job.deadline) - sent);
        if (isFinished && job.outputTokens > 1)
            record.tokenGapSeconds = toSeconds(state.lastToken - state.firstToken) / (job.outputTokens - 1);
        record.tokens = job.promptTokens + job.outputTokens;
        records.jobs.push_back(record);
    }
    records.measuredSeconds += toSeconds(fleet.scenario().arrivals - fleet.scenario().measuredFrom);
    records.processedTokens += fleet.processedTokens();
    records.hedgedTokens += fleet.hedgedTokens();
    records.roleChanges += fleet.roleChanges();
    records.runs++;
}

double liveCapacityBound(const Scenario& scenario)
{
    const auto& engine = scenario.deployment.engine;
    auto tokenSeconds = engine.iterationSecondsPerSequence + engine.iterationSeconds / engine.slots;
    auto target = toSeconds(firstTokenTarget);
    double freeAt = 0; // time at which the fleet, modelled as one server, finishes the work accepted so far
    double offered = 0;
    double good = 0;
    for (const auto& job : arrivalsOf(scenario)) {
        if (job.priorityClass != PriorityClass::Live)
            continue;
        auto arrival = toSeconds(job.arrival.time_since_epoch());
        auto seconds = job.promptTokens / engine.prefillTokensPerSecond + job.outputTokens * tokenSeconds;
        auto isGood = freeAt - arrival <= target;
        if (isGood)
            freeAt = std::max(freeAt, arrival) + seconds / scenario.deployment.engines;
        offered += job.isMeasured ? 1 : 0;
        good += job.isMeasured && isGood ? 1 : 0;
    }
    return percent * good / std::max(1.0, offered);
}

Row summarize(const RunRecords& records, const RunRecords* alone)
{
    Row row;
    auto live = select(records, [](const JobRecord& job) { return job.priorityClass == PriorityClass::Live; });
    auto batch = select(records, [](const JobRecord& job) { return job.priorityClass == PriorityClass::Batch; });
    auto others = select(records, [](const JobRecord& job) { return job.priorityClass == PriorityClass::Live && !job.isFlood; });
    fillLive(row, live);
    row.otherGood = shareOf(others, [](const JobRecord& job) { return job.isGood(); });
    row.batchDone = shareOf(batch, isDone);
    row.batchRefused = shareOf(batch, isRefused);
    row.batchTimedOut = shareOf(batch, isTimedOut);
    row.batchP95 = quantileOf(valuesOf(batch, &JobRecord::lastTokenSeconds), 0.95);
    row.goodTokens = goodTokensOf(records);
    if (alone) {
        auto delays = delaysAgainst(live, *alone);
        row.delayMean = meanOf(delays);
        row.delayP99 = quantileOf(delays, 0.99);
    }
    row.roleChanges = static_cast<double>(records.roleChanges) / std::max(1U, records.runs);
    row.extraWork = percent * records.hedgedTokens / std::max(1.0, records.processedTokens);
    return row;
}

} // namespace chestnut::bench
