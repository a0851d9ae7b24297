#include "LoadSummary.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr size_t maximumDetails = 20;

    double quantileMilliseconds(const std::vector<Duration>& sorted, double share)
    {
        if (sorted.empty())
            return 0;
        auto index = static_cast<size_t>(std::lround(share * static_cast<double>(sorted.size() - 1)));
        return static_cast<double>(sorted[index].count()) / 1000;
    }

    json quantiles(std::vector<Duration> samples)
    {
        std::ranges::sort(samples);
        return { { "count", samples.size() }, { "p50", quantileMilliseconds(samples, 0.5) }, { "p95", quantileMilliseconds(samples, 0.95) }, { "p99", quantileMilliseconds(samples, 0.99) } };
    }

    json quantilesByName(const std::map<std::string, std::vector<Duration>>& samples)
    {
        json result = json::object();
        std::vector<Duration> all;
        for (const auto& [name, values] : samples) {
            result[name] = quantiles(values);
            all.insert(all.end(), values.begin(), values.end());
        }
        result["all"] = quantiles(std::move(all));
        return result;
    }

    void append(std::vector<Duration>& target, const std::vector<Duration>& source)
    {
        target.insert(target.end(), source.begin(), source.end());
    }

} // namespace

void LoadSummary::add(const LoadResult& result)
{
    ++m_sent;
    m_duplicateTokens += result.duplicateTokens;
    m_resumptions += result.resumptions;
    m_retries += result.retries;
    append(m_firstToken[result.name], result.firstToken);
    append(m_tokenGaps[result.name], result.tokenGaps);
    if (!result.detail.empty() && m_details.size() < maximumDetails)
        m_details.push_back(result.name + ": " + result.detail);
    switch (result.end) {
    case LoadResult::End::Completed:
        ++m_completed;
        m_totals[result.name].push_back(result.total);
        break;
    case LoadResult::End::Refused:
        ++m_refusals[result.kind + "/" + result.outcome];
        break;
    case LoadResult::End::Interrupted:
        ++m_interrupted;
        break;
    case LoadResult::End::Wrong:
        ++m_wrong;
        break;
    }
}

json LoadSummary::toJson() const
{
    return {
        { "sent", m_sent },
        { "answered_once", m_completed },
        { "refused", m_refusals },
        { "duplicate_tokens", m_duplicateTokens },
        { "interrupted", m_interrupted },
        { "wrong_answers", m_wrong },
        { "resumptions", m_resumptions },
        { "repeats", m_retries },
        { "not_sent", m_notSent },
        { "first_token_ms", quantilesByName(m_firstToken) },
        { "token_gap_ms", quantilesByName(m_tokenGaps) },
        { "total_ms", quantilesByName(m_totals) },
        { "details", m_details },
    };
}

std::string LoadSummary::toText() const
{
    auto document = toJson();
    std::ostringstream text;
    for (const auto& [key, value] : document.items()) {
        if (value.is_number()) {
            text << key << " " << value << "\n";
            continue;
        }
        if (value.is_array()) {
            for (const auto& item : value)
                text << key << " " << item.get<std::string>() << "\n";
            continue;
        }
        for (const auto& [name, item] : value.items())
            text << key << " " << name << " " << item.dump() << "\n";
    }
    return text.str();
}

} // namespace chestnut
