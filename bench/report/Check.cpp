#include "bench/report/Check.h"

#include "bench/report/Report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace chestnut::bench {

namespace {

    /** Targets of the design page: first token and token gap for 95 in 100 requests, at most 5% extra work. */
    constexpr double targetShare = 95;
    constexpr double maximumExtraWork = 5;
    /** Smaller differences are noise: a few requests in about ten thousand. */
    constexpr double shareTolerance = 0.1;
    constexpr double relativeTolerance = 0.02;
    constexpr std::array<std::string_view, 3> simpleBaselines { "round_robin", "least_in_flight", "two_choices" };

    struct Measure {
        std::string_view scenario; /**< empty: every scenario */
        std::string_view name;
        double Row::*member;
        bool isShare; /**< in percent, larger is better; otherwise milliseconds, smaller is better */
    };

    constexpr std::array measures {
        Measure { "", "live_good", &Row::liveGood, true },
        Measure { "", "batch_done", &Row::batchDone, true },
        Measure { "", "live_done", &Row::liveDone, true },
        Measure { "spike", "in_time", &Row::inTime, true },
        Measure { "spike", "other_good", &Row::otherGood, true },
        Measure { "head_of_line", "hol_mean", &Row::delayMean, false },
        Measure { "head_of_line", "hol_p99", &Row::delayP99, false },
        Measure { "slow_replicas", "p95", &Row::p95, false },
        Measure { "slow_replicas", "p99", &Row::p99, false },
        Measure { "slow_replicas", "p999", &Row::p999, false },
        Measure { "slow_replicas", "last95", &Row::last95, false },
        Measure { "slow_replicas", "last99", &Row::last99, false },
        Measure { "service_slow", "p95", &Row::p95, false },
        Measure { "service_slow", "p99", &Row::p99, false },
        Measure { "service_slow", "p999", &Row::p999, false },
    };

    /** Costs that a part of the policy may reduce. They show the gain of that part but are not compared with the baselines: a
        baseline without retries, for example, has no extra work. */
    constexpr std::array costs {
        Measure { "service_outage", "extra", &Row::extraWork, false },
        Measure { "service_poison", "lost", &Row::lostServers, false },
    };
    /** A request is quarantined after two losses. */
    constexpr double maximumPoisonLosses = 2;

    const Row* find(const std::vector<Row>& rows, const Row& like, std::string_view policy)
    {
        auto found = std::ranges::find_if(rows, [&](const Row& row) {
            return row.deployment == like.deployment && row.scenario == like.scenario && row.policy == policy;
        });
        return found == rows.end() ? nullptr : &*found;
    }

    bool isWorse(const Measure& measure, double value, double bound)
    {
        if (measure.isShare)
            return value < bound - shareTolerance;
        return value > bound * (1 + relativeTolerance);
    }

    std::string describe(const Row& row, std::string_view name, double value, std::string_view relation, double bound)
    {
        std::array<char, 256> text {};
        std::snprintf(text.data(), text.size(), "%s %s %s: %.2f, %.*s %.2f", row.deployment.c_str(), row.scenario.c_str(),
            std::string(name).c_str(), value, static_cast<int>(relation.size()), relation.data(), bound);
        return text.data();
    }

    BrokenBound brokenBound(const Row& row, std::string_view name, double value, std::string_view relation, double bound)
    {
        auto id = row.deployment + "/" + row.scenario + "/" + std::string(name) + "/" + std::string(relation);
        return { id, describe(row, name, value, relation, bound) };
    }

    void checkTargets(std::vector<BrokenBound>& broken, const Row& ours, const Row& bound)
    {
        auto first = std::min(targetShare, bound.firstOnTime);
        auto gap = std::min(targetShare, bound.gapOnTime);
        if (ours.firstOnTime < first)
            broken.push_back(brokenBound(ours, "first_ok", ours.firstOnTime, "target", first));
        if (ours.gapOnTime < gap)
            broken.push_back(brokenBound(ours, "gap_ok", ours.gapOnTime, "target", gap));
        if (ours.extraWork > maximumExtraWork)
            broken.push_back(brokenBound(ours, "extra", ours.extraWork, "target", maximumExtraWork));
    }

    void checkServiceTargets(std::vector<BrokenBound>& broken, const Row& ours)
    {
        if (ours.ranTwice > 0)
            broken.push_back(brokenBound(ours, "twice", ours.ranTwice, "target", 0));
        if (ours.scenario == "service_poison" && ours.lostServers > maximumPoisonLosses)
            broken.push_back(brokenBound(ours, "lost", ours.lostServers, "target", maximumPoisonLosses));
    }

    void checkAgainstBaselines(std::vector<BrokenBound>& broken, const std::vector<Row>& rows, const Row& ours)
    {
        for (const auto& measure : measures) {
            if (!measure.scenario.empty() && measure.scenario != ours.scenario)
                continue;
            for (auto policy : simpleBaselines) {
                const auto* baseline = find(rows, ours, policy);
                if (baseline && isWorse(measure, ours.*measure.member, baseline->*measure.member))
                    broken.push_back(brokenBound(ours, measure.name, ours.*measure.member, policy, baseline->*measure.member));
            }
        }
    }

} // namespace

std::vector<BrokenBound> checkBounds(const std::vector<Row>& rows)
{
    std::vector<BrokenBound> broken;
    for (const auto& row : rows) {
        if (row.policy != "ours")
            continue;
        if (const auto* bound = find(rows, row, "all_knowing"))
            checkTargets(broken, row, *bound);
        checkServiceTargets(broken, row);
        checkAgainstBaselines(broken, rows, row);
    }
    return broken;
}

std::vector<std::string> knownRedIds(std::istream& text)
{
    constexpr std::string_view prefix = "bench: ";
    std::vector<std::string> ids;
    for (std::string line; std::getline(text, line);) {
        if (line.starts_with(prefix))
            ids.push_back(line.substr(prefix.size()));
    }
    return ids;
}

KnownRedSplit splitByKnown(const std::vector<BrokenBound>& broken, const std::vector<std::string>& knownIds)
{
    KnownRedSplit split;
    for (const auto& bound : broken) {
        auto isKnown = std::ranges::find(knownIds, bound.id) != knownIds.end();
        (isKnown ? split.known : split.unexpected).push_back(bound.id + ": " + bound.text);
    }
    for (const auto& id : knownIds) {
        if (std::ranges::find(broken, id, &BrokenBound::id) == broken.end())
            split.stale.push_back(id);
    }
    return split;
}

std::vector<std::string> checkRegression(const std::vector<Row>& rows, const nlohmann::ordered_json& earlier)
{
    std::vector<std::string> broken;
    for (const auto& old : earlier) {
        if (old.at("policy") != "ours")
            continue;
        Row like;
        like.deployment = old.at("deployment");
        like.scenario = old.at("scenario");
        const auto* row = find(rows, like, "ours");
        for (const auto& measure : measures) {
            auto applies = measure.scenario.empty() || measure.scenario == like.scenario;
            if (!applies || !old.contains(std::string(measure.name)))
                continue;
            auto before = old.at(std::string(measure.name)).get<double>();
            if (!row)
                broken.push_back(like.deployment + " " + like.scenario + ": missing");
            else if (isWorse(measure, row->*measure.member, before))
                broken.push_back(describe(*row, measure.name, row->*measure.member, "earlier", before));
        }
    }
    return broken;
}

std::vector<std::string> policiesWithoutGain(const std::vector<Row>& rows)
{
    std::vector<std::string> withoutGain;
    std::vector<std::string> withGain;
    for (const auto& row : rows) {
        if (!row.policy.starts_with("without_"))
            continue;
        const auto* ours = find(rows, row, "ours");
        auto isWorseWithout = [&](const Measure& measure) {
            auto applies = measure.scenario.empty() || measure.scenario == row.scenario;
            return applies && isWorse(measure, row.*measure.member, ours->*measure.member);
        };
        if (std::ranges::any_of(measures, isWorseWithout) || std::ranges::any_of(costs, isWorseWithout))
            withGain.push_back(row.policy);
        else if (std::ranges::find(withoutGain, row.policy) == withoutGain.end())
            withoutGain.push_back(row.policy);
    }
    std::erase_if(withoutGain, [&](const std::string& policy) { return std::ranges::find(withGain, policy) != withGain.end(); });
    return withoutGain;
}

} // namespace chestnut::bench
