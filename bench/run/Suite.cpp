#include "bench/run/Suite.h"

#include "bench/policy/OwnPolicy.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>

namespace chestnut::bench {

namespace {

    constexpr std::array<uint64_t, 4> seeds { 11, 23, 37, 53 };

    using MakeScenario = Scenario (*)(const Deployment&, uint64_t);

    /** One policy in one scenario of one deployment. */
    struct Cell {
        Deployment deployment;
        MakeScenario make = nullptr;
        PolicySetup setup;
        RunRecords records;
    };

    std::unique_ptr<Policy> makePolicy(const PolicySetup& setup, Fleet& fleet)
    {
        if (setup.baseline)
            return makeBaseline(*setup.baseline, fleet);
        return std::make_unique<OwnPolicy>(fleet, setup.options);
    }

    void runCell(Cell& cell)
    {
        for (auto seed : seeds) {
            Fleet fleet(cell.make(cell.deployment, seed));
            auto policy = makePolicy(cell.setup, fleet);
            fleet.run(*policy);
            addRun(cell.records, fleet);
        }
    }

    void runAll(std::vector<Cell>& cells, unsigned threads)
    {
        std::atomic<size_t> next = 0;
        std::vector<std::thread> workers;
        for (unsigned worker = 0; worker < threads; worker++) {
            workers.emplace_back([&] {
                for (auto index = next++; index < cells.size(); index = next++)
                    runCell(cells[index]);
            });
        }
        for (auto& worker : workers)
            worker.join();
    }

    PolicySetup without(const std::string& part, bool PolicyOptions::*option)
    {
        PolicySetup setup { "without_" + part, std::nullopt, {} };
        setup.options.*option = false;
        return setup;
    }

    std::string scenarioName(const Cell& cell)
    {
        return cell.make(cell.deployment, seeds.front()).name;
    }

    Row capacityBoundRow(const Deployment& deployment, MakeScenario make)
    {
        Row row;
        row.deployment = deployment.name;
        row.scenario = make(deployment, seeds.front()).name;
        row.policy = "capacity_bound";
        for (auto seed : seeds)
            row.liveGood += liveCapacityBound(make(deployment, seed)) / static_cast<double>(seeds.size());
        return row;
    }

    /** Returns the cell that runs only the deployment's short work. */
    const Cell* findShortWorkCell(const std::vector<Cell>& cells, const std::string& deployment)
    {
        auto found = std::ranges::find_if(cells, [&](const Cell& cell) {
            return cell.make == shortWorkAlone && cell.deployment.name == deployment;
        });
        return found == cells.end() ? nullptr : &*found;
    }

} // namespace

std::vector<PolicySetup> allPolicySetups()
{
    std::vector<PolicySetup> setups { { "ours", std::nullopt, {} } };
    for (auto kind : { BaselineKind::RoundRobin, BaselineKind::LeastInFlight, BaselineKind::TwoChoices, BaselineKind::AllKnowing })
        setups.push_back({ std::string(nameOf(kind)), kind, {} });
    setups.push_back(without("live_reserve", &PolicyOptions::liveReserve));
    setups.push_back(without("preemption", &PolicyOptions::preemption));
    setups.push_back(without("memory_limit", &PolicyOptions::memoryLimit));
    setups.push_back(without("hedging", &PolicyOptions::hedging));
    setups.push_back(without("ejection", &PolicyOptions::ejection));
    setups.push_back(without("prefix_affinity", &PolicyOptions::prefixAffinity));
    setups.push_back(without("role_control", &PolicyOptions::roleControl));
    setups.push_back(without("fair_queueing", &PolicyOptions::fairQueueing));
    setups.push_back(without("early_refusal", &PolicyOptions::earlyRefusal));
    setups.push_back(without("on_time_first", &PolicyOptions::onTimeFirst));
    setups.push_back(without("preemption_slack", &PolicyOptions::preemptionSlack));
    setups.push_back(without("last_call", &PolicyOptions::lastCall));
    return setups;
}

std::vector<Row> runSuite(const SuiteSelection& selection)
{
    auto isSelected = [&](const Cell& cell) {
        auto isVariant = cell.setup.name.starts_with("without_");
        auto isWanted = selection.scenario.empty() || scenarioName(cell) == selection.scenario;
        return cell.make == shortWorkAlone || (isWanted && (selection.includesVariants || !isVariant));
    };
    std::vector<Cell> cells;
    // The longest runs start first, so that the other threads do not have to wait for one of them at the end.
    for (const auto& setup : { PolicySetup { "ours", std::nullopt, {} }, without("subsets", &PolicyOptions::subsets),
             PolicySetup { "two_choices", BaselineKind::TwoChoices, {} } })
        cells.push_back({ largeFleet(), largeMixShift, setup, {} });
    for (const auto& deployment : { tannerRuddock(), saranrat() }) {
        cells.push_back({ deployment, shortWorkAlone, { "alone", std::nullopt, {} }, {} });
        for (auto make : { mixShift, mixShiftFromSplit, loadSpike, overload, headOfLine, slowReplicas }) {
            for (const auto& setup : allPolicySetups())
                cells.push_back({ deployment, make, setup, {} });
        }
    }
    std::erase_if(cells, [&](const Cell& cell) { return !isSelected(cell); });
    runAll(cells, selection.threads);
    std::vector<Row> rows;
    for (const auto& deployment : { tannerRuddock(), saranrat() }) {
        for (auto make : { mixShift, loadSpike, overload, headOfLine, slowReplicas })
            rows.push_back(capacityBoundRow(deployment, make));
    }
    for (const auto& cell : cells) {
        auto needsAlone = cell.make == headOfLine || cell.make == shortWorkAlone;
        const auto* alone = needsAlone ? findShortWorkCell(cells, cell.deployment.name) : nullptr;
        auto row = summarize(cell.records, alone ? &alone->records : nullptr);
        row.deployment = cell.deployment.name;
        row.scenario = scenarioName(cell);
        row.policy = cell.setup.name;
        rows.push_back(row);
    }
    return rows;
}

} // namespace chestnut::bench
