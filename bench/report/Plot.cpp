#include "bench/report/Plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <string_view>

namespace chestnut::bench {

namespace {

    constexpr std::array<std::string_view, 5> policies { "ours", "round_robin", "least_in_flight", "two_choices", "all_knowing" };
    constexpr std::array<std::string_view, 5> colours { "#1b6ca8", "#b0b0b0", "#c98f3c", "#7a9e5f", "#333333" };
    constexpr std::array<std::string_view, 2> deployments { "tanner", "saranrat" };
    constexpr int panelWidth = 360;
    constexpr int panelHeight = 150;
    constexpr int labelWidth = 110;
    constexpr int barWidth = 170;
    constexpr int barHeight = 16;
    constexpr int rowHeight = 22;
    constexpr int titleHeight = 24;

    struct Panel {
        std::string_view title;
        std::string_view scenario;
        double Row::*member;
    };

    constexpr std::array panels {
        Panel { "head-of-line delay, mean, ms", "head_of_line", &Row::delayMean },
        Panel { "head-of-line delay, 99%, ms", "head_of_line", &Row::delayP99 },
        Panel { "slowed replicas: first token, 99%, ms", "slow_replicas", &Row::p99 },
        Panel { "slowed replicas: last token, 99%, ms", "slow_replicas", &Row::last99 },
    };

    double valueOf(const std::vector<Row>& rows, std::string_view deployment, const Panel& panel, std::string_view policy)
    {
        auto found = std::ranges::find_if(rows, [&](const Row& row) {
            return row.deployment == deployment && row.scenario == panel.scenario && row.policy == policy;
        });
        return found == rows.end() ? 0 : (*found).*panel.member;
    }

    void addPanel(std::ostream& svg, const std::vector<Row>& rows, std::string_view deployment, const Panel& panel, int left, int top)
    {
        double largest = 1;
        for (auto policy : policies)
            largest = std::max(largest, valueOf(rows, deployment, panel, policy));
        svg << "<text x=\"" << left << "\" y=\"" << top + 14 << "\" font-weight=\"bold\">" << deployment << ": " << panel.title << "</text>\n";
        for (size_t index = 0; index < policies.size(); index++) {
            auto value = valueOf(rows, deployment, panel, policies[index]);
            auto y = top + titleHeight + rowHeight * static_cast<int>(index);
            auto width = static_cast<int>(barWidth * value / largest);
            svg << "<text x=\"" << left << "\" y=\"" << y + 12 << "\">" << policies[index] << "</text>";
            svg << "<rect x=\"" << left + labelWidth << "\" y=\"" << y << "\" width=\"" << width << "\" height=\"" << barHeight
                << "\" fill=\"" << colours[index] << "\"/>";
            svg << "<text x=\"" << left + labelWidth + width + 4 << "\" y=\"" << y + 12 << "\">" << std::lround(value) << "</text>\n";
        }
    }

} // namespace

std::string formatPlot(const std::vector<Row>& rows)
{
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << panelWidth * deployments.size() << "\" height=\"" << panelHeight * panels.size()
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    for (size_t column = 0; column < deployments.size(); column++) {
        for (size_t line = 0; line < panels.size(); line++)
            addPanel(svg, rows, deployments[column], panels[line], panelWidth * static_cast<int>(column) + 8, panelHeight * static_cast<int>(line) + 8);
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace chestnut::bench
