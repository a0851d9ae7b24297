#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

NoticeContent naming(std::optional<double> perSecond)
{
    NoticeContent content;
    content.rate = RateNotice { perSecond };
    return content;
}

/** The most requests that the users allow in 4 s. */
double mostAllowed(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

/** Replicas of one service, of which some name a rate limit. */
struct LimitedReplicas : GatewayFixture {
    explicit LimitedReplicas(std::vector<const char*> stages, int count = 2)
    {
        for (const auto* stage : stages) {
            for (int i = 1; i <= count; ++i) {
                auto id = std::string("i-") + stage + "-" + std::to_string(i);
                addReplica(id, "s", stage);
                ScriptedResponse response;
                response.delay = 5ms;
                if (std::string_view(stage) == "decode")
                    response.chunks = { "id: 1\ndata: t\n\n" };
                replicaClient.scripts[ReplicaId(id)] = { response };
            }
        }
    }

    void announce(const std::string& id, std::optional<double> perSecond) { replicaClient.notices[ReplicaId(id)] = naming(perSecond); }

    size_t callsTo(const std::string& id) const
    {
        auto calls = std::ranges::count(replicaClient.prefills, ReplicaId(id));
        return static_cast<size_t>(calls + std::ranges::count(replicaClient.sent, ReplicaId(id), &FakeReplicaClient::Sent::replica));
    }

    Route plainRoute(uint32_t priority = 0)
    {
        auto result = route(RouteKind::NonIdempotent, 1);
        result.priority = priority;
        return result;
    }

    /** Starts `perSecond` requests a second for the given time. */
    void load(const Route& each, double perSecond, Duration time, std::optional<PromptShape> prompt = {})
    {
        auto gap = fromSeconds(1 / perSecond);
        for (Duration elapsed = 0s; elapsed < time; elapsed += gap) {
            writers.push_back(std::make_unique<FakeWriter>());
            start(each, *writers.back(), prompt);
            timers.advance(gap);
        }
    }

    ptrdiff_t countStatus(int status) const
    {
        return std::ranges::count_if(writers, [status](const auto& writer) { return writer->status == status; });
    }

    std::vector<std::unique_ptr<FakeWriter>> writers;
};

} // namespace

// Guards against LIMIT: a replica gets more requests than it takes.
TEST_CASE("a replica that names a rate limit gets no more than that, and the other replicas take the rest")
{
    LimitedReplicas fixture({ "none" });
    fixture.announce("i-none-1", 4);
    for (auto& [id, script] : fixture.replicaClient.scripts)
        script.front().delay = 60ms;
    fixture.load(fixture.plainRoute(), 50, 4s);
    fixture.timers.advance(100ms);
    CHECK(static_cast<double>(fixture.callsTo("i-none-1")) <= mostAllowed(4));
    CHECK(fixture.callsTo("i-none-1") >= 12);
    CHECK(fixture.countStatus(200) == 200);
}

TEST_CASE("a rate limit ends with the first response that names none")
{
    LimitedReplicas fixture({ "none" }, 1);
    fixture.announce("i-none-1", 0);
    fixture.load(fixture.plainRoute(), 20, 2s);
    CHECK(fixture.callsTo("i-none-1") <= 3);
    fixture.announce("i-none-1", std::nullopt);
    fixture.load(fixture.plainRoute(), 20, 20s);
    auto served = fixture.countStatus(200);
    fixture.load(fixture.plainRoute(), 20, 2s);
    CHECK(fixture.countStatus(200) == served + 40);
}

TEST_CASE("a limit holds for one process start of a replica")
{
    LimitedReplicas fixture({ "none" }, 1);
    fixture.announce("i-none-1", 0.5);
    fixture.load(fixture.plainRoute(), 10, 1s);
    fixture.announce("i-none-1", std::nullopt);
    fixture.store.put("servers/i-none-1", testEntry("s", "none", "a", "ready", 2));
    fixture.settle();
    fixture.writers.clear();
    fixture.load(fixture.plainRoute(), 10, 2s);
    CHECK(fixture.countStatus(200) == 20);
}

TEST_CASE("when all replicas are at their rate limits, urgent requests go first and the others are refused with the time to wait")
{
    LimitedReplicas fixture({ "none" });
    fixture.announce("i-none-1", 5);
    fixture.announce("i-none-2", 5);
    fixture.otherRoutes.push_back(fixture.plainRoute(3));
    fixture.otherRoutes.back().host = "other";
    auto urgent = fixture.plainRoute(0);
    auto relaxed = fixture.plainRoute(3);
    fixture.load(urgent, 10, 500ms);
    fixture.writers.clear();
    std::vector<size_t> relaxedWriters;
    for (int i = 0; i < 100; ++i) {
        fixture.load(i % 2 == 0 ? urgent : relaxed, 40, 25ms);
        if (i % 2 == 1)
            relaxedWriters.push_back(fixture.writers.size() - 1);
    }
    fixture.timers.advance(3s);
    size_t urgentServed = 0;
    size_t relaxedServed = 0;
    for (size_t i = 0; i < fixture.writers.size(); ++i) {
        auto isServed = fixture.writers[i]->status == 200 ? 1U : 0U;
        (i % 2 == 0 ? urgentServed : relaxedServed) += isServed;
        if (!isServed) {
            CHECK(fixture.writers[i]->status == 503);
            CHECK(fixture.writers[i]->headers.contains("Retry-After"));
        }
    }
    CHECK(urgentServed >= 2 * relaxedServed);
    CHECK(urgentServed + relaxedServed >= 25);
    for (const auto* id : { "i-none-1", "i-none-2" })
        CHECK(static_cast<double>(fixture.callsTo(id)) <= 1.5 * 5 * 6 + 5);
}

// Guards against prompts that decode engines read, at the cost of their streams, because the prefill engines are limited.
TEST_CASE("a prompt waits for a prefill engine that is at its rate limit")
{
    LimitedReplicas fixture({ "prefill", "decode" });
    fixture.replicaClient.prefillModel.emplace();
    fixture.recordCalls(100, 10ms, 20ms);
    fixture.announce("i-prefill-1", 4);
    fixture.announce("i-prefill-2", 4);
    fixture.load(fixture.route(RouteKind::Streaming, 1), 6, 5s, GatewayFixture::longPrompt());
    fixture.timers.advance(3s);
    CHECK(std::ranges::all_of(fixture.replicaClient.sent, [](const auto& sent) { return sent.handle.has_value(); }));
    CHECK(fixture.countStatus(200) >= 25);
}

TEST_CASE("a decode engine at its rate limit gets no more streams than it takes")
{
    LimitedReplicas fixture({ "decode" });
    fixture.announce("i-decode-1", 3);
    fixture.load(fixture.route(RouteKind::Streaming, 1), 40, 4s, PromptShape { "m", 10, 2, { { 3, 10 } } });
    CHECK(static_cast<double>(fixture.callsTo("i-decode-1")) <= mostAllowed(3));
    CHECK(fixture.countStatus(200) == 160);
}

TEST_CASE("daemons learn a rate limit and the demand from each other, and forget a limit that has ended")
{
    LimitedReplicas first({ "none" }, 1);
    LimitedReplicas second({ "none" }, 1);
    FleetReports sender(*first.loadTracker, first.speeds, first.replicas);
    FleetReports receiver(*second.loadTracker, second.speeds, second.replicas);
    sender.shareDemand(first.rateLimiter);
    receiver.shareDemand(second.rateLimiter);
    auto exchange = [&] {
        LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 9000 } }, LoadScope::Daemon };
        sender.addTo(message, 100ms);
        auto decoded = decodeLoadMessage(encodeLoadMessage(message).front());
        REQUIRE(decoded.has_value());
        CHECK(decoded->rateLimits == message.rateLimits);
        REQUIRE(decoded->demands.size() == message.demands.size());
        for (size_t i = 0; i < message.demands.size(); ++i)
            CHECK(decoded->demands[i].perSecond == doctest::Approx(message.demands[i].perSecond));
        receiver.apply(*decoded, ReportOrigin::Daemon);
    };
    const auto& entry = second.replicas.find(ReplicaId("i-none-1"))->entry;
    first.announce("i-none-1", 8);
    first.load(first.plainRoute(), 10, 2s);
    exchange();
    CHECK(second.replicas.rateLimitOf(entry) == 8);
    // Without demand of its own the second daemon leaves the whole limit to the first one.
    CHECK_FALSE(second.rateLimiter.mayRequest(entry, 8));
    first.announce("i-none-1", std::nullopt);
    first.load(first.plainRoute(), 10, 2s);
    exchange();
    CHECK_FALSE(second.replicas.rateLimitOf(entry).has_value());
}
