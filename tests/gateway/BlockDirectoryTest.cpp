#include "gateway/blocks/BlockDirectory.h"
#include "gateway/blocks/BlockCodec.h"
#include "gateway/GatewayFixture.h"

#include <array>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

const Digest content { 1, 2 };
constexpr uint64_t crashingPart = 7;
const std::string contentKey = "chestnutroute/blocks/" + encodeBlockSubject(content);
const std::string partKey = "chestnutroute/blocks/" + encodeBlockSubject(PromptPartId { crashingPart });

/** What one daemon knows of crashes. It gets no reports of the others, as if it had started after them. */
struct Daemon {
    explicit Daemon(GatewayFixture& fixture)
        : tracker(fixture.timers)
        , mirror(std::make_shared<StoreMirror>(fixture.context, fixture.store, fixture.timers, fixture.log, "chestnutroute/", [] { return Duration::zero(); }))
        , blocks(fixture.context, fixture.store, fixture.timers, fixture.log, mirror, tracker, [] { return 6U; })
    {
        mirror->start();
        blocks.start();
        fixture.settle();
    }

    PartAdmission admission() { return tracker.admitParts(parts); }

    CrashTracker tracker;
    std::shared_ptr<StoreMirror> mirror;
    BlockDirectory blocks;
    std::array<SharedPart, 1> parts { SharedPart { crashingPart, 1 } };
};

struct BlockFixture : GatewayFixture {
    void crashReplicasWithContent(Daemon& daemon)
    {
        for (const auto* replica : { "i-1", "i-2", "i-3" })
            daemon.tracker.add({ content, RequestId(std::string("q-") + replica), ReplicaId(replica), 1 }, timers.now());
    }

    void crashEnginesWithPart(Daemon& daemon)
    {
        for (int start = 1; start <= 3; ++start) {
            daemon.tracker.addPartCrash({ ReplicaId("i-1"), start }, daemon.parts, timers.now());
            timers.advance(1s);
        }
    }
};

} // namespace

// Guards against a request that crashes replicas again after each restart of a daemon (review/1): peers report a crash for 3 s only.
TEST_CASE("a daemon that starts long after the crashes blocks the content and the prompt part")
{
    BlockFixture fixture;
    Daemon first(fixture);
    fixture.crashReplicasWithContent(first);
    fixture.crashEnginesWithPart(first);
    fixture.timers.advance(4s);
    CHECK(fixture.store.items().contains(contentKey));
    CHECK(fixture.store.items().contains(partKey));
    fixture.timers.advance(60s);
    Daemon later(fixture);
    CHECK(later.tracker.isBlocked(content));
    CHECK(later.admission() == PartAdmission::Blocked);
    CHECK_FALSE(later.tracker.isBlocked(Digest { 1, 3 }));
    // The block ends with the crashes that it follows from.
    fixture.timers.advance(5min);
    CHECK_FALSE(later.tracker.isBlocked(content));
    CHECK_FALSE(first.tracker.isBlocked(content));
    CHECK_FALSE(fixture.store.items().contains(contentKey));
}

// Guards against a block that ends with the processes that have seen the crashes, or with the key in the store.
TEST_CASE("a block outlasts the loss of its key in a restore or an outage, also where only daemons that have read it are left")
{
    BlockFixture fixture;
    auto copy = fixture.store.copy();
    Daemon reader(fixture);
    fixture.store.put(contentKey, encodeStoredBlock({ 3, fixture.timers.wallClock() + 200s, false }));
    fixture.settle();
    SUBCASE("restored to a copy from before the block")
    {
        fixture.store.isDown = true;
        fixture.timers.advance(2s);
        fixture.store.restore(copy);
        fixture.store.isDown = false;
    }
    SUBCASE("expired in an outage")
    {
        fixture.store.isDown = true;
        fixture.timers.advance(2s);
        fixture.store.erase(contentKey);
        fixture.store.isDown = false;
    }
    fixture.timers.advance(10s);
    CHECK(reader.tracker.isBlocked(content));
    CHECK(fixture.store.items().contains(contentKey));
    Daemon later(fixture);
    CHECK(later.tracker.isBlocked(content));
}

// Guards against a daemon that starts when the store is back and does not learn of a block that could not be written in the outage.
TEST_CASE("a block that could not be written in an outage is written soon after it, without calls during the outage")
{
    BlockFixture fixture;
    Daemon first(fixture);
    fixture.crashReplicasWithContent(first);
    fixture.store.isDown = true;
    fixture.timers.advance(20s);
    auto calls = fixture.store.calls;
    fixture.timers.advance(40s);
    // The mirrors of this daemon and of its replicas try every 4 s.
    CHECK(fixture.store.calls - calls <= 24);
    fixture.store.isDown = false;
    first.mirror->restartWatch();
    fixture.timers.advance(1500ms);
    CHECK(fixture.store.items().contains(contentKey));
}

// Guards against sound requests that stay blocked at daemons that did not see them answered.
TEST_CASE("a daemon that starts after a block was refuted does not apply it")
{
    BlockFixture fixture;
    Daemon first(fixture);
    fixture.crashReplicasWithContent(first);
    fixture.crashEnginesWithPart(first);
    fixture.timers.advance(4s);
    Daemon reader(fixture);
    first.tracker.recordCompletion(content);
    first.tracker.recordPartsBegun({ ReplicaId("i-1"), 4 }, first.parts, fixture.timers.now());
    fixture.timers.advance(2s);
    Daemon later(fixture);
    for (auto* daemon : { &first, &reader, &later }) {
        CHECK_FALSE(daemon->tracker.isBlocked(content));
        CHECK(daemon->admission() == PartAdmission::Admitted);
    }
}

// Guards against a blocked part that is never tried again because the daemon knows its crashes only from the store.
TEST_CASE("a part that is blocked through the store is tried with a single request after some time")
{
    BlockFixture fixture;
    Daemon first(fixture);
    fixture.crashEnginesWithPart(first);
    fixture.timers.advance(10s);
    Daemon later(fixture);
    fixture.timers.advance(60s);
    CHECK(later.admission() == PartAdmission::Blocked);
    fixture.timers.advance(2min);
    CHECK(later.admission() == PartAdmission::Trial);
    CHECK(later.admission() == PartAdmission::Blocked);
}

// Guards against a daemon that is disturbed by what another writer leaves under the keys of the blocks.
TEST_CASE("an unreadable block is logged and blocks nothing")
{
    BlockFixture fixture;
    Daemon daemon(fixture);
    auto prefix = std::string("chestnutroute/blocks/");
    auto value = encodeStoredBlock({ 3, UnixSeconds(1'000'000'000'000), false });
    fixture.store.put(prefix + "content-12", value);
    fixture.store.put(prefix + "part-", value);
    fixture.store.put(prefix + "x", value);
    fixture.store.put(contentKey, R"({"crashes":3,"until":-5,"released":false})");
    fixture.store.put(partKey, R"({"crashes":3,"until":99999999999999999,"released":false})");
    fixture.settle();
    CHECK(fixture.log.recent(EventId::StoreEntryUnreadable).size() == 5);
    CHECK(daemon.tracker.sharedBlocks().blocks.empty());
    fixture.store.put(contentKey, value);
    fixture.settle();
    CHECK(daemon.tracker.isBlocked(content));
}

TEST_CASE("subjects and blocks are encoded and decoded")
{
    for (const BlockSubject& subject : { BlockSubject(Digest { 0xabc, 1 }), BlockSubject(PromptPartId { 0xffffffffffffffff }), BlockSubject(PromptPartId { 0 }) })
        CHECK(*decodeBlockSubject(encodeBlockSubject(subject)) == subject);
    StoredBlock block { 5, UnixSeconds(1'700'000'000), true };
    CHECK(*decodeStoredBlock(encodeStoredBlock(block)) == block);
}
