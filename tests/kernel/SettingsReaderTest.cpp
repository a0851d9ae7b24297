#include "kernel/settings/SettingsReader.h"

#include <boost/leaf.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

SettingsReader readerFor(std::string_view text)
{
    return std::move(SettingsReader::fromText(text).value());
}

} // namespace

// Guards against a reader that stops at the first fault, so that operators find their errors one at a time.
TEST_CASE("all faults of the settings are reported together")
{
    auto reader = readerFor("[limits]\nqueue = -1\ntimeout = soon\nqueu = 5\n[listen]\ncallers = example.org:80\n");
    reader.integer("limits", "queue", 10, 0, 100);
    reader.duration("limits", "timeout", 1s, 1ms, 1h);
    reader.endpoint("listen", "callers");
    reader.text("vm", "id");
    auto faults = reader.faults();
    REQUIRE(faults.size() == 5);
    CHECK(faults[0] == SettingFault { "limits.queue", "-1", "an integer from 0 to 100" });
    CHECK(faults[1].setting == "limits.timeout");
    CHECK(faults[2].setting == "listen.callers");
    CHECK(faults[3] == SettingFault { "vm.id", "(missing)", "a value is required" });
    CHECK(faults[4] == SettingFault { "limits.queu", "5", "no such setting" });
}

// Guards against values that change when they are formatted and parsed, and against invalid text that is accepted.
TEST_CASE("durations and endpoints are unchanged after a round trip through text")
{
    for (auto duration : { 250ms, 5000ms, 120000ms, 7200000ms })
        CHECK(parseDuration(formatDuration(Duration(duration))) == Duration(duration));
    CHECK(parseDuration("-5s") == std::nullopt);
    CHECK(parseDuration("99999999999999h") == std::nullopt);
    CHECK(parseEndpoint("[::1]:80") == Endpoint { "::1", 80 });
    CHECK(formatEndpoint(Endpoint { "::1", 80 }) == "[::1]:80");
    CHECK_FALSE(parseEndpoint("localhost:80"));
    CHECK_FALSE(parseEndpoint("127.0.0.1:70000"));
}

// Guards against a daemon that does not start on a platform that has no value for an optional line of its template.
TEST_CASE("a placeholder that was not filled in counts as absent")
{
    auto reader = readerFor("[limits]\nmemory = {{limits.memory_mb}}\n[listen]\npeers = 10.0.0.1:{{internal_ports.1}}\ncallers = {{ip}}:80\n");
    CHECK(reader.integer("limits", "memory", 7, 0, 100) == 7);
    CHECK(reader.endpoint("listen", "peers", Endpoint()) == Endpoint());
    reader.endpoint("listen", "callers");
    REQUIRE(reader.faults().size() == 1);
    CHECK(reader.faults().front().setting == "listen.callers");
}
