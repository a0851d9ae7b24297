#include "bench/policy/Baselines.h"

#include <algorithm>

namespace chestnut::bench {

namespace {

    uint32_t priorityOf(const Job& job)
    {
        return job.priorityClass == PriorityClass::Live ? 0 : 1;
    }

    class Baseline : public Policy {
    public:
        Baseline(BaselineKind kind, Fleet& fleet)
            : m_kind(kind)
            , m_fleet(fleet)
            , m_random(fleet.scenario().seed)
            , m_nextEngine(fleet.scenario().deployment.daemons)
            , m_reported(fleet.engineCount())
            , m_sentSinceReport(fleet.scenario().deployment.daemons, std::vector<uint32_t>(fleet.engineCount()))
        {
            // Each daemon starts at a different engine; otherwise all daemons would send to the same engine at a time.
            for (size_t daemon = 0; daemon < m_nextEngine.size(); daemon++)
                m_nextEngine[daemon] = static_cast<uint32_t>(daemon * 5);
        }

        void jobArrived(const Job& job) override
        {
            auto engine = choose(job);
            m_sentSinceReport[job.daemon][engine]++;
            m_fleet.send(job, engine, priorityOf(job));
        }

        void loadReported(uint32_t engine, const LoadReport& report, const std::vector<CacheEvent>&) override
        {
            m_reported[engine] = report.running;
            for (auto& sent : m_sentSinceReport)
                sent[engine] = 0;
        }

    private:
        uint32_t choose(const Job& job)
        {
            switch (m_kind) {
            case BaselineKind::RoundRobin:
                return m_nextEngine[job.daemon]++ % m_fleet.engineCount();
            case BaselineKind::LeastInFlight:
                return leastInFlight();
            case BaselineKind::TwoChoices:
                return twoChoices(job);
            case BaselineKind::AllKnowing:
                break;
            }
            return allKnowing(job);
        }

        uint32_t randomEngine() { return static_cast<uint32_t>(m_random() % m_fleet.engineCount()); }

        uint32_t leastInFlight()
        {
            auto offset = randomEngine();
            auto best = offset;
            for (uint32_t step = 0; step < m_fleet.engineCount(); step++) {
                auto engine = (offset + step) % m_fleet.engineCount();
                if (m_reported[engine] < m_reported[best])
                    best = engine;
            }
            return best;
        }

        uint32_t twoChoices(const Job& job)
        {
            const auto& sent = m_sentSinceReport[job.daemon];
            auto first = randomEngine();
            auto second = randomEngine();
            return m_reported[first] + sent[first] <= m_reported[second] + sent[second] ? first : second;
        }

        double actualSecondsToFinish(const Job& job, uint32_t index) const
        {
            const auto& engine = m_fleet.engine(index);
            const auto& profile = m_fleet.scenario().deployment.engine;
            auto running = engine.report().running;
            auto step = profile.iterationSeconds + profile.iterationSecondsPerSequence * (running + 1);
            auto prompt = job.promptTokens - std::min(job.promptTokens, engine.cachedTokens(job.prefixBlocks));
            auto prefill = (engine.prefillTokensAhead(priorityOf(job)) + prompt) / profile.prefillTokensPerSecond;
            auto excess = running + 1 > profile.slots ? running + 1 - profile.slots : 0;
            auto slotWait = excess * step * 100 / profile.slots;
            return engine.slowdown() * (prefill + slotWait + job.outputTokens * step);
        }

        uint32_t allKnowing(const Job& job) const
        {
            uint32_t best = 0;
            for (uint32_t engine = 1; engine < m_fleet.engineCount(); engine++) {
                if (actualSecondsToFinish(job, engine) < actualSecondsToFinish(job, best))
                    best = engine;
            }
            return best;
        }

        BaselineKind m_kind;
        Fleet& m_fleet;
        std::mt19937_64 m_random;
        std::vector<uint32_t> m_nextEngine;
        std::vector<uint32_t> m_reported;
        std::vector<std::vector<uint32_t>> m_sentSinceReport;
    };

} // namespace

std::string_view nameOf(BaselineKind kind)
{
    switch (kind) {
    case BaselineKind::RoundRobin:
        return "round_robin";
    case BaselineKind::LeastInFlight:
        return "least_in_flight";
    case BaselineKind::TwoChoices:
        return "two_choices";
    case BaselineKind::AllKnowing:
        break;
    }
    return "all_knowing";
}

std::unique_ptr<Policy> makeBaseline(BaselineKind kind, Fleet& fleet)
{
    return std::make_unique<Baseline>(kind, fleet);
}

} // namespace chestnut::bench
