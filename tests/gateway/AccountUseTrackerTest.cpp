#include "gateway/AccountsFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

const ServiceId service("s");
const AccountId large("large");

struct Daemon {
    explicit Daemon(VirtualTimerService& timers, uint64_t seed = 1)
        : tracker(timers, seed)
    {
    }

    /** Sends requests of an account; one of `refusedOf` admitted ones is refused, none if that is zero. */
    void request(const AccountId& account, int count, int refusedOf)
    {
        for (int i = 0; i < count; ++i) {
            if (tracker.admit(service, account, 0) && refusedOf > 0 && ++admitted % refusedOf == 0)
                tracker.recordRefusal(service);
        }
    }

    AccountUseTracker tracker;
    int admitted = 0;
};

bool isEveryone(const DaemonId&)
{
    return true;
}

} // namespace

// Guards against messages that grow although nothing is short.
TEST_CASE("use is reported only while the service is short of capacity")
{
    asio::io_context context;
    VirtualTimerService timers(context);
    Daemon daemon(timers);
    auto run = [&](int refusedOf) {
        for (int step = 0; step < 40; ++step) {
            daemon.request(large, 10, refusedOf);
            timers.advance(100ms);
        }
    };
    run(0);
    CHECK(daemon.tracker.ownUse().empty());
    run(2);
    CHECK(daemon.tracker.ownUse().size() == 1);
    CHECK(daemon.tracker.partOf(service, large, 0) < 1);
    timers.advance(60s);
    CHECK(daemon.tracker.ownUse().empty());
    CHECK(daemon.tracker.partOf(service, large, 0) == 1);
}

// Guards against an account that gets its share at each daemon anew.
TEST_CASE("an account is limited by its use at all daemons")
{
    asio::io_context context;
    VirtualTimerService timers(context);
    std::vector<Daemon> daemons;
    for (uint64_t seed = 1; seed <= 20; ++seed)
        daemons.emplace_back(timers, seed);
    // Each daemon sees few requests and few refusals.
    for (size_t step = 0; step < 60; ++step) {
        for (size_t i = 0; i < daemons.size(); ++i) {
            daemons[i].request(large, 1, 3);
            daemons[i].request(AccountId("small" + std::to_string(i)), step % 10 == i % 10 ? 1 : 0, 3);
        }
        timers.advance(100ms);
    }
    Daemon collector(timers, 99);
    for (size_t i = 0; i < daemons.size(); ++i)
        collector.tracker.setPeerUse(DaemonId("d" + std::to_string(i)), daemons[i].tracker.ownUse());
    auto fleet = collector.tracker.useOf(isEveryone);
    REQUIRE(fleet.size() == 1);
    CHECK(fleet[0].accounts.size() <= maximumListedAccounts + maximumOtherPriorities);
    CHECK(fleet[0].accounts[0].account == large);
    CHECK(fleet[0].accounts[0].requested == doctest::Approx(200).epsilon(0.3));
    daemons[0].tracker.setFleetUse(fleet);
    CHECK(daemons[0].tracker.partOf(service, large, 0) < 1);
    CHECK(daemons[0].tracker.partOf(service, AccountId("small0"), 0) == 1);
    // A daemon without refusals of its own reports its use as well.
    Daemon quiet(timers, 7);
    quiet.request(large, 6, 0);
    quiet.tracker.setFleetUse(fleet);
    CHECK(quiet.tracker.ownUse().size() == 1);
    // Without messages the limits end.
    timers.advance(2s);
    CHECK(quiet.tracker.partOf(service, large, 0) == 1);
}

TEST_CASE("the use by accounts is decoded as it was encoded, and a message without it has none")
{
    LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } }, LoadScope::Zone };
    auto plain = encodeLoadMessage(message).front();
    CHECK(decodeLoadMessage(plain)->accountUse.empty());
    message.accountUse = { { service, 100, 20, { { large, 3, 80 }, { AccountId(), 0, 40 } } } };
    auto datagram = encodeLoadMessage(message).front();
    CHECK(*decodeLoadMessage(datagram) == message);
    CHECK(datagram.size() < plain.size() + 60);
    message.accountUse[0].accounts.resize(maximumListedAccounts + maximumOtherPriorities + 1);
    CHECK_FALSE(decodeLoadMessage(encodeLoadMessage(message).front()).has_value());
    message.accountUse = { { service, -1, 0, {} } };
    CHECK_FALSE(decodeLoadMessage(encodeLoadMessage(message).front()).has_value());
}

// Guards against a large account that fills a service whose replicas refuse its requests and those of all others.
TEST_CASE("a gateway refuses the excess of a large account with 429 while its replicas refuse")
{
    AccountsFixture fixture("1 accounts large=k1 small=k2");
    for (const auto* replica : { "s-1", "s-2" })
        fixture.replicaClient.scripts[ReplicaId(replica)] = { { .executionStatus = ExecutionStatus::NotExecuted, .status = 503 } };
    int limited = 0;
    int limitedSmall = 0;
    for (int i = 0; i < 60; ++i) {
        FakeWriter writer;
        fixture.start(writer, "/x", "k1");
        limited += writer.status == 429 ? 1 : 0;
        if (writer.status == 429)
            CHECK_FALSE(writer.headers.value("Retry-After").empty());
        if (i % 10 != 0)
            continue;
        FakeWriter small;
        fixture.start(small, "/x", "k2");
        limitedSmall += small.status == 429 ? 1 : 0;
    }
    CHECK(limited > 20);
    CHECK(limitedSmall <= 2);
    CHECK(static_cast<int>(fixture.log.recent("kind", "account_limit").size()) == limited + limitedSmall);
    // With free replicas nothing is refused for long.
    for (const auto* replica : { "s-1", "s-2" })
        fixture.replicaClient.scripts[ReplicaId(replica)] = { { .chunks = { "answer" } } };
    fixture.timers.advance(30s);
    FakeWriter writer;
    fixture.start(writer, "/x", "k1");
    CHECK(writer.status == 200);
}
