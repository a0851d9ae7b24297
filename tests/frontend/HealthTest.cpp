#include "frontend/FrontendFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** Sends prompts of 400 tokens one after another, so that each request runs alone. */
void sendAlone(FrontendFixture& fixture, int count)
{
    for (int i = 0; i < count; ++i) {
        fixture.sendRequest(fixture.completion(std::string(1600, 'p') + std::to_string(i), 2));
        fixture.advance(1500ms);
    }
}

} // namespace

// Guards against ejecting healthy engines whose rates were learned from fewer samples, and against a slow engine that counts
// as healthy once its slow rate is learned.
TEST_CASE("engines are compared by one expected latency, however many samples each one has")
{
    FrontendFixture fixture(4);
    for (uint16_t port = 1; port <= 4; ++port)
        fixture.engines.at(port).firstDelay = 400ms; // 8 times slower than expected by the initial rate
    fixture.draining.insert(ReplicaId("e4"));
    sendAlone(fixture, 90);
    fixture.draining = { ReplicaId("e1"), ReplicaId("e2") };
    sendAlone(fixture, 30);
    CHECK(fixture.log.recent(EventId::ReplicaHealthChanged).empty());
    fixture.draining.clear();
    sendAlone(fixture, 60);
    CHECK(fixture.log.recent(EventId::ReplicaHealthChanged).empty());
    fixture.engines.at(4).firstDelay = 2s;
    fixture.draining = { ReplicaId("e1"), ReplicaId("e2"), ReplicaId("e3") };
    for (int i = 0; i < 12; ++i) {
        fixture.sendRequest(fixture.completion(std::string(1600, 'p') + std::to_string(i), 2));
        fixture.advance(4s);
    }
    CHECK_FALSE(fixture.log.recent(EventId::ReplicaHealthChanged).empty());
}
