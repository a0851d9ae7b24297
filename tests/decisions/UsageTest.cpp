#include "decisions/usage/UsageClock.h"
#include "decisions/usage/UsageCounts.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr Duration epochTime = 1'700'000'000s;

/** A clock that is read ten times a second. */
struct ClockReader {
    Duration read(Duration stepOfTimeOfDay)
    {
        monotonic += 100ms;
        return readUsageClock(clock, monotonic, epochTime + monotonic.time_since_epoch() + stepOfTimeOfDay);
    }

    /** Returns the largest error of the readings within this time. */
    Duration largestError(Duration time, Duration step)
    {
        Duration largest {};
        for (auto end = monotonic + time; monotonic < end;)
            largest = std::max(largest, std::chrono::abs(read(step) - epochTime - monotonic.time_since_epoch()));
        return largest;
    }

    UsageClock clock;
    TimePoint monotonic;
};

std::vector<UsageEntry> entryOf(UsageWindow window, const std::string& account, uint64_t requests)
{
    return { { window, AccountId(account), requests } };
}

} // namespace

// Guards against requests that are counted in another window because an administrator or a time service steps the time of day.
TEST_CASE("a step of the time of day that is reverted does not move the windows")
{
    ClockReader reader;
    CHECK(reader.largestError(10s, 0s) == 0s);
    for (auto step : { Duration(7s), Duration(-7s), Duration(-3600s), Duration(40ms) }) {
        CHECK(reader.largestError(45s, step) == 0s);
        CHECK(reader.largestError(10s, 0s) == 0s);
    }
    // Steps that follow each other are no lasting correction either.
    for (int i = 0; i < 20; ++i)
        CHECK(reader.largestError(10s, Duration((i % 3) * 5s)) == 0s);
}

TEST_CASE("a lasting correction of the time of day is followed")
{
    ClockReader reader;
    reader.largestError(10s, 0s);
    reader.largestError(61s, 5s);
    CHECK(reader.largestError(30s, 5s) == 5s);
    CHECK(reader.read(5s) == epochTime + reader.monotonic.time_since_epoch() + 5s);
}

TEST_CASE("windows are numbered from the start of 1970")
{
    UsageWindows windows { 5s, 10s };
    CHECK(windowAt(windows, 0s) == 0);
    CHECK(windowAt(windows, 4'999'999us) == 0);
    CHECK(windowAt(windows, 5s) == 1);
    CHECK(windowAt(windows, -1s) == 0);
    CHECK(endOf(windows, 1) == Duration(10s));
    CHECK(dueTimeOf(windows, 1) == Duration(20s));
}

// Guards against counts that a repeated, late or reordered message changes.
TEST_CASE("cumulative counts merge to the same totals in any order and with repetitions")
{
    rc::check([] {
        UsageCounts counts;
        std::vector<std::vector<UsageEntry>> messages;
        std::map<AccountId, uint64_t> expected;
        auto requests = *rc::gen::inRange(1, 40);
        for (int i = 0; i < requests; ++i) {
            AccountId account("a" + std::to_string(*rc::gen::inRange(0, 3)));
            addRequest(counts, 7, account);
            ++expected[account];
            messages.push_back(unacknowledged(counts));
            // Some messages are acknowledged.
            if (*rc::gen::inRange(0, 2) == 0)
                acknowledge(counts, messages[*rc::gen::inRange<size_t>(0, messages.size())]);
        }
        UsageLedger ledger;
        UsageSource source { DaemonId("d"), 1 };
        auto order = *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, messages.size()));
        for (auto index : order)
            merge(ledger, source, messages[index]);
        forgetAcknowledgements(counts);
        merge(ledger, source, unacknowledged(counts));
        RC_ASSERT(totalsOf(ledger, 7) == expected);
    });
}

TEST_CASE("counts of a restarted daemon are added to those from before its restart")
{
    UsageLedger ledger;
    merge(ledger, { DaemonId("d"), 1 }, entryOf(7, "x", 5));
    merge(ledger, { DaemonId("d"), 2 }, entryOf(7, "x", 2));
    merge(ledger, { DaemonId("e"), 1 }, entryOf(7, "x", 1));
    CHECK(totalsOf(ledger, 7).at(AccountId("x")) == 8);
    removeBefore(ledger, 8);
    CHECK(totalsOf(ledger, 7).empty());
}

TEST_CASE("only counts that have changed since the acknowledgement are sent")
{
    UsageCounts counts;
    addRequest(counts, 7, AccountId("x"));
    addRequest(counts, 7, AccountId("y"));
    auto sent = unacknowledged(counts);
    CHECK(sent.size() == 2);
    addRequest(counts, 7, AccountId("y"));
    acknowledge(counts, sent);
    CHECK(unacknowledged(counts) == entryOf(7, "y", 2));
    forgetAcknowledgements(counts);
    CHECK(unacknowledged(counts).size() == 2);
    removeBefore(counts, 8);
    CHECK(unacknowledged(counts).empty());
}
