#include "bench/services/ServiceRun.h"

#include <algorithm>
#include <array>

namespace chestnut::bench {

namespace {

    constexpr std::array<uint64_t, 4> seeds { 11, 23, 37, 53 };
    constexpr double percent = 100;

    struct ServicePolicySetup {
        std::string name;
        ServiceOptions options;
    };

    double quantileOf(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        auto position = std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())));
        std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(position));
        return values[position];
    }

    Row rowOf(const ServiceScenario& scenario, const ServicePolicySetup& setup)
    {
        ServiceFigures figures;
        for (auto seed : seeds) {
            auto seeded = scenario;
            seeded.seed = seed;
            runService(figures, seeded, setup.options);
        }
        Row row;
        row.deployment = scenario.deployment;
        row.scenario = scenario.name;
        row.policy = setup.name;
        auto calls = static_cast<double>(figures.calls);
        row.liveDone = percent * static_cast<double>(figures.done) / calls;
        row.p50 = quantileOf(figures.latencies, 0.5);
        row.p95 = quantileOf(figures.latencies, 0.95);
        row.p99 = quantileOf(figures.latencies, 0.99);
        row.p999 = quantileOf(figures.latencies, 0.999);
        row.extraWork = percent * (static_cast<double>(figures.attempts) / calls - 1);
        row.lostServers = static_cast<double>(figures.lostServers) / seeds.size();
        row.ranTwice = static_cast<double>(figures.ranTwice);
        return row;
    }

    std::vector<ServicePolicySetup> setupsFor(const ServiceScenario& scenario)
    {
        std::vector<ServicePolicySetup> setups { { "ours", {} }, { "round_robin", { .isRoundRobin = true, .quarantine = false } } };
        if (scenario.hasSlowdowns) {
            setups.push_back({ "without_ejection", { .ejection = false } });
            setups.push_back({ "without_hedging", { .hedging = false } });
            setups.push_back({ "hedging_of_all_calls", { .hedgesAll = true } });
        }
        if (scenario.hasCrashes || scenario.hasOutage) {
            setups.push_back({ "without_retries", { .retries = false } });
            setups.push_back({ "without_retry_budget", { .retryBudget = false } });
        }
        if (scenario.hasPoison)
            setups.push_back({ "without_quarantine", { .quarantine = false } });
        return setups;
    }

} // namespace

std::vector<Row> runServices()
{
    std::vector<Row> rows;
    for (auto [deployment, servers] : { std::pair("tanner", 3U), std::pair("saranrat", 4U) }) {
        const std::array<ServiceScenario, 4> scenarios {
            ServiceScenario { .name = "service_slow", .deployment = deployment, .servers = servers, .hasSlowdowns = true },
            ServiceScenario { .name = "service_crash", .deployment = deployment, .servers = servers, .hasCrashes = true },
            ServiceScenario { .name = "service_outage", .deployment = deployment, .servers = servers, .hasOutage = true },
            ServiceScenario { .name = "service_poison", .deployment = deployment, .servers = servers, .hasPoison = true },
        };
        for (const auto& scenario : scenarios) {
            for (const auto& setup : setupsFor(scenario))
                rows.push_back(rowOf(scenario, setup));
        }
    }
    return rows;
}

} // namespace chestnut::bench
