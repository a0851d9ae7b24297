#include "bench/report/Check.h"
#include "bench/report/Plot.h"
#include "bench/report/Report.h"
#include "bench/run/Suite.h"
#include "bench/services/ServiceRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, output, "build/bench.json", "file for the figures of all rows");
ABSL_FLAG(std::string, earlier, "bench/results.json", "figures of an earlier version for the regression check");
ABSL_FLAG(std::string, known_red, "KNOWN-RED.txt", "file whose lines \"bench: <row id>\" name the bounds that are known to be broken");
ABSL_FLAG(bool, check, false, "fail when a bound is broken or a figure is worse than in the earlier version");
ABSL_FLAG(bool, plot, false, "draw head-of-line delay and tail latency into docs/results.svg");
ABSL_FLAG(std::string, scenario, "", "run only this scenario, for example \"spike\"; all when empty");
ABSL_FLAG(bool, variants, true, "run our policy also with each of its parts disabled");
ABSL_FLAG(unsigned, threads, 4, "number of simulations to run in parallel; the figures do not depend on it");

using namespace chestnut::bench;

namespace {

constexpr auto plotPath = "docs/results.svg";

void writeJson(const std::vector<Row>& rows, const std::string& path)
{
    nlohmann::ordered_json json = nlohmann::ordered_json::array();
    for (const auto& row : rows)
        json.push_back(toJson(row));
    std::ofstream(path) << json.dump(1) << "\n";
}

size_t print(std::string_view title, const std::vector<std::string>& lines)
{
    for (const auto& line : lines)
        std::cout << title << ": " << line << "\n";
    return lines.size();
}

size_t check(const std::vector<Row>& rows)
{
    std::ifstream list(absl::GetFlag(FLAGS_known_red));
    auto split = splitByKnown(checkBounds(rows), knownRedIds(list));
    print("known red", split.known);
    auto broken = print("broken bound", split.unexpected);
    broken += print("listed in KNOWN-RED.txt, but not broken", split.stale);
    std::ifstream file(absl::GetFlag(FLAGS_earlier));
    auto earlier = nlohmann::ordered_json::parse(file, nullptr, false);
    if (earlier.is_discarded()) {
        std::cout << "cannot read JSON from " << absl::GetFlag(FLAGS_earlier) << "\n";
        return broken + 1;
    }
    return broken + print("regression", checkRegression(rows, earlier));
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    auto rows = runSuite({ absl::GetFlag(FLAGS_threads), absl::GetFlag(FLAGS_scenario), absl::GetFlag(FLAGS_variants) });
    for (const auto& row : runServices()) {
        if (absl::GetFlag(FLAGS_scenario).empty() || row.scenario.starts_with(absl::GetFlag(FLAGS_scenario)))
            rows.push_back(row);
    }
    std::cout << formatTable(rows);
    print("no gain in any row", policiesWithoutGain(rows));
    writeJson(rows, absl::GetFlag(FLAGS_output));
    if (absl::GetFlag(FLAGS_plot))
        std::ofstream(plotPath) << formatPlot(rows);
    if (!absl::GetFlag(FLAGS_check))
        return 0;
    auto broken = check(rows);
    std::cout << (broken == 0 ? "all bounds hold except those known to be broken" : "bounds are broken") << "\n";
    return broken == 0 ? 0 : 1;
}
