#include "programs/chestnutrouted/DaemonSettings.h"
#include "programs/chestnutrouted/GatewayDaemonSettings.h"

#include <algorithm>
#include <boost/leaf.hpp>
#include <doctest/doctest.h>
#include <fstream>

using namespace chestnut;

namespace {

/** Returns the settings that the first column of a page's table lists, sorted. */
std::vector<std::string> documentedSettings(const std::string& name)
{
    std::ifstream page(std::string(CHESTNUT_SOURCE_DIR) + "/docs/" + name);
    constexpr std::string_view rowStart = "| `";
    std::vector<std::string> names;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with(rowStart))
            names.push_back(line.substr(rowStart.size(), line.find('`', rowStart.size()) - rowStart.size()));
    }
    std::ranges::sort(names);
    return names;
}

} // namespace

// Guards against a setting that operators cannot look up, and against a documented one that the daemon refuses.
TEST_CASE("docs/settings.md lists exactly the settings of the daemon")
{
    auto reader = std::move(SettingsReader::fromText("").value());
    readDaemonSettings(reader);
    CHECK(reader.declaredSettings() == documentedSettings("settings.md"));
}

TEST_CASE("docs/gateway-settings.md lists exactly the settings of the gateway")
{
    auto reader = std::move(SettingsReader::fromText("").value());
    readGatewayDaemonSettings(reader);
    CHECK(reader.declaredSettings() == documentedSettings("gateway-settings.md"));
}
