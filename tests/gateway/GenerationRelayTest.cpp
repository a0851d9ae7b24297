#include "gateway/GatewayFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + "\n\n";
}

ScriptedAnswer stream(std::vector<std::string> chunks, bool breaksOff = false)
{
    ScriptedAnswer answer;
    answer.chunks = std::move(chunks);
    answer.breaksOff = breaksOff;
    return answer;
}

ScriptedAnswer refuse()
{
    ScriptedAnswer answer;
    answer.status = 503;
    answer.verdict = ExecutionStatus::NotExecuted;
    return answer;
}

/** Two prefill and two decode engines; i-d1 is in the daemon's zone and is preferred. */
struct Engines : GatewayFixture {
    Engines()
    {
        addReplica("i-p1", "s", "prefill");
        addReplica("i-p2", "s", "prefill");
        addReplica("i-d1", "s", "decode");
        addReplica("i-d2", "s", "decode", "b");
    }

    void script(const std::string& id, std::deque<ScriptedAnswer> answers) { instances.scripts[ReplicaId(id)] = std::move(answers); }

    Route resumable() const { return route(RouteKind::Streaming, 2, true); }
    Route single() const { return route(RouteKind::Streaming, 1, false); }
};

} // namespace

TEST_CASE("a long prompt is read by a prefill engine and its tokens are made by a decode engine")
{
    Engines fixture;
    fixture.script("i-d1", { stream({ event(1) + event(2) }) });
    FakeWriter writer;
    fixture.play(fixture.single(), writer, fixture.longPrompt());
    CHECK(fixture.instances.prefills.size() == 1);
    REQUIRE(fixture.instances.sent.size() == 1);
    CHECK(fixture.instances.sent[0].handle.has_value());
    CHECK(writer.body == event(1) + event(2));
    CHECK(writer.isFinished);
    CHECK(fixture.instances.released.empty());
}

TEST_CASE("a short prompt goes straight to a decode engine")
{
    Engines fixture;
    fixture.script("i-d1", { stream({ event(1) }) });
    FakeWriter writer;
    fixture.play(fixture.single(), writer, PromptShape { "m", 220, 90, { { 1, 220 } } });
    CHECK(fixture.instances.prefills.empty());
    CHECK(writer.isFinished);
}

TEST_CASE("a broken resumable stream goes on at another engine, without a missing or a repeated event")
{
    Engines fixture;
    // The second event is torn; the engine that resumes repeats the first one.
    fixture.script("i-d1", { stream({ event(1), "id: 2\nda" }, true) });
    fixture.script("i-d2", { stream({ event(1) + event(2), event(3) }) });
    FakeWriter writer;
    fixture.play(fixture.resumable(), writer, fixture.longPrompt());
    CHECK(writer.body == event(1) + event(2) + event(3));
    CHECK(writer.isFinished);
    CHECK(fixture.instances.sent.back().resumeAfter == "1");
    CHECK_FALSE(fixture.instances.sent.back().handle.has_value());
}

TEST_CASE("a broken stream that may not be resumed ends visibly incomplete and runs once")
{
    Engines fixture;
    fixture.script("i-d1", { stream({ event(1) }, true) });
    fixture.script("i-d2", { stream({ event(1), event(2) }) });
    FakeWriter writer;
    fixture.play(fixture.single(), writer, fixture.longPrompt());
    CHECK(writer.wasAborted);
    CHECK_FALSE(writer.isFinished);
    CHECK(fixture.instances.sent.size() == 1);
}

TEST_CASE("an engine that breaks off before the first event leaves a true answer: not 503")
{
    Engines fixture;
    fixture.script("i-d1", { stream({}, true) });
    FakeWriter writer;
    fixture.play(fixture.single(), writer, fixture.longPrompt());
    CHECK(writer.status == 502);
}

TEST_CASE("a decode engine that refuses is replaced, and the prompt is not read again")
{
    Engines fixture;
    fixture.script("i-d1", { refuse() });
    fixture.script("i-d2", { stream({ event(1) }) });
    FakeWriter writer;
    fixture.play(fixture.single(), writer, fixture.longPrompt());
    CHECK(writer.isFinished);
    CHECK(fixture.instances.prefills.size() == 1);
    CHECK(fixture.instances.sent.back().handle.has_value());
}

TEST_CASE("a handle that an engine may have taken is not used again")
{
    Engines fixture;
    fixture.script("i-d1", { stream({}, true) });
    fixture.script("i-d2", { stream({ event(1) }) });
    FakeWriter writer;
    fixture.play(fixture.resumable(), writer, fixture.longPrompt());
    REQUIRE(fixture.instances.sent.size() == 2);
    CHECK(fixture.instances.sent[0].handle != fixture.instances.sent[1].handle);
    CHECK(writer.isFinished);
}

TEST_CASE("KV cache that nobody takes is freed")
{
    Engines fixture;
    fixture.script("i-d1", { refuse() });
    fixture.script("i-d2", { refuse() });
    FakeWriter writer;
    fixture.play(fixture.single(), writer, fixture.longPrompt());
    CHECK(writer.status == 503);
    CHECK(fixture.instances.released.size() == 1);
}

TEST_CASE("no prompt is read while the decode engines are saturated")
{
    Engines fixture;
    std::vector<LoadTracker::Flight> flights;
    for (const auto* id : { "i-d1", "i-d2" }) {
        for (int i = 0; i < 10; ++i)
            flights.push_back(fixture.board->begin(ReplicaId(id)));
    }
    FakeWriter writer;
    fixture.play(fixture.single(), writer, fixture.longPrompt(), 10ms);
    CHECK(writer.status == 503);
    CHECK(writer.headers.contains("Retry-After"));
    CHECK(fixture.instances.prefills.empty());
}

TEST_CASE("a prompt that cannot be read before its deadline is refused at once")
{
    Engines fixture;
    std::vector<LoadTracker::Flight> flights;
    for (const auto* id : { "i-p1", "i-p2" })
        flights.push_back(fixture.board->beginPrefill(ReplicaId(id), 3 * 1000 * prefillTokensPerMillisecond, true));
    for (const auto* id : { "i-p1", "i-p2" })
        flights.push_back(fixture.board->beginPrefill(ReplicaId(id), 200 * prefillTokensPerMillisecond, false));
    FakeWriter writer;
    fixture.play(fixture.single(), writer, fixture.longPrompt(), 10ms);
    CHECK(writer.status == 503);
    CHECK(fixture.instances.prefills.empty());
}

TEST_CASE("a prompt that cannot be on time goes behind those that can")
{
    Engines fixture;
    std::vector<LoadTracker::Flight> flights;
    for (const auto* id : { "i-p1", "i-p2" })
        flights.push_back(fixture.board->beginPrefill(ReplicaId(id), 300 * prefillTokensPerMillisecond, false));
    FakeWriter late;
    fixture.play(fixture.single(), late, fixture.longPrompt(), 10ms);
    flights.clear();
    FakeWriter punctual;
    fixture.play(fixture.single(), punctual, fixture.longPrompt(), 10ms);
    REQUIRE(fixture.instances.sent.size() == 2);
    CHECK(fixture.instances.sent[0].urgency > fixture.instances.sent[1].urgency);
}

TEST_CASE("a failed prefill is no run: the request may still be refused as not run")
{
    Engines fixture;
    for (const auto* id : { "i-p1", "i-p2" })
        fixture.instances.prefillErrors[ReplicaId(id)] = makeError(ErrorKind::BackendFailed, "reset");
    FakeWriter writer;
    fixture.play(fixture.single(), writer, fixture.longPrompt());
    CHECK(fixture.instances.prefills.size() == 2);
    CHECK(writer.status == 503);
}

TEST_CASE("without prefill engines the decode engine reads the prompt")
{
    GatewayFixture fixture;
    fixture.addReplica("i-d1", "s", "decode");
    fixture.instances.scripts[ReplicaId("i-d1")] = { stream({ event(1) }) };
    FakeWriter writer;
    fixture.play(fixture.route(RouteKind::Streaming, 1), writer, fixture.longPrompt());
    CHECK(writer.isFinished);
}

TEST_CASE("a stream without an event goes on elsewhere, but not while its engine is full")
{
    Engines fixture;
    auto silent = stream({ event(1) });
    silent.delay = 1900ms;
    fixture.script("i-d1", { silent });
    fixture.script("i-d2", { stream({ event(1) }) });
    FakeWriter writer;
    fixture.play(fixture.resumable(), writer, fixture.longPrompt(), 900ms);
    CHECK(writer.isFinished);
    std::vector<LoadTracker::Flight> flights;
    for (const auto* id : { "i-d1", "i-d2" }) {
        for (int i = 0; i < 5; ++i)
            flights.push_back(fixture.board->begin(ReplicaId(id)));
    }
    auto before = fixture.instances.sent.size();
    FakeWriter waiting;
    fixture.script("i-d2", { silent });
    fixture.play(fixture.resumable(), waiting, fixture.longPrompt(), 1500ms);
    CHECK(fixture.instances.sent.size() == before + 1);
}
