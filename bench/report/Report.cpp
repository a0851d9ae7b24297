#include "bench/report/Report.h"

#include <array>
#include <cstdio>

namespace chestnut::bench {

namespace {

    struct Column {
        const char* name;
        double Row::*member;
        int width;
        int decimals;
    };

    constexpr std::array columns {
        Column { "live_good", &Row::liveGood, 9, 2 },
        Column { "first_ok", &Row::firstOnTime, 8, 2 },
        Column { "gap_ok", &Row::gapOnTime, 6, 2 },
        Column { "other_good", &Row::otherGood, 10, 2 },
        Column { "live_done", &Row::liveDone, 9, 2 },
        Column { "refused", &Row::refused, 7, 2 },
        Column { "late", &Row::timedOut, 6, 2 },
        Column { "in_time", &Row::inTime, 7, 2 },
        Column { "batch_done", &Row::batchDone, 10, 2 },
        Column { "b_refused", &Row::batchRefused, 9, 2 },
        Column { "b_late", &Row::batchTimedOut, 6, 2 },
        Column { "good_tok_s", &Row::goodTokens, 10, 0 },
        Column { "p50", &Row::p50, 6, 0 },
        Column { "p95", &Row::p95, 6, 0 },
        Column { "p99", &Row::p99, 6, 0 },
        Column { "p999", &Row::p999, 6, 0 },
        Column { "last95", &Row::last95, 6, 0 },
        Column { "last99", &Row::last99, 6, 0 },
        Column { "b_last95", &Row::batchP95, 8, 0 },
        Column { "hol_mean", &Row::delayMean, 8, 1 },
        Column { "hol_p99", &Row::delayP99, 7, 0 },
        Column { "roles", &Row::roleChanges, 5, 1 },
        Column { "extra", &Row::extraWork, 5, 2 },
        Column { "lost", &Row::lostServers, 5, 1 },
        Column { "twice", &Row::ranTwice, 5, 0 },
    };

    std::string formatNumber(double value, int width, int decimals)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), " %*.*f", width, decimals, value);
        return text.data();
    }

    std::string formatName(const std::string& name, int width)
    {
        std::array<char, 64> text {};
        std::snprintf(text.data(), text.size(), "%-*s", width, name.c_str());
        return text.data();
    }

    double rounded(double value, int decimals)
    {
        return std::stod(formatNumber(value, 0, decimals));
    }

} // namespace

nlohmann::ordered_json toJson(const Row& row)
{
    nlohmann::ordered_json json { { "deployment", row.deployment }, { "scenario", row.scenario }, { "policy", row.policy } };
    for (const auto& column : columns)
        json[column.name] = rounded(row.*column.member, column.decimals);
    return json;
}

std::string formatTable(const std::vector<Row>& rows)
{
    std::string text = formatName("deployment", 11) + formatName("scenario", 16) + formatName("policy", 24);
    for (const auto& column : columns) {
        std::array<char, 32> title {};
        std::snprintf(title.data(), title.size(), " %*s", column.width, column.name);
        text += title.data();
    }
    text += "\n";
    for (const auto& row : rows) {
        text += formatName(row.deployment, 11) + formatName(row.scenario, 16) + formatName(row.policy, 24);
        for (const auto& column : columns)
            text += formatNumber(row.*column.member, column.width, column.decimals);
        text += "\n";
    }
    return text;
}

} // namespace chestnut::bench
