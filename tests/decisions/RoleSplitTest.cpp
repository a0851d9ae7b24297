#include "decisions/split/RoleSplit.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

using namespace chestnut;

namespace {

std::vector<SplitEngine> fleet(size_t prefill, size_t decode)
{
    std::vector<SplitEngine> engines;
    for (size_t i = 0; i < prefill + decode; ++i)
        engines.push_back({ ReplicaId("i-" + std::to_string(i)), AvailabilityZone(i % 2 == 0 ? "a" : "b"), i < prefill ? EngineStage::Prefill : EngineStage::Decode, false });
    return engines;
}

void applyChange(std::vector<SplitEngine>& engines, const StageChange& change)
{
    std::ranges::find(engines, change.id, &SplitEngine::id)->stage = change.stage;
}

size_t decodeCount(const std::vector<SplitEngine>& engines)
{
    return static_cast<size_t>(std::ranges::count(engines, EngineStage::Decode, &SplitEngine::stage));
}

} // namespace

TEST_CASE("before any traffic about a third of the engines decode")
{
    auto engines = fleet(4, 10);
    while (auto change = nextStageChange(engines, { 0, 12, false }))
        applyChange(engines, *change);
    CHECK(decodeCount(engines) == 5);
}

TEST_CASE("a demand that fluctuates within three seconds changes the stage of no engine")
{
    auto engines = fleet(9, 5);
    size_t changes = 0;
    double smoothed = 28;
    for (int step = 0; step < 300; ++step) {
        auto demand = 28 + 20 * std::sin(step * 0.2 / 2.8 * 3.14159);
        smoothed += (demand - smoothed) * 0.025;
        if (auto change = nextStageChange(engines, { smoothed, 12, true })) {
            applyChange(engines, *change);
            ++changes;
        }
    }
    CHECK(changes == 0);
}

TEST_CASE("a lasting shift to long outputs changes engines to the decode stage")
{
    auto engines = fleet(9, 5);
    while (auto change = nextStageChange(engines, { 60, 12, true }))
        applyChange(engines, *change);
    CHECK(decodeCount(engines) >= 10);
    CHECK(lacksDecodeCapacity(fleet(9, 4), { 60, 12, true }));
    CHECK_FALSE(lacksDecodeCapacity(fleet(9, 5), { 60, 12, true }));
}

TEST_CASE("both stages keep a minimum of engines, whatever the demand")
{
    CHECK(desiredDecodeEngines({ 10'000, 12, true }, 14) == 11);
    CHECK(desiredDecodeEngines({ 0, 12, true }, 14) == 3);
    CHECK(desiredDecodeEngines({ 0, 12, true }, 2) == 1);
    CHECK(desiredDecodeEngines({ 0, 12, true }, 1) == 1);
}

TEST_CASE("an engine whose stage is changing gets no further order")
{
    auto engines = fleet(1, 5);
    for (auto& engine : engines)
        engine.isChanging = true;
    CHECK_FALSE(nextStageChange(engines, { 0, 12, false }).has_value());
}

TEST_CASE("the engine is taken from the zone with most engines of its stage")
{
    auto engines = fleet(0, 6);
    engines[1].stage = EngineStage::Prefill;
    auto change = nextStageChange(engines, { 0, 12, false });
    REQUIRE(change.has_value());
    CHECK(std::ranges::find(engines, change->id, &SplitEngine::id)->zone == AvailabilityZone("a"));
}
