#include "bench/workload/Scenario.h"

#include "base/digest/Digest.h"
#include "decisions/discovery/Discovery.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace chestnut::bench {

using namespace std::chrono_literals;

namespace {

    constexpr double floodShare = 0.7;

    /** Uniform draws that do not depend on the standard library's distributions. */
    class Random {
    public:
        explicit Random(uint64_t seed)
            : m_generator(seed)
        {
        }

        double uniform() { return static_cast<double>(m_generator() >> 11) / 9007199254740992.0; }
        double exponential(double mean) { return -mean * std::log(1 - uniform()); }
        uint32_t between(uint32_t low, uint32_t high) { return low + static_cast<uint32_t>(uniform() * (high - low + 1)); }

    private:
        std::mt19937_64 m_generator;
    };

    const Phase& phaseAt(const Scenario& scenario, Duration time)
    {
        const auto* current = &scenario.phases.front();
        for (const auto& phase : scenario.phases) {
            if (phase.begin <= time)
                current = &phase;
        }
        return *current;
    }

    AccountId accountName(uint32_t index)
    {
        return AccountId("account" + std::to_string(index));
    }

    std::vector<MemberRecord> membersOf(const Deployment& deployment)
    {
        std::vector<MemberRecord> members;
        for (uint32_t index = 0; index < deployment.daemons; index++) {
            MemberRecord member;
            member.id = DaemonId("daemon" + std::to_string(index));
            member.state = MemberState::Ready;
            member.zone = AvailabilityZone("zone" + std::to_string(index % deployment.zones));
            member.region = Region("region");
            member.callerAddress = std::to_string(index);
            members.push_back(member);
        }
        return members;
    }

    /** Distributes each account's requests in turn over the daemons that discovery returns for the account. */
    class Callers {
    public:
        explicit Callers(const Deployment& deployment)
            : m_deployment(deployment)
            , m_members(membersOf(deployment))
        {
        }

        uint32_t nextDaemon(uint32_t account)
        {
            auto& next = m_nextEntryPoint[account];
            auto zone = AvailabilityZone("zone" + std::to_string(account % m_deployment.zones));
            auto addresses = entryPoints(accountName(account), zone, m_members);
            return static_cast<uint32_t>(std::stoul(addresses[next++ % addresses.size()].address));
        }

    private:
        const Deployment& m_deployment;
        std::vector<MemberRecord> m_members;
        std::map<uint32_t, uint32_t> m_nextEntryPoint;
    };

    std::vector<uint64_t> drawPrefix(const WorkKind& kind, uint32_t prefix)
    {
        std::vector<uint64_t> blocks;
        for (uint32_t block = 0; block < kind.prefixBlocks && kind.sharedPrefixes > 0; block++)
            blocks.push_back(1000ULL * (prefix + 1) + block);
        return blocks;
    }

    Job drawJob(const Scenario& scenario, const WorkKind& kind, Duration time, Random& random)
    {
        Job job;
        job.priorityClass = kind.priorityClass;
        job.arrival = TimePoint(time);
        job.deadline = job.arrival + kind.timeout;
        job.promptTokens = random.between(kind.promptLow, kind.promptHigh);
        job.outputTokens = random.between(kind.outputLow, kind.outputHigh);
        job.outputLimit = kind.outputLimit;
        job.isStraggler = random.uniform() < kind.stragglerShare;
        if (job.isStraggler)
            job.outputTokens = kind.stragglerOutput;
        job.isMeasured = time >= scenario.measuredFrom;
        return job;
    }

    void addArrivals(std::vector<Job>& jobs, const Scenario& scenario, const WorkKind& kind, uint64_t seed)
    {
        Random random(seed);
        Callers callers(scenario.deployment);
        auto isLive = kind.priorityClass == PriorityClass::Live;
        Duration time {};
        while (true) {
            const auto& phase = phaseAt(scenario, time);
            auto factor = isLive ? phase.liveFactor : phase.batchFactor;
            if (factor <= 0)
                return;
            time += fromSeconds(random.exponential(kind.groupSize / (kind.perSecond * factor)));
            if (time >= scenario.arrivals)
                return;
            auto account = random.between(0, scenario.deployment.accounts - 1);
            auto prefix = random.between(0, std::max(1U, kind.sharedPrefixes) - 1);
            auto isFlood = isLive && phaseAt(scenario, time).isFlood && random.uniform() < floodShare;
            for (uint32_t member = 0; member < kind.groupSize; member++) {
                auto job = drawJob(scenario, kind, time, random);
                job.prefixBlocks = drawPrefix(kind, prefix);
                job.isFlood = isFlood;
                job.account = isFlood ? AccountId("flood") : accountName(account);
                job.daemon = isFlood ? random.between(0, scenario.deployment.daemons - 1) : callers.nextDaemon(account);
                jobs.push_back(std::move(job));
            }
        }
    }

} // namespace

Scenario mixShift(const Deployment& deployment, uint64_t seed)
{
    Scenario scenario { "mix_shift", deployment, 360s, 10s, {}, {} };
    scenario.phases = { { 0s, 1.9, 0.7 }, { 90s, 0.7, 1.35 }, { 180s, 1.9, 0.7 }, { 270s, 0.7, 1.35 } };
    scenario.seed = seed;
    return scenario;
}

Scenario mixShiftFromSplit(const Deployment& deployment, uint64_t seed)
{
    auto scenario = mixShift(deployment, seed);
    scenario.name = "mix_shift_split";
    scenario.startsSplit = true;
    return scenario;
}

Scenario loadSpike(const Deployment& deployment, uint64_t seed)
{
    Scenario scenario { "spike", deployment, 240s, 10s, {}, {} };
    scenario.phases = { { 0s, 1, 0.9 }, { 80s, 6, 0.9, true }, { 140s, 1, 0.9 } };
    scenario.seed = seed;
    return scenario;
}

Scenario overload(const Deployment& deployment, uint64_t seed)
{
    auto scenario = loadSpike(deployment, seed);
    scenario.name = "overload";
    scenario.phases[1].liveFactor = 12;
    return scenario;
}

Scenario largeMixShift(const Deployment& deployment, uint64_t seed)
{
    Scenario scenario { "large_mix_shift", deployment, 20s, 4s, {}, {} };
    scenario.phases = { { 0s, 1.9, 0.7 }, { 12s, 0.7, 1.35 } };
    scenario.seed = seed;
    return scenario;
}

Scenario headOfLine(const Deployment& deployment, uint64_t seed)
{
    Scenario scenario { "head_of_line", deployment, 240s, 10s, {}, {} };
    scenario.phases = { { 0s, 1, 1.2 } };
    scenario.seed = seed;
    return scenario;
}

Scenario shortWorkAlone(const Deployment& deployment, uint64_t seed)
{
    auto scenario = headOfLine(deployment, seed);
    scenario.phases = { { 0s, 1, 0 } };
    return scenario;
}

Scenario slowReplicas(const Deployment& deployment, uint64_t seed)
{
    constexpr double slowFactor = 5;
    Scenario scenario { "slow_replicas", deployment, 240s, 20s, {}, {} };
    scenario.phases = { { 0s, 1, 0.7 } };
    scenario.seed = seed;
    auto slowed = std::max(1U, deployment.engines / 5);
    for (uint32_t window = 0; window < 4; window++) {
        auto begin = 20s + 50s * window;
        for (uint32_t index = 0; index < slowed; index++)
            scenario.slowdowns.push_back({ (window * 5 + index * 3) % deployment.engines, begin, begin + 30s, slowFactor });
    }
    return scenario;
}

std::vector<Job> arrivalsOf(const Scenario& scenario)
{
    std::vector<Job> jobs;
    addArrivals(jobs, scenario, scenario.deployment.live, scenario.seed * 2);
    addArrivals(jobs, scenario, scenario.deployment.batch, scenario.seed * 2 + 1);
    std::ranges::stable_sort(jobs, {}, &Job::arrival);
    for (size_t index = 0; index < jobs.size(); index++)
        jobs[index].id = index;
    return jobs;
}

} // namespace chestnut::bench
