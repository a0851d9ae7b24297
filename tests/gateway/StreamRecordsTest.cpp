#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr Duration lifetime = 30s;
const ServiceId service("s");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");

using FoundVersion = std::optional<Result<StreamVersion>>;

asio::awaitable<void> awaitRecord(StreamRecords& records, StreamRecords::WritingPointer writing, std::shared_ptr<bool> isWritten)
{
    *isWritten = co_await records.awaitWritten(std::move(writing), 1s);
}

asio::awaitable<void> awaitVersion(asio::awaitable<Result<StreamVersion>> search, std::shared_ptr<FoundVersion> found)
{
    found->emplace(co_await std::move(search));
}

/** The parts of one daemon that know the versions of streams. Its end is that of a killed daemon. */
struct Daemon {
    explicit Daemon(GatewayFixture& owner)
        : fixture(owner)
    {
        mirror->start();
        defaults.start();
        records.start();
    }

    StreamName named(const std::string& attempt) const { return { service, {}, RequestId(attempt) }; }

    /** Begins a stream as the relay does. Returns whether its client may have its first event. */
    bool begin(const std::string& attempt, const SoftwareVersion& version, uint32_t run = 1)
    {
        auto writing = records.beginWriting(named(attempt), run, version);
        records.remember(named(attempt), version);
        if (!writing)
            return true;
        auto isWritten = std::make_shared<bool>(false);
        asio::co_spawn(fixture.context, awaitRecord(records, writing, isWritten), asio::detached);
        fixture.timers.advance(1500ms);
        return *isWritten;
    }

    Result<StreamVersion> find(const std::string& attempt) { return await(records.find(named(attempt))); }
    Result<StreamVersion> findOnlyVersion() { return await(records.findOnlyVersion(service)); }

    Result<StreamVersion> await(asio::awaitable<Result<StreamVersion>> search)
    {
        auto result = std::make_shared<FoundVersion>();
        asio::co_spawn(fixture.context, awaitVersion(std::move(search), result), asio::detached);
        fixture.timers.advance(2500ms);
        REQUIRE(result->has_value());
        return **result;
    }

    GatewayFixture& fixture;
    std::shared_ptr<StoreMirror> mirror = std::make_shared<StoreMirror>(fixture.context, fixture.store, fixture.timers, fixture.log, "chestnutroute/", [] { return Duration::zero(); });
    DefaultVersions defaults { fixture.context, fixture.store, fixture.timers, fixture.log, mirror, fixture.replicas, [] { return lifetime; }, [] { return 3U; } };
    StreamRecords records { fixture.context, fixture.store, fixture.timers, fixture.log, fixture.metrics, defaults, [] { return lifetime; } };
};

struct Fleet : GatewayFixture {
    Fleet() { addReplica("i-1", "s", "decode", "a", "v1"); }

    Daemon& start()
    {
        daemonsOfFleet.push_back(std::make_unique<Daemon>(*this));
        settle();
        return *daemonsOfFleet.back();
    }

    size_t storedRecords() const
    {
        return static_cast<size_t>(std::ranges::count_if(store.items(), [](const auto& item) { return item.first.starts_with("chestnutroute-streams/"); }));
    }

    std::vector<std::unique_ptr<Daemon>> daemonsOfFleet; /**< also those that have been replaced, whose tasks go on */
};

} // namespace

// Guards against a write for each stream while one version is in service.
TEST_CASE("a stream at the default version needs no record and is found by any daemon")
{
    Fleet fleet;
    CHECK(fleet.start().begin("q1", v1));
    CHECK(fleet.storedRecords() == 0);
    auto found = fleet.start().find("q1");
    REQUIRE(found.has_value());
    CHECK(*found == StreamVersion { v1, VersionSource::Default });
}

// Guards against streams that go on at another version because all daemons that knew theirs were killed.
TEST_CASE("the version of a stream is known after all daemons were killed")
{
    Fleet fleet;
    auto& before = fleet.start();
    fleet.addReplica("i-2", "s", "decode", "a", "v2");
    CHECK(before.begin("q1", v2));
    CHECK(fleet.storedRecords() == 1);
    SUBCASE("while both versions serve") { }
    SUBCASE("after the engines of the other version have left") { fleet.removeReplica("i-1"); }
    auto found = fleet.start().find("q1");
    REQUIRE(found.has_value());
    CHECK(*found == StreamVersion { v2, VersionSource::Record });
    CHECK(before.find("q1").value().source == VersionSource::Memory);
}

// Guards against a run that has brought no event and hides the version of the one that has.
TEST_CASE("the record of the last run of an attempt counts")
{
    Fleet fleet;
    auto& daemon = fleet.start();
    auto last = SoftwareVersion("v3");
    SUBCASE("at another version") { }
    SUBCASE("at the default version") { last = v1; }
    CHECK(daemon.begin("q1", v2, 1));
    CHECK(daemon.begin("q1", last, 2));
    CHECK(fleet.start().find("q1").value().version == last);
}

// Guards against a client that receives an event of a stream whose version nobody knows once its daemon has ended.
TEST_CASE("an event waits for the record of its stream while the store does not answer")
{
    Fleet fleet;
    auto& daemon = fleet.start();
    fleet.store.isDown = true;
    CHECK_FALSE(daemon.begin("q1", v2));
    CHECK_FALSE(daemon.records.canWrite());
    CHECK(fleet.log.recent(EventId::StreamRecordNotStored).size() == 1);
    fleet.store.isDown = false;
    fleet.timers.advance(1s);
    CHECK(daemon.records.canWrite());
    CHECK(fleet.start().find("q1").value().version == v2);
}

// Guards against a stream that is placed at any version because its own cannot be read.
TEST_CASE("the version of another daemon's stream is unknown while the store cannot be read")
{
    Fleet fleet;
    CHECK(fleet.start().begin("q1", v2));
    auto& other = fleet.start();
    fleet.store.isDown = true;
    auto found = other.find("q1");
    REQUIRE_FALSE(found.has_value());
    CHECK(found.error().kind == ErrorKind::NotReady);
}

// Guards against records that a restore of the store has removed although their streams go on.
TEST_CASE("records and defaults are written again after a restore of the store")
{
    Fleet fleet;
    auto early = fleet.store.copy();
    auto& daemon = fleet.start();
    CHECK(daemon.begin("q1", v2));
    fleet.store.restore(early);
    daemon.records.rewrite();
    fleet.timers.advance(5s);
    CHECK(fleet.storedRecords() == 1);
    auto& after = fleet.start();
    CHECK(after.find("q1").value() == StreamVersion { v2, VersionSource::Record });
    CHECK(after.find("q2").value() == StreamVersion { v1, VersionSource::Default });
}

// Guards against streams of a version that has left, which would go on at the one that has become the default.
TEST_CASE("the default changes only when no stream of the former one can be resumed any more")
{
    Fleet fleet;
    auto& daemon = fleet.start();
    CHECK(daemon.begin("q1", v1));
    fleet.addReplica("i-2", "s", "decode", "a", "v2");
    fleet.removeReplica("i-1");
    fleet.timers.advance(lifetime);
    CHECK(fleet.start().find("q1").value().version == v1);
    fleet.timers.advance(30s);
    auto& later = fleet.start();
    CHECK(later.find("q9").value() == StreamVersion { v2, VersionSource::Default });
    CHECK(daemon.begin("q2", v2));
    CHECK(fleet.log.recent(EventId::DefaultVersionChanged).size() >= 2);
}

// Guards against records that stay in the store for ever.
TEST_CASE("records expire after the longest time of a stream")
{
    Fleet fleet;
    CHECK(fleet.start().begin("q1", v2));
    fleet.timers.advance(lifetime);
    CHECK(fleet.storedRecords() == 1);
    fleet.timers.advance(lifetime + 5s);
    fleet.start();
    CHECK(fleet.storedRecords() == 0);
}

// Guards against a client that does not name its stream and is sent to a version that may not be that of its stream.
TEST_CASE("a stream that the client does not name is placed only if all streams have one version")
{
    Fleet fleet;
    auto& daemon = fleet.start();
    CHECK(daemon.findOnlyVersion().value() == StreamVersion { v1, VersionSource::Default });
    CHECK(daemon.begin("q1", v2));
    CHECK_FALSE(daemon.findOnlyVersion().has_value());
}
