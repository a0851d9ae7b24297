#include "gateway/members/LoadTopology.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

DaemonRecord daemonOf(int number)
{
    auto id = "d" + std::string(number < 10 ? "0" : "") + std::to_string(number);
    auto address = "10.0.0." + std::to_string(number);
    return { DaemonId(id), AvailabilityZone(std::string(1, static_cast<char>('a' + number % 3))), { address, 80 }, { address, 81 } };
}

/** The others of a fleet as daemon `self` knows them, all alive. */
std::vector<DaemonView> othersOf(int self, int fleet)
{
    std::vector<DaemonView> views;
    for (int i = 0; i < fleet; ++i) {
        if (i != self)
            views.push_back({ daemonOf(i), true, 100ms, true, false });
    }
    return views;
}

} // namespace

TEST_CASE("a small fleet is a mesh")
{
    auto topology = loadTopologyFor(daemonOf(0), othersOf(0, 6));
    CHECK(topology.isMesh);
    CHECK(topology.ownWorkTargets.size() == 5);
}

TEST_CASE("in a large fleet the messages of a daemon do not grow with the square of the fleet")
{
    size_t sent = 0;
    for (int self = 0; self < 69; ++self) {
        auto topology = loadTopologyFor(daemonOf(self), othersOf(self, 69));
        CHECK_FALSE(topology.isMesh);
        sent += topology.ownWorkTargets.size() + topology.zoneSumTargets.size() + topology.totalTargets.size();
        CHECK(topology.isCollector == (self < 6));
        CHECK(topology.tellsOtherZones == (self < 3));
    }
    // Two to the collectors from each, and one from each collector to each daemon of its zone, and the sums.
    CHECK(sent < 5 * 69);
}

TEST_CASE("when a collector falls silent the next daemon of the zone collects")
{
    auto others = othersOf(6, 69);
    std::ranges::find(others, daemonOf(0).id, [](const DaemonView& view) { return view.record.id; })->silence = 2s;
    CHECK(loadTopologyFor(daemonOf(6), others).isCollector);
    CHECK_FALSE(loadTopologyFor(daemonOf(6), othersOf(6, 69)).isCollector);
}

TEST_CASE("a daemon that hears nobody of its zone tells all of them")
{
    auto others = othersOf(20, 69);
    for (auto& view : others)
        view.silence = 5s;
    auto topology = loadTopologyFor(daemonOf(20), others);
    CHECK(topology.ownWorkTargets.size() == 22);
}
