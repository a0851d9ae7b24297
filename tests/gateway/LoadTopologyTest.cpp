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

/** The other daemons of a fleet as daemon `self` sees them, all alive. */
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

TEST_CASE("a small fleet forms a full mesh")
{
    auto topology = loadTopologyFor(daemonOf(0), othersOf(0, 6));
    CHECK(topology.isMesh);
    CHECK(topology.ownWorkTargets.size() == 5);
}

TEST_CASE("in a large fleet the number of messages does not grow with the square of the fleet")
{
    size_t sent = 0;
    for (int self = 0; self < 69; ++self) {
        auto topology = loadTopologyFor(daemonOf(self), othersOf(self, 69));
        CHECK_FALSE(topology.isMesh);
        sent += topology.ownWorkTargets.size() + topology.zoneSumTargets.size() + topology.totalTargets.size();
        CHECK(topology.isCollector == (self < 6));
        CHECK(topology.sendsZoneSum == (self < 3));
    }
    // Two from each daemon to its collectors, one from each collector to each daemon of its zone, and the sums between zones.
    CHECK(sent < 5 * 69);
}

TEST_CASE("when a collector stops sending messages, the next daemon of the zone becomes a collector")
{
    auto others = othersOf(6, 69);
    std::ranges::find(others, daemonOf(0).id, [](const DaemonView& view) { return view.record.id; })->timeSinceMessage = 2s;
    CHECK(loadTopologyFor(daemonOf(6), others).isCollector);
    CHECK_FALSE(loadTopologyFor(daemonOf(6), othersOf(6, 69)).isCollector);
}

TEST_CASE("a daemon without messages from its zone sends its work to all daemons of the zone")
{
    auto others = othersOf(20, 69);
    for (auto& view : others)
        view.timeSinceMessage = 5s;
    auto topology = loadTopologyFor(daemonOf(20), others);
    CHECK(topology.ownWorkTargets.size() == 22);
}

// Guards against a collector whose link is filled by the sums that it sends, so that its calls to the store time out.
TEST_CASE("the daemons of a zone with the fastest links collect its load messages")
{
    auto others = othersOf(0, 69);
    for (auto& view : others)
        view.record.linkMegabits = 10;
    auto self = daemonOf(0);
    self.linkMegabits = 10;
    CHECK(loadTopologyFor(self, others).isCollector);
    size_t faster = 0;
    for (auto& view : others) {
        if (view.record.zone == self.zone && faster < collectorsPerZone) {
            view.record.linkMegabits = 200;
            ++faster;
        }
    }
    CHECK_FALSE(loadTopologyFor(self, others).isCollector);
}
