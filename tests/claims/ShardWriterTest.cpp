#include "claims/ClaimFleet.h"

#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr ClaimEpoch epoch = 1000;
constexpr unsigned shard = 3;
constexpr ClaimLogId logId { epoch, shard, 7 };

struct WriterFixture {
    std::shared_ptr<ShardWriter> makeWriter() { return std::make_shared<ShardWriter>(dependencies, logId, std::make_shared<WriteThrottle>(), 5); }

    void submit(ShardWriter& writer, const std::string& name)
    {
        ClaimEntry entry { digestOf(name), digestOf("body"), digestOf("nonce " + name), DaemonId("d") };
        asio::co_spawn(context, writer.submit(entry, 1s), [this](std::exception_ptr, Result<ClaimEntry> result) { results.push_back(std::move(result)); });
    }

    size_t granted() const
    {
        return std::ranges::count_if(results, [](const auto& result) { return result.has_value(); });
    }

    asio::io_context context;
    VirtualTimerService timers { context };
    FakeKeyValueStore store { std::make_shared<KeyValueModel>(), timers };
    MemoryLog log;
    Metrics metrics;
    ClaimDependencies dependencies { context.get_executor(), store, timers, log, metrics };
    std::vector<Result<ClaimEntry>> results;
};

} // namespace

// Guards against a write for each call, which would exceed the service's several hundred writes/s.
TEST_CASE("claims that arrive at the same time share one write")
{
    for (size_t batch = 1; batch <= 64; batch *= 2) {
        WriterFixture fixture;
        auto writer = fixture.makeWriter();
        for (size_t call = 0; call < batch; ++call)
            fixture.submit(*writer, std::to_string(call));
        fixture.timers.advance(1s);
        CHECK(fixture.granted() == batch);
        CHECK(fixture.store.writes() == 1);
        MESSAGE("batch of " << batch << ": " << fixture.store.writes() << " write, " << 1.0 / static_cast<double>(batch) << " writes per call");
    }
}

// Guards against more than 10 writes/s from one shard, and against two writes at the same time.
TEST_CASE("a steady load of claims is written at most 10 times a second")
{
    WriterFixture fixture;
    fixture.store.faults().latency = 5ms;
    auto writer = fixture.makeWriter();
    for (int call = 0; call < 1000; ++call) {
        fixture.submit(*writer, std::to_string(call));
        fixture.timers.advance(5ms);
    }
    fixture.timers.advance(1s);
    CHECK(fixture.granted() == 1000);
    CHECK(fixture.store.writes() <= 52);
    MESSAGE("1000 claims in 5 s: " << fixture.store.writes() << " writes");
}

// Guards against values above the size limit of the key-value service.
TEST_CASE("a batch above the record limits is split")
{
    WriterFixture fixture;
    auto writer = fixture.makeWriter();
    constexpr size_t claims = maximumRecordEntries + 100;
    for (size_t call = 0; call < claims; ++call)
        fixture.submit(*writer, std::to_string(call));
    fixture.timers.advance(1s);
    CHECK(fixture.granted() == claims);
    auto records = fixture.store.model().list(claimRecordPrefix(epoch, shard));
    CHECK(records.size() == 2);
    for (const auto& record : records)
        CHECK(record.value.size() <= maximumRecordBytes);
}

// Guards against a log that a new writer cannot read within the 2 s of one call: 6 hours of 10 claims/s are 216,000
// records, and after a restart every claim of the shard would be refused.
TEST_CASE("a restarted writer reads the log of the target rate in bounded pages and grants no call twice")
{
    constexpr uint64_t records = static_cast<uint64_t>(claimSliceLength / ShardWriter::writePeriod);
    WriterFixture fixture;
    fixture.store.faults().latency = 5ms;
    fixture.store.faults().responseLatency = 20ms;
    size_t bytes = 0;
    for (uint64_t number = 0; number < records; ++number) {
        auto name = "call " + std::to_string(number);
        ClaimRecord record { digestOf("record" + name), { { digestOf(name), digestOf("body"), digestOf("old nonce " + name), DaemonId("entry-vm-17") } } };
        auto value = encodeRecord(record);
        constexpr size_t rowOverhead = 110; // field names and indexes in the service's JSON
        bytes += value.size() * 4 / 3 + claimRecordKey(logId, number).size() + rowOverhead;
        fixture.store.model().put(claimRecordKey(logId, number), value);
    }
    auto writer = fixture.makeWriter();
    fixture.submit(*writer, "call 5432");
    fixture.submit(*writer, "new call");
    fixture.timers.advance(1s);
    REQUIRE(fixture.results.size() == 2);
    REQUIRE((fixture.results[0].has_value() && fixture.results[1].has_value()));
    CHECK(fixture.results[0]->nonce == digestOf("old nonce call 5432"));
    CHECK(fixture.results[1]->nonce == digestOf("nonce new call"));
    CHECK(fixture.store.calls("list") == records / claimPageRecords + 1);
    MESSAGE(records << " records: " << fixture.store.calls("list") << " calls, " << bytes / (records / claimPageRecords) << " B a page, " << bytes << " B in total; a whole epoch has "
                    << bytes * static_cast<size_t>(claimEpochLength / claimSliceLength) << " B");
}

// Guards against a write rate that grows with the number of slices to which the callers' keys belong.
TEST_CASE("the logs of a shard share one write limit, and idle writers are evicted")
{
    WriterFixture fixture;
    ShardWriters writers(fixture.dependencies, 5);
    for (unsigned slice = 0; slice < 36; ++slice)
        fixture.submit(*writers.findOrCreateWriter({ epoch, shard, slice }), std::to_string(slice));
    fixture.timers.advance(950ms);
    CHECK(fixture.store.writes() <= 10);
    fixture.timers.advance(ShardWriters::idleLimit);
    writers.evictUnused(UnixSeconds(0));
    CHECK(writers.size() == 0);
}

// Guards against claims that are never removed after all daemons were stopped for longer than the recent epochs.
TEST_CASE("epochs older than the recent ones are cleaned after a long stop at a few calls a minute")
{
    WriterFixture fixture;
    auto newest = claimEpochOf(fixture.timers.wallClock());
    while (!isEpochClosable(newest, fixture.timers.wallClock()))
        --newest;
    auto stopped = newest - EpochCleaner::recentEpochs - 3;
    for (auto old = stopped + 1; old <= newest; ++old)
        fixture.store.model().put(claimRecordKey({ old, shard, 0 }, 0), encodeRecord({}));
    fixture.store.model().put("claims/cleaned_through", std::to_string(stopped));
    auto cleaner = std::make_shared<EpochCleaner>(fixture.dependencies, [](ClaimEpoch, unsigned) { return true; });
    auto clean = [&fixture, &cleaner] {
        asio::co_spawn(fixture.context, cleaner->clean(), asio::detached);
        fixture.timers.advance(SharedClaimService::cleaningPeriod);
    };
    clean();
    auto before = fixture.store.writes() + fixture.store.calls("read");
    clean();
    auto perMinute = (fixture.store.writes() + fixture.store.calls("read") - before) / 10.0;
    clean();
    for (auto old = stopped + 1; old <= newest; ++old)
        CHECK(fixture.store.model().list(claimRecordPrefix(old, shard)).empty());
    CHECK(perMinute < 10);
    MESSAGE("catching up takes " << perMinute << " calls a minute");
}

// Guards against grants in a log that cannot be read completely and may contain a claim of the same call.
TEST_CASE("an unreadable record or a gap stops all grants of the shard")
{
    for (uint64_t number : { 0, 1 }) {
        WriterFixture fixture;
        fixture.store.model().put(claimRecordKey(logId, number), number == 0 ? "not CBOR" : encodeRecord({}));
        auto writer = fixture.makeWriter();
        fixture.submit(*writer, "a");
        fixture.timers.advance(2s);
        REQUIRE(fixture.results.size() == 1);
        REQUIRE_FALSE(fixture.results.front().has_value());
        CHECK(fixture.results.front().error().kind == ErrorKind::ClaimUnavailable);
    }
}

// Guards against a delayed write that takes effect after its claim was refused as "not run".
TEST_CASE("the log stays consistent after a delayed write and a restart of the daemon")
{
    WriterFixture fixture;
    fixture.store.faults().lateWrites = 1;
    fixture.store.faults().lateDelay = 5s;
    auto first = fixture.makeWriter();
    fixture.submit(*first, "a");
    fixture.timers.advance(10ms);
    auto second = fixture.makeWriter(); // the writer of the restarted daemon
    fixture.submit(*second, "b");
    fixture.timers.advance(10s);
    CHECK(fixture.granted() == 2);
    CHECK(fixture.store.model().list(claimRecordPrefix(epoch, shard)).size() == 2);
}

// Guards against unbounded memory for recorded responses.
TEST_CASE("recorded responses stay within their limits of size and age")
{
    RecordedResponses responses(1000);
    auto makeResponse = [](int number, size_t bytes) { return RecordedResponse { { 0, static_cast<uint64_t>(number) }, {}, { 200, {}, std::string(bytes, 'x') } }; };
    TimePoint start(0s);
    for (int number = 0; number < 3; ++number)
        responses.add(makeResponse(number, 200), start);
    CHECK(responses.bytes() <= 1000);
    CHECK_FALSE(responses.find({ 0, 0 }, start).has_value());
    CHECK(responses.find({ 0, 2 }, start).has_value());
    responses.add(makeResponse(3, 2000), start);
    CHECK_FALSE(responses.find({ 0, 3 }, start).has_value());
    CHECK_FALSE(responses.find({ 0, 2 }, start + RecordedResponses::lifetime).has_value());
    CHECK(responses.bytes() == 0);
}
