#include "gateway/GatewayFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t commonPart = 1;
constexpr uint64_t crashingPart = 7;

/** Decode engines that crash on one part and are started again, and requests of which no two are alike. */
struct CrashingEngines : GatewayFixture {
    CrashingEngines() { restartEngines(); }

    void restartEngines()
    {
        ++m_start;
        for (const auto* id : { "i-1", "i-2", "i-3", "i-4" })
            store.put(std::string("servers/") + id, testEntry("s", "decode", "a", "ready", m_start));
        settle();
    }

    /** Returns whether the request reached an engine. */
    bool runWith(uint64_t part, bool crashes)
    {
        ScriptedResponse response;
        response.chunks = crashes ? std::vector<std::string> {} : std::vector<std::string> { "id: 1\ndata: t1\n\n" };
        response.closesEarly = crashes;
        for (const auto* id : { "i-1", "i-2", "i-3", "i-4" })
            replicaClient.scripts[ReplicaId(id)] = { response };
        body = "body " + std::to_string(++m_number);
        auto before = replicaClient.sent.size();
        FakeWriter writer;
        runRequest(route(RouteKind::Streaming, attempts, attempts > 1), writer, PromptShape { "m", 300, 9, { { commonPart, 100 }, { part, 100 }, { 1000 + m_number, 100 } } }, 100ms);
        return replicaClient.sent.size() > before;
    }

    uint32_t attempts = 1; /**< allowed by the route */

private:
    int m_start = 0;
    uint64_t m_number = 0;
};

} // namespace

TEST_CASE("requests that share a part which crashes engines are blocked although no two are alike")
{
    CrashingEngines fixture;
    int crashes = 0;
    int begun = 0;
    for (int i = 0; i < 10; ++i) {
        crashes += fixture.runWith(crashingPart, true) ? 1 : 0;
        fixture.restartEngines();
        begun += fixture.runWith(20 + static_cast<uint64_t>(i), false) ? 1 : 0;
    }
    CHECK(crashes <= 4);
    CHECK(begun == 10);
}

TEST_CASE("a request that crashed an engine is not retried when a part of its prompt is already suspected")
{
    CrashingEngines fixture;
    fixture.attempts = 2;
    for (int i = 0; i < 5; ++i) {
        fixture.runWith(crashingPart, true);
        fixture.restartEngines();
    }
    // Two requests with a retry each, and one without a retry.
    CHECK(fixture.replicaClient.sent.size() == 5);
}
