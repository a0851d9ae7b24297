#include "control/cleanup/RecordCleaner.h"
#include "control/FleetFixture.h"

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

size_t countOf(const MemoryKeyValueStore& store, const std::string& prefix)
{
    return std::ranges::count_if(store.entries, [&prefix](const auto& entry) { return entry.first.starts_with(prefix); });
}

} // namespace

// Guards against records that accumulate without limit, against cleaning by several daemons, and against the removal of
// a record that is still needed.
TEST_CASE("old tickets and the intents of removed engines are removed by one daemon at a few calls a minute")
{
    FleetFixture fixture(3);
    auto& first = fixture.addDaemon("d1");
    auto& second = fixture.addDaemon("d2");
    RecordCleaner firstCleaner(fixture.context, first.store, first.configuration, first.leases, fixture.timers, first.log);
    RecordCleaner secondCleaner(fixture.context, second.store, second.configuration, second.leases, fixture.timers, second.log);
    firstCleaner.start();
    secondCleaner.start();
    fixture.timers.advance(60s);
    REQUIRE(countOf(fixture.store, "orders/") == 3);
    for (int number = 2; number <= 300; ++number)
        fixture.submit({ { "number", number }, { "accounts", { { "a" + std::to_string(number), nlohmann::json::object() } } } });
    fixture.submit({ { "number", 301 }, { "remove", { "engine/e3" } } });
    REQUIRE(countOf(fixture.store, "tickets/") == 301);
    fixture.timers.advance(32min);
    CHECK(countOf(fixture.store, "orders/") == 3); // intents are removed only after the second listing
    auto before = fixture.store.removals;
    fixture.timers.advance(10min);
    CHECK(fixture.store.removals - before <= 10 * RecordCleaner::removalsPerPass);
    fixture.timers.advance(50min);
    CHECK(countOf(fixture.store, "tickets/") == maximumRecentTickets);
    CHECK(countOf(fixture.store, "orders/") == 2);
    CHECK(fixture.store.removals == 301 - maximumRecentTickets + 1);
    bool isOnlyOne = first.log.recent(EventId::RecordsRemoved).empty() || second.log.recent(EventId::RecordsRemoved).empty();
    CHECK(isOnlyOne);
}
