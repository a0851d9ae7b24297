#include "decisions/quarantine/SharedBlocks.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

const BlockSubject content = Digest { 1, 2 };
const BlockSubject part = PromptPartId { 7 };
constexpr UnixSeconds wallClock { 1'000'000 };

TimePoint at(Duration time)
{
    return TimePoint() + time;
}

/** A table in which the content has crashed three replicas, the last one at 10 s. */
struct BlockedContent {
    size_t observe(Duration now, Duration delay = 0s)
    {
        std::vector<ObservedBlock> observed { { content, 3, at(10s) } };
        return addObservedBlocks(table, observed, at(now), delay);
    }

    size_t writesAt(Duration now) { return takeDueWrites(table, at(now), wallClock).size(); }

    /** The block is written, and its key is read again. */
    void store(Duration now)
    {
        applyWrittenBlock(table, content, 5);
        applyStoredBlock(table, content, { 3, wallClock + 298s, false }, 5, at(now), wallClock);
    }

    SharedBlockTable table;
};

} // namespace

TEST_CASE("a block is written once, after the crash can no longer be refuted and after the daemon's own delay")
{
    BlockedContent fixture;
    fixture.observe(11s);
    CHECK(fixture.table.blocks.empty());
    fixture.observe(12s, 300ms);
    CHECK(fixture.writesAt(12200ms) == 0);
    auto writes = takeDueWrites(fixture.table, at(12300ms), wallClock);
    REQUIRE(writes.size() == 1);
    CHECK(writes.front() == BlockWrite { content, { 3, wallClock + 298s, false }, 297700ms, 0 });
    fixture.store(12500ms);
    fixture.observe(100s);
    CHECK(fixture.writesAt(200s) == 0);
    CHECK(findSharedBlock(fixture.table, content, at(200s)));
    CHECK_FALSE(findSharedBlock(fixture.table, content, at(311s)));
}

// Guards against as many writes of each block as there are daemons.
TEST_CASE("a block that another daemon has written meanwhile is not written")
{
    BlockedContent fixture;
    fixture.observe(12s, 300ms);
    applyStoredBlock(fixture.table, content, { 3, wallClock + 298s, false }, 5, at(12100ms), wallClock);
    CHECK(fixture.writesAt(20s) == 0);
}

// Guards against a block that daemons that start later do not learn, because an outage ended its lease or a restore lost its key.
TEST_CASE("a block whose key is missing applies on, and is written again while it lasts")
{
    BlockedContent fixture;
    fixture.observe(12s);
    fixture.store(12s);
    applyMissingBlock(fixture.table, content, at(60s), 200ms);
    CHECK(findSharedBlock(fixture.table, content, at(60s)));
    auto writes = takeDueWrites(fixture.table, at(61s), wallClock);
    REQUIRE(writes.size() == 1);
    CHECK(writes.front().revision == 0);
    CHECK(writes.front().timeLeft == 249s);
    // The lease of the key ends with the block, perhaps a little earlier.
    fixture.store(62s);
    applyMissingBlock(fixture.table, content, at(359s), 0s);
    CHECK(fixture.writesAt(359s) == 0);
}

TEST_CASE("a failed write is tried again, and one that another daemon was faster with is not")
{
    BlockedContent fixture;
    fixture.observe(12s);
    CHECK(fixture.writesAt(12s) == 1);
    CHECK(fixture.writesAt(12500ms) == 0);
    CHECK(fixture.writesAt(13s) == 1);
    applyWrittenBlock(fixture.table, content, std::nullopt);
    CHECK(fixture.writesAt(60s) == 0);
}

TEST_CASE("a released block does not apply, its release is written by one daemon, and a later crash blocks again")
{
    BlockedContent fixture;
    fixture.observe(12s);
    fixture.store(12s);
    SUBCASE("seen by this daemon")
    {
        releaseSharedBlock(fixture.table, content, at(20s), at(20s));
        auto writes = takeDueWrites(fixture.table, at(20s), wallClock);
        REQUIRE(writes.size() == 1);
        CHECK(writes.front().block.isReleased);
        CHECK(writes.front().revision == 5);
    }
    SUBCASE("reported by a peer")
    {
        releaseSharedBlock(fixture.table, content, at(19s), std::nullopt);
        CHECK(fixture.writesAt(20s) == 0);
    }
    SUBCASE("read from the store")
    {
        applyStoredBlock(fixture.table, content, { 3, wallClock + 298s, true }, 6, at(20s), wallClock);
        CHECK(fixture.writesAt(20s) == 0);
    }
    fixture.observe(21s);
    CHECK_FALSE(findSharedBlock(fixture.table, content, at(21s)));
    std::vector<ObservedBlock> observed { { content, 4, at(30s) } };
    addObservedBlocks(fixture.table, observed, at(32s), 0s);
    CHECK(findSharedBlock(fixture.table, content, at(32s)));
    CHECK(fixture.writesAt(32s) == 1);
}

// Guards against a late report of a response from before the crashes that ends a block.
TEST_CASE("a response from before the last crash releases no block")
{
    BlockedContent fixture;
    fixture.observe(12s);
    releaseSharedBlock(fixture.table, content, at(9s), std::nullopt);
    CHECK(findSharedBlock(fixture.table, content, at(13s)));
}

// Guards against a block without end, written by a daemon whose clock is wrong.
TEST_CASE("a stored block applies for no longer than a new one, whatever its time says")
{
    SharedBlockTable table;
    applyStoredBlock(table, content, { 3, wallClock + 100000s, false }, 5, at(0s), wallClock);
    applyStoredBlock(table, part, { 3, wallClock - 100000s, false }, 6, at(0s), wallClock);
    CHECK(findSharedBlock(table, content, at(299s)));
    CHECK_FALSE(findSharedBlock(table, content, at(300s)));
    CHECK_FALSE(findSharedBlock(table, part, at(0s)));
    expireSharedBlocks(table, at(300s));
    CHECK(table.blocks.empty());
}

// Guards against a store and daemons that are filled by the blocks.
TEST_CASE("the number of shared blocks is limited")
{
    SharedBlockTable table;
    std::vector<ObservedBlock> observed;
    for (uint64_t i = 0; i < 300; ++i)
        observed.push_back({ Digest { 0, i }, 3, at(10s) });
    CHECK(addObservedBlocks(table, observed, at(12s), 0s) == 300 - table.maximumBlocks);
    CHECK(table.blocks.size() == table.maximumBlocks);
}
