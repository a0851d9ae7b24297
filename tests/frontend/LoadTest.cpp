#include "frontend/FrontendFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

MemberRecord readyMember(const std::string& id)
{
    return { DaemonId(id), 1, 1, MemberState::Ready, AvailabilityZone("a"), Region("r"), "127.0.0.1:" + id.substr(1) };
}

/** daemonsSharing() for daemons and replicas of one zone. */
double sharing(size_t daemons, size_t replicas)
{
    std::vector<MemberRecord> members;
    members.reserve(daemons);
    for (size_t i = 0; i < daemons; ++i)
        members.push_back(readyMember("d" + std::to_string(i)));
    std::vector<SubsetCandidate> candidates;
    candidates.reserve(replicas);
    for (size_t i = 0; i < replicas; ++i)
        candidates.push_back({ ReplicaId("e" + std::to_string(i)), AvailabilityZone("a"), Region("r") });
    return daemonsSharing(members, readyMember("d0"), candidates);
}

} // namespace

// Guards against each daemon using the full capacity of replicas that all daemons share.
TEST_CASE("a replica's capacity is divided by the daemons that share it")
{
    CHECK(sharing(6, 14) == 6);
    CHECK(sharing(330, 130) == doctest::Approx(60.92).epsilon(0.001));
    CHECK(sharing(2, 100) == 1);
    CHECK(sharing(0, 0) == 1);
    FrontendFixture fixture;
    fixture.peers.others = { readyMember("d2"), readyMember("d3"), readyMember("d4") };
    fixture.peers.others[2].state = MemberState::Leaving;
    fixture.advance(1s);
    for (const auto& view : fixture.frontend->replicas().views(groupOf(ModelId("m1"))))
        CHECK(view.daemonShare == doctest::Approx(1.0 / 3));
}

// Guards against a fully loaded daemon that keeps its callers while other daemons have capacity.
TEST_CASE("discovery moves accounts away from a daemon that uses more than its share")
{
    FrontendFixture fixture; // 16 slots
    fixture.peers.others = { readyMember("d2"), readyMember("d3"), readyMember("d4") };
    fixture.advance(1s);
    auto accountsHere = [&fixture] {
        size_t count = 0;
        for (int i = 0; i < 200; ++i)
            count += entryPoints(AccountId("account" + std::to_string(i)), AvailabilityZone("a"), fixture.peers.members()).front().address == fixture.peers.record.callerAddress;
        return count;
    };
    CHECK(fixture.peers.record.loadPermille == 0);
    CHECK(accountsHere() > 25);
    for (uint16_t port : { 1, 2 })
        fixture.engines.at(port).tokenDelay = 200ms;
    for (int i = 0; i < 4; ++i) {
        fixture.sendRequest(fixture.completion("p", 50));
        fixture.advance(500ms);
    }
    fixture.advance(1s);
    CHECK(fixture.peers.record.loadPermille == 1000);
    CHECK(accountsHere() == 0);
    fixture.advance(20s);
    CHECK(fixture.peers.record.loadPermille == 0);
}
