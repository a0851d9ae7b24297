#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr int prefillEngines = 4;
constexpr uint32_t promptTokens = 4000;

/** Requests to four prefill engines and two decode engines, at a share of the prefill capacity. */
struct LoadedEngines : GatewayFixture {
    explicit LoadedEngines(double tokensPerMillisecond)
    {
        for (int i = 0; i < prefillEngines; ++i)
            addReplica("i-p" + std::to_string(i), "s", "prefill");
        for (const auto* id : { "i-d1", "i-d2" }) {
            addReplica(id, "s", "decode");
            ScriptedResponse response;
            response.chunks = { "id: 1\ndata: x\n\n" };
            response.delay = 20ms;
            replicaClient.scripts[ReplicaId(id)] = { response };
        }
        replicaClient.prefillModel = FakePrefillModel { tokensPerMillisecond };
    }

    FakePrefillModel& model() { return *replicaClient.prefillModel; }

    /** Sends requests for a time at a multiple of the engines' capacity; each prompt has its own parts. */
    void load(double capacityShare, Duration time)
    {
        auto requestTime = model().fixedTime + fromSeconds(promptTokens / model().tokensPerMillisecond / 1000);
        auto gap = fromSeconds(toSeconds(requestTime) / prefillEngines / capacityShare);
        for (Duration elapsed {}; elapsed < time; elapsed += gap) {
            writers.emplace_back();
            auto part = static_cast<uint64_t>(writers.size());
            auto newRoute = route(RouteKind::Streaming, 2, true);
            newRoute.timeout = 4s;
            start(newRoute, writers.back(), PromptShape { "m", promptTokens, 8, { { 100'000 + part, promptTokens / 2 }, { part, promptTokens / 2 } } });
            timers.advance(gap);
        }
    }

    /** Share of the requests from the given number on that were answered completely. */
    double servedSince(size_t first) const
    {
        auto served = std::count_if(writers.begin() + static_cast<ptrdiff_t>(first), writers.end(), [](const FakeWriter& writer) { return writer.status == 200 && writer.isFinished; });
        return static_cast<double>(served) / static_cast<double>(writers.size() - first);
    }

    double shareInVain() { return model().tokensInVain / model().tokensRead; }

    std::deque<FakeWriter> writers;
};

} // namespace

// Guards against limits that hold for one engine type: cut prefills are read again elsewhere, which delays all others, so
// that a load below the capacity ends in an overload that sustains itself.
TEST_CASE("engines of any speed serve a load below their capacity without a prefill in vain")
{
    for (double tokensPerMillisecond : { 8.0, 55.0, 330.0, 1500.0 }) {
        LoadedEngines fixture(tokensPerMillisecond);
        fixture.load(0.7, 8s);
        fixture.timers.advance(4s);
        CHECK(fixture.model().tokensInVain == 0);
        CHECK(fixture.servedSince(0) == 1);
    }
}

TEST_CASE("engines that become six times slower than estimated are estimated anew")
{
    LoadedEngines fixture(330);
    fixture.load(0.7, 4s);
    fixture.model().tokensPerMillisecond = 55;
    auto first = fixture.writers.size();
    fixture.load(0.7, 8s);
    fixture.timers.advance(4s);
    CHECK(fixture.servedSince(first) > 0.95);
    CHECK(fixture.shareInVain() < 0.05);
}

TEST_CASE("after a burst above the capacity all requests are served again as soon as the load falls")
{
    LoadedEngines fixture(55);
    fixture.load(0.7, 3s);
    auto burst = fixture.writers.size();
    fixture.load(2.5, 3s);
    auto after = fixture.writers.size();
    // The queues may hold as much work as the route's timeout of 4 s permits.
    fixture.load(0.6, 4s);
    auto recovered = fixture.writers.size();
    fixture.load(0.6, 4s);
    fixture.timers.advance(4s);
    // The engines can serve 1 / 2.5 of the burst; the rest is refused and not abandoned half-way.
    CHECK(fixture.servedSince(burst) > 0.5);
    CHECK(fixture.servedSince(after) > 0.8);
    CHECK(fixture.servedSince(recovered) == 1);
    CHECK(fixture.shareInVain() < 0.1);
}

TEST_CASE("the loss of half of the prefill engines costs only the calls that they had")
{
    LoadedEngines fixture(55);
    fixture.load(0.4, 3s);
    fixture.model().unresponsive = { ReplicaId("i-p0"), ReplicaId("i-p1") };
    fixture.load(0.4, 4s);
    auto first = fixture.writers.size();
    fixture.load(0.4, 4s);
    fixture.timers.advance(4s);
    CHECK(fixture.servedSince(first) > 0.9);
}

TEST_CASE("a cold prompt cache delays requests and starts no overload that sustains itself")
{
    LoadedEngines fixture(55);
    fixture.load(0.8, 3s);
    fixture.model().cachedParts.clear();
    auto first = fixture.writers.size();
    fixture.load(0.8, 5s);
    fixture.timers.advance(4s);
    CHECK(fixture.servedSince(first) > 0.98);
    CHECK(fixture.shareInVain() < 0.02);
}
