#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + "\n\n";
}

ScriptedResponse stream(std::vector<std::string> chunks, bool closesEarly = false)
{
    ScriptedResponse response;
    response.chunks = std::move(chunks);
    response.closesEarly = closesEarly;
    return response;
}

/** Three decode engines; i-d1 is in the daemon's zone and therefore preferred. Only i-d2 has the version v2. */
struct TwoVersions : GatewayFixture {
    TwoVersions()
    {
        addReplica("i-d1", "s", "decode", "a", "v1");
        addReplica("i-d2", "s", "decode", "b", "v2");
        addReplica("i-d3", "s", "decode", "b", "v1");
    }

    void script(const std::string& id, std::deque<ScriptedResponse> responses) { replicaClient.scripts[ReplicaId(id)] = std::move(responses); }

    bool wasSentTo(const std::string& id) const
    {
        return std::ranges::any_of(replicaClient.sent, [&id](const auto& sent) { return sent.replica == ReplicaId(id); });
    }

    Route resumable() const
    {
        auto result = route(RouteKind::Streaming, 3, true);
        result.timeout = 15s;
        return result;
    }

    static PromptShape shortPrompt() { return { "m", 220, 90, { { 1, 220 } } }; }
};

} // namespace

// Guards against a response whose events come from engines of two software versions.
TEST_CASE("a stream goes on only at engines of the version that began it")
{
    TwoVersions fixture;
    std::vector<std::string> events { event(1), event(2), event(3), event(4), event(5), event(6) };
    auto first = stream({ event(1), event(2) }, true);
    auto isLeaving = false;
    auto hasSuccessor = true;
    SUBCASE("after its connection has broken") { }
    SUBCASE("after its engine has fallen silent")
    {
        for (int i = 0; i < 6; ++i) {
            fixture.speeds.recordFirstEvent(ServiceId("s"), 200ms);
            fixture.speeds.recordEventGap(ServiceId("s"), 10ms);
        }
        first = stream(events);
        first.delays = { { 2, 8s } };
    }
    SUBCASE("before its engine leaves")
    {
        first = stream(events);
        first.chunkDelay = 600ms;
        isLeaving = true;
    }
    SUBCASE("of which none is left")
    {
        fixture.removeReplica("i-d3");
        hasSuccessor = false;
    }
    fixture.script("i-d1", { first });
    fixture.script("i-d2", { stream(events) });
    fixture.script("i-d3", { stream(events) });
    FakeWriter writer;
    fixture.start(fixture.resumable(), writer, TwoVersions::shortPrompt());
    fixture.timers.advance(700ms);
    if (isLeaving)
        fixture.store.put("servers/i-d1", testEntry("s", "decode", "a", "draining", 1, 2) + " reclaimable 2500 version=v1");
    fixture.timers.advance(6s);
    CHECK_FALSE(fixture.wasSentTo("i-d2"));
    CHECK(fixture.wasSentTo("i-d3") == hasSuccessor);
    CHECK(writer.isFinished == hasSuccessor);
    CHECK(writer.wasAborted == !hasSuccessor);
}

// Guards against a request that is refused because its first engine was the last one of its version.
TEST_CASE("a request without an event may change the version")
{
    TwoVersions fixture;
    fixture.removeReplica("i-d3");
    fixture.script("i-d1", { stream({}, true) });
    fixture.script("i-d2", { stream({ event(1), event(2) }) });
    FakeWriter writer;
    fixture.runRequest(fixture.resumable(), writer, TwoVersions::shortPrompt());
    CHECK(fixture.wasSentTo("i-d1"));
    CHECK(writer.body == event(1) + event(2));
    CHECK(writer.isFinished);
}

namespace {

/** The same engines, and the parts that know the versions of streams. */
struct ResumedStream : TwoVersions {
    ResumedStream()
    {
        services.streamRecords = &records;
        ownKeys->start();
        defaults.start();
        records.start();
        settle();
        for (const auto* id : { "i-d1", "i-d2", "i-d3" })
            script(id, { stream({ event(3) }) });
    }

    /** Records a stream of another daemon. */
    void addStream(const std::string& attempt, const std::string& version)
    {
        records.beginWriting({ ServiceId("s"), {}, RequestId(attempt) }, 1, SoftwareVersion(version));
        settle();
    }

    void resume(std::optional<RequestId> firstAttempt)
    {
        resumption = StreamResumption { std::move(firstAttempt) };
        runRequest(resumable(), writer, shortPrompt());
    }

    DefaultVersions defaults { context, store, timers, log, ownKeys, replicas, [] { return 30s; }, [] { return 1U; } };
    StreamRecords records { context, store, timers, log, metrics, defaults, [] { return 30s; } };
    FakeWriter writer;
};

} // namespace

// Guards against a stream that its client resumes and that is placed like a new request.
TEST_CASE("a stream that its client resumes goes on only at its version")
{
    ResumedStream fixture;
    auto version = std::string("v1");
    SUBCASE("recorded at the other version")
    {
        fixture.addStream("first", "v2");
        version = "v2";
    }
    SUBCASE("without a record, at the default version") { }
    fixture.resume(RequestId("first"));
    CHECK(fixture.writer.isFinished);
    CHECK(fixture.writer.body == event(3));
    CHECK(fixture.wasSentTo("i-d2") == (version == "v2"));
    CHECK(fixture.log.recent(EventId::ResumedStreamVersion).size() == 1);
}

// Guards against a resumed stream that waits for an engine that will not come, or goes on at any version.
TEST_CASE("a resumed stream that cannot be placed is refused as not run")
{
    ResumedStream fixture;
    auto first = std::optional(RequestId("first"));
    SUBCASE("as no engine of its version is left") { fixture.addStream("first", "v3"); }
    SUBCASE("as the client names no stream, and streams of two versions can be resumed")
    {
        fixture.addStream("other", "v2");
        first.reset();
    }
    SUBCASE("as the store does not answer") { fixture.store.isDown = true; }
    fixture.resume(first);
    CHECK(fixture.writer.status == 503);
    CHECK(fixture.replicaClient.sent.empty());
}

// Guards against new streams that are recorded too late to be resumed, where the default version has room.
TEST_CASE("while no record can be written, new streams begin at the default version")
{
    ResumedStream fixture;
    fixture.store.put("servers/i-d1", testEntry("s", "decode", "a", "ready", 1, 2) + " version=v2");
    fixture.settle();
    FakeWriter writer;
    fixture.runRequest(fixture.resumable(), writer, TwoVersions::shortPrompt());
    CHECK(writer.isFinished);
    CHECK(fixture.replicaClient.sent.back().replica == ReplicaId("i-d1"));
    fixture.store.isDown = true;
    fixture.addStream("waiting", "v2");
    fixture.timers.advance(1s);
    FakeWriter later;
    fixture.runRequest(fixture.resumable(), later, TwoVersions::shortPrompt());
    CHECK(later.isFinished);
    CHECK(fixture.replicaClient.sent.back().replica == ReplicaId("i-d3"));
}

// Guards against KV cache that an engine of another software version reads.
TEST_CASE("the KV cache of a prefill is read only by engines of its version")
{
    TwoVersions fixture;
    auto isReadable = true;
    SUBCASE("at a decode engine of the version") { fixture.addReplica("i-p1", "s", "prefill", "a", "v2"); }
    SUBCASE("without a decode engine of the version")
    {
        fixture.addReplica("i-p1", "s", "prefill", "a", "v3");
        isReadable = false;
    }
    FakeWriter writer;
    fixture.runRequest(fixture.resumable(), writer, GatewayFixture::longPrompt());
    CHECK(writer.isFinished);
    CHECK(fixture.replicaClient.prefills.empty() == !isReadable);
    CHECK(fixture.replicaClient.sent.back().handle.has_value() == isReadable);
    CHECK(fixture.wasSentTo("i-d2") == isReadable);
}

// Guards against the record of a run that has brought no event, which hides that the stream has begun at the default version.
TEST_CASE("a stream that begins at the default version after a failed run elsewhere is resumed at the default version")
{
    ResumedStream fixture;
    fixture.store.put("servers/i-d1", testEntry("s", "decode", "a", "ready", 1, 2) + " version=v2");
    fixture.removeReplica("i-d2");
    ScriptedResponse failure;
    failure.error = makeError(ErrorKind::ConnectFailed, "connection refused");
    fixture.script("i-d1", { failure });
    fixture.script("i-d3", { stream({ event(1) }) });
    FakeWriter writer;
    fixture.runRequest(fixture.resumable(), writer, TwoVersions::shortPrompt());
    REQUIRE(writer.isFinished);
    CHECK(fixture.wasSentTo("i-d1"));
    StreamRecords later { fixture.context, fixture.store, fixture.timers, fixture.log, fixture.metrics, fixture.defaults, [] { return 30s; } };
    fixture.services.streamRecords = &later;
    fixture.replicaClient.sent.clear();
    fixture.script("i-d1", { stream({ event(2) }) });
    fixture.script("i-d3", { stream({ event(2) }) });
    fixture.resume(RequestId("q1"));
    CHECK(fixture.wasSentTo("i-d3"));
    CHECK_FALSE(fixture.wasSentTo("i-d1"));
}

// Guards against a resumed stream that is refused while engines of other versions would serve a new one.
TEST_CASE("a resumed stream is sent to an ejected engine when no other one of its version is left")
{
    ResumedStream fixture;
    fixture.addStream("first", "v2");
    for (int i = 0; i < 3; ++i)
        fixture.loadTracker->recordFailure(ReplicaId("i-d2"));
    REQUIRE(fixture.loadTracker->observe(ReplicaId("i-d2")).isEjected);
    fixture.resume(RequestId("first"));
    CHECK(fixture.writer.isFinished);
    CHECK(fixture.wasSentTo("i-d2"));
}
