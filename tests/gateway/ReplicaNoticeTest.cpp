#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

const NoticeContent leaving { true, {}, {} };
const NoticeContent backoff { false, 3s, {} };
const std::string event = "id: 1\ndata: t\n\n";

/** Two replicas of each stage; those with the number 1 are in the daemon's zone and therefore preferred. */
struct Replicas : GatewayFixture {
    Replicas()
    {
        for (const auto* stage : { "none", "prefill", "decode" }) {
            addReplica(std::string("i-") + stage + "-1", "s", stage);
            addReplica(std::string("i-") + stage + "-2", "s", stage, "b");
        }
    }

    ScriptedResponse stream(bool closesEarly = false)
    {
        ScriptedResponse response;
        response.chunks = { event };
        response.closesEarly = closesEarly;
        return response;
    }

    ScriptedResponse refusal() const
    {
        ScriptedResponse response;
        response.status = 503;
        response.executionStatus = ExecutionStatus::NotExecuted;
        return response;
    }

    void script(const std::string& id, ScriptedResponse response) { replicaClient.scripts[ReplicaId(id)] = { std::move(response) }; }

    FakeWriter call()
    {
        FakeWriter writer;
        runRequest(route(RouteKind::NonIdempotent, 1), writer);
        return writer;
    }

    FakeWriter generate(bool isLong, bool isResumable = false)
    {
        FakeWriter writer;
        auto prompt = isLong ? longPrompt() : PromptShape { "m", 10, 2, { { 3, 10 } } };
        runRequest(route(RouteKind::Streaming, isResumable ? 3 : 1, isResumable), writer, std::move(prompt));
        return writer;
    }

    /** Calls to a replica, of all kinds. */
    size_t callsTo(const std::string& id) const
    {
        auto calls = std::ranges::count(replicaClient.prefills, ReplicaId(id));
        return static_cast<size_t>(calls + std::ranges::count(replicaClient.sent, ReplicaId(id), &FakeReplicaClient::Sent::replica));
    }

    void announce(const std::string& id, const NoticeContent& content) { replicaClient.notices[ReplicaId(id)] = content; }

    /** The id of the prefill engine that takes the long prompt. */
    std::string prefillEngine()
    {
        generate(true);
        return replicaClient.prefills.back().value();
    }
};

} // namespace

TEST_CASE("after a response that announces a departure, a plain replica gets no call, whatever the store and its failures say")
{
    Replicas fixture;
    fixture.announce("i-none-1", leaving);
    CHECK(fixture.call().status == 200);
    for (int heartbeat : { 2, 3 }) {
        fixture.store.put("servers/i-none-1", testEntry("s", "none", "a", "ready", 1, heartbeat));
        fixture.settle();
        CHECK(fixture.call().status == 200);
        fixture.store.isDown = heartbeat == 2;
        fixture.settle();
    }
    CHECK(fixture.callsTo("i-none-1") == 1);
    // The other replica fails: a retry must not go to the leaving one either.
    fixture.script("i-none-2", fixture.refusal());
    auto refused = fixture.call();
    CHECK(refused.status == 503);
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(fixture.callsTo("i-none-1") == 1);
}

TEST_CASE("an engine that announces its departure in the response to a prefill gets no further prefill")
{
    Replicas fixture;
    auto engine = fixture.prefillEngine();
    fixture.announce(engine, leaving);
    CHECK(fixture.generate(true).status == 200);
    auto calls = fixture.callsTo(engine);
    CHECK(fixture.generate(true).status == 200);
    CHECK(fixture.callsTo(engine) == calls);
}

TEST_CASE("a stream on a leaving engine ends in full, and later decodes, also after a prefill, go elsewhere")
{
    for (auto isLong : { false, true }) {
        CAPTURE(isLong);
        Replicas fixture;
        fixture.script("i-decode-1", fixture.stream());
        fixture.announce("i-decode-1", leaving);
        auto writer = fixture.generate(isLong);
        CHECK(writer.body == event);
        CHECK(writer.isFinished);
        CHECK(fixture.generate(isLong).status == 200);
        CHECK(fixture.callsTo("i-decode-1") == 1);
    }
}

// Guards against a second prefill of a prompt whose decode was never sent.
TEST_CASE("the handle of a decode that was not sent, as the engine wants no requests, is used at another engine")
{
    Replicas fixture;
    ScriptedResponse notSent;
    notSent.error = makeError(ErrorKind::Overloaded, "not sent");
    fixture.script("i-decode-1", notSent);
    CHECK(fixture.generate(true).status == 200);
    CHECK(fixture.replicaClient.prefills.size() == 1);
    CHECK(fixture.replicaClient.sent.back().handle.has_value());
}

TEST_CASE("an interrupted stream is not resumed at a leaving engine")
{
    Replicas fixture;
    fixture.script("i-decode-1", fixture.stream());
    fixture.announce("i-decode-1", leaving);
    fixture.generate(false);
    fixture.script("i-decode-2", fixture.stream(true));
    auto writer = fixture.generate(false, true);
    CHECK(writer.wasAborted);
    CHECK(fixture.callsTo("i-decode-1") == 1);
}

TEST_CASE("a departure ends with the next start, which a late response of the previous start does not affect")
{
    Replicas fixture;
    auto late = fixture.stream();
    late.delay = 1500ms;
    fixture.script("i-none-1", late);
    fixture.announce("i-none-1", leaving);
    FakeWriter writer;
    fixture.start(fixture.route(RouteKind::NonIdempotent, 1), writer);
    fixture.store.put("servers/i-none-1", testEntry("s", "none", "a", "ready", 2));
    fixture.timers.advance(2s);
    CHECK(writer.status == 200);
    CHECK(mayReceiveWork(*fixture.replicas.find(ReplicaId("i-none-1"))));
    fixture.call();
    CHECK_FALSE(mayReceiveWork(*fixture.replicas.find(ReplicaId("i-none-1"))));
    fixture.store.put("servers/i-none-1", testEntry("s", "none", "a", "ready", 3));
    fixture.settle();
    CHECK(mayReceiveWork(*fixture.replicas.find(ReplicaId("i-none-1"))));
}

TEST_CASE("a departure is reported to peers, and only the replica at the address can announce it")
{
    Replicas fixture;
    fixture.replicas.applyNotice({ ReplicaId("i-none-1"), "10.0.0.2:80", fixture.timers.now(), "q", leaving });
    CHECK(fixture.replicas.leaving().empty());
    fixture.replicas.applyNotice({ ReplicaId("i-none-1"), "10.0.0.1:80", fixture.timers.now(), "q", leaving });
    CHECK(fixture.replicas.leaving() == std::vector<LeavingReplica> { { ReplicaId("i-none-1"), 1, 1, true } });
}

// Guards against a replica that has announced its departure and is in use again at a daemon that was started some seconds later.
TEST_CASE("a departure is reported as long as the store lists the replica as ready, also to a daemon that has not read the entry yet")
{
    Replicas fixture;
    ReplicaId id("i-none-1");
    fixture.replicas.applyNotice({ id, "10.0.0.1:80", fixture.timers.now(), "q", leaving });
    fixture.timers.advance(20s);
    auto reports = fixture.replicas.leaving();
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().id == id);
    CHECK(reports.front().isDraining);

    ReplicaDirectory later { fixture.context, fixture.store, fixture.timers, fixture.log, fixture.loadTracker, "servers/", decodeTestEntry, [] { return 0s; }, [] { return std::nullopt; } };
    later.applyPeerLeaving(reports.front());
    later.start();
    fixture.settle();
    CHECK(later.find(id)->status == ReplicaStatus::Draining);

    SUBCASE("until its entry is removed")
    {
        fixture.store.erase("servers/i-none-1");
        fixture.timers.advance(10s);
    }
    SUBCASE("until it starts again")
    {
        fixture.store.put("servers/i-none-1", testEntry("s", "none", "a", "ready", 2));
        fixture.timers.advance(10s);
    }
    CHECK(fixture.replicas.leaving().empty());
}

TEST_CASE("a plain replica gets no first attempt and no retry until its backoff ends, without being ejected")
{
    Replicas fixture;
    fixture.script("i-none-1", fixture.refusal());
    fixture.announce("i-none-1", backoff);
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer, {}, 100ms);
    CHECK(writer.status == 200);
    for (int i = 0; i < 5; ++i) {
        FakeWriter later;
        fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), later, {}, 100ms);
        CHECK(later.status == 200);
    }
    fixture.script("i-none-2", fixture.refusal());
    FakeWriter refused;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), refused, {}, 100ms);
    CHECK(refused.status == 503);
    CHECK(fixture.callsTo("i-none-1") == 1);
    fixture.timers.advance(3s);
    CHECK_FALSE(fixture.loadTracker->observe(ReplicaId("i-none-1")).isEjected);
    CHECK(fixture.loadTracker->observe(ReplicaId("i-none-1")).requestsAtRefusal == 0);
    fixture.call();
    CHECK(fixture.callsTo("i-none-1") == 2);
}

TEST_CASE("when all replicas back off, a request is refused at once with the time until the first of them ends")
{
    for (const auto* stage : { "none", "decode" }) {
        CAPTURE(stage);
        GatewayFixture fixture;
        for (const auto& [id, time] : std::vector<std::pair<std::string, Duration>> { { "i-1", 20s }, { "i-2", 8s } }) {
            fixture.addReplica(id, "s", stage);
            fixture.replicas.applyNotice({ ReplicaId(id), "10.0.0.1:80", fixture.timers.now(), "q", { false, time, {} } });
        }
        auto prompt = std::string(stage) == "none" ? std::nullopt : std::optional(fixture.longPrompt());
        FakeWriter writer;
        fixture.runRequest(fixture.route(RouteKind::Streaming, 1), writer, prompt, 100ms);
        CHECK(writer.status == 503);
        CHECK(writer.headers.value("Retry-After") == "8.000");
        CHECK(fixture.replicaClient.sent.empty());
        // A new process start has not asked for anything.
        fixture.store.put("servers/i-1", testEntry("s", stage, "a", "ready", 2));
        fixture.settle();
        FakeWriter later;
        fixture.runRequest(fixture.route(RouteKind::Streaming, 1), later, prompt, 100ms);
        CHECK(later.status == 200);
    }
}

// Guards against requests within the time of a long Retry-After, also to an entry that was removed and written again.
TEST_CASE("a backoff of an hour holds in full, also while its entry is missing from the store for minutes")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.replicas.applyNotice({ ReplicaId("i-1"), "10.0.0.1:80", fixture.timers.now(), "q", { false, 1h, {} } });
    fixture.removeReplica("i-1");
    fixture.timers.advance(2min);
    fixture.store.put("servers/i-1", testEntry("s", "none", "a", "ready", 1, 2));
    for (auto time : { 1min, 56min }) {
        fixture.timers.advance(time);
        FakeWriter writer;
        fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer);
        CHECK(writer.status == 503);
    }
    CHECK(fixture.replicaClient.sent.empty());
    fixture.timers.advance(1min);
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer);
    CHECK(writer.status == 200);
}

TEST_CASE("a prefill engine gets no prefill and no release of a handle during its backoff")
{
    Replicas fixture;
    auto engine = fixture.prefillEngine();
    fixture.replicaClient.prefillErrors[ReplicaId(engine)] = makeError(ErrorKind::Overloaded, "refused");
    fixture.announce(engine, { false, 20s, {} });
    fixture.generate(true);
    auto calls = fixture.callsTo(engine);
    auto other = std::string(engine == "i-prefill-1" ? "i-prefill-2" : "i-prefill-1");
    fixture.store.erase("servers/" + other);
    fixture.settle();
    CHECK(fixture.generate(true).status == 200);
    CHECK(fixture.callsTo(engine) == calls);
    CHECK_FALSE(fixture.loadTracker->observe(ReplicaId(engine)).isEjected);
    // The other engine prefills the prompt and then wants no requests; the decode engines refuse, so the handle stays unused.
    fixture.store.put("servers/" + other, testEntry("s", "prefill", "a", "ready", 2));
    fixture.settle();
    fixture.announce(other, { false, 20s, {} });
    for (const auto* id : { "i-decode-1", "i-decode-2" })
        fixture.script(id, fixture.refusal());
    auto prefills = fixture.callsTo(other);
    CHECK(fixture.generate(true).status == 503);
    CHECK(fixture.callsTo(other) == prefills + 1);
    CHECK(fixture.replicaClient.released.empty());
}

TEST_CASE("a decode engine gets no decode, handed-over or resumed stream during its backoff")
{
    for (auto isLong : { false, true }) {
        CAPTURE(isLong);
        Replicas fixture;
        fixture.script("i-decode-1", fixture.refusal());
        fixture.announce("i-decode-1", { false, 20s, {} });
        CHECK(fixture.generate(isLong).status == 200);
        CHECK(fixture.generate(isLong).status == 200);
        fixture.script("i-decode-2", fixture.stream(true));
        CHECK(fixture.generate(isLong, true).wasAborted);
        CHECK(fixture.callsTo("i-decode-1") == 1);
    }
}
