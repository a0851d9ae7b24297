#include "control/tickets/TicketService.h"
#include "control/configuration/StoredConfigurationService.h"
#include "control/Fakes.h"
#include "decisions/leases/Lease.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

std::string accountTicket(int number, const std::string& account, double weight = 1)
{
    return nlohmann::json { { "number", number }, { "accounts", { { account, { { "weight", weight } } } } } }.dump();
}

struct TicketFixture {
    using Outcome = std::optional<Result<TicketReceipt>>;

    std::shared_ptr<Outcome> submit(std::string text)
    {
        auto outcome = std::make_shared<Outcome>();
        asio::co_spawn(context, tickets.submit(std::move(text)), [outcome](std::exception_ptr, Result<TicketReceipt> result) { *outcome = std::move(result); });
        return outcome;
    }

    Result<TicketReceipt> submitAndWait(std::string text)
    {
        auto outcome = submit(std::move(text));
        timers.advance(30s);
        REQUIRE(outcome->has_value());
        return **outcome;
    }

    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    MemoryKeyValueStore store { timers };
    TicketService tickets { store, timers, log, [](Configuration) {} };
};

/** One daemon with its configuration service. */
struct Daemon {
    Daemon(asio::io_context& context, MemoryKeyValueStore& store, PeerNetwork& network, VirtualTimerService& timers, const std::string& id, const std::string& zone)
        : peers(network, { DaemonId(id), 1, 0, MemberState::Ready, AvailabilityZone(zone), Region("r"), "", "", 0, 0 })
        , configuration(context, store, peers, timers, log)
    {
        configuration.start();
    }

    Revision revision() const { return configuration.current() ? configuration.current()->revision : 0; }

    MemoryLog log;
    FakePeerService peers;
    StoredConfigurationService configuration;
};

} // namespace

// Guards against reporting two concurrent tickets as accepted although one has overwritten the other.
TEST_CASE("of two concurrent tickets with the same number, one is accepted")
{
    TicketFixture fixture;
    fixture.store.latency = 2ms;
    auto first = fixture.submit(accountTicket(1, "acme", 1));
    auto second = fixture.submit(accountTicket(1, "acme", 2));
    fixture.timers.advance(5s);
    REQUIRE((first->has_value() && second->has_value()));
    CHECK((*first)->has_value() != (*second)->has_value());
    auto& loser = (*first)->has_value() ? **second : **first;
    CHECK(loser.error().kind == ErrorKind::TicketConflict);
}

// Guards against refusing tickets that do not conflict, and against an older ticket that overwrites a newer one.
TEST_CASE("concurrent tickets with different numbers are both accepted, the older one only if it sets other objects")
{
    TicketFixture fixture;
    fixture.store.latency = 2ms;
    auto first = fixture.submit(accountTicket(1, "acme"));
    auto second = fixture.submit(accountTicket(2, "other"));
    fixture.timers.advance(5s);
    REQUIRE(((*first)->has_value() && (*second)->has_value()));
    CHECK((**first)->revision != (**second)->revision);
    REQUIRE(fixture.submitAndWait(accountTicket(9, "acme")).has_value());
    auto late = fixture.submitAndWait(accountTicket(5, "acme"));
    REQUIRE_FALSE(late.has_value());
    CHECK(late.error().kind == ErrorKind::TicketOvertaken);
    CHECK(late.error().detail.find("ticket 9") != std::string::npos);
}

// Guards against reporting an accepted ticket as rejected, or accepting it twice.
TEST_CASE("a lost response to the write of an accepted ticket is resolved by reading back")
{
    TicketFixture fixture;
    fixture.store.lostResponses = 1;
    auto receipt = fixture.submitAndWait(accountTicket(1, "acme"));
    REQUIRE(receipt.has_value());
    CHECK(*receipt == TicketReceipt { 1, 1, false });
    CHECK(*fixture.submitAndWait(accountTicket(1, "acme")) == TicketReceipt { 1, 1, true });
}

// Guards against reporting a definite outcome while it is unknown whether the ticket was accepted.
TEST_CASE("a lost response that cannot be resolved by reading back is reported as unknown, an outage as not accepted")
{
    TicketFixture fixture;
    fixture.store.latency = 10ms;
    fixture.store.lostResponses = 1;
    auto outcome = fixture.submit(accountTicket(1, "acme"));
    fixture.timers.advance(35ms);
    fixture.store.isDown = true;
    fixture.timers.advance(30s);
    REQUIRE(outcome->has_value());
    CHECK((*outcome)->error().kind == ErrorKind::TicketUnknown);
    CHECK(fixture.submitAndWait(accountTicket(2, "other")).error().kind == ErrorKind::PlatformUnavailable);
}

// Guards against a configuration that is not in force everywhere within 17 s, and against 330 blocking queries.
TEST_CASE("two daemons of each zone watch the key-value service, the others pull from peers")
{
    TicketFixture fixture;
    PeerNetwork network;
    std::vector<std::unique_ptr<Daemon>> daemons;
    daemons.reserve(6);
    for (int i = 0; i < 6; ++i)
        daemons.push_back(std::make_unique<Daemon>(fixture.context, fixture.store, network, fixture.timers, "d" + std::to_string(i), i % 2 ? "a" : "b"));
    REQUIRE(fixture.submitAndWait(accountTicket(1, "acme")).has_value());
    network.calls.clear();
    auto outcome = fixture.submit(accountTicket(2, "acme"));
    fixture.timers.advance(17s);
    for (const auto& daemon : daemons)
        CHECK(daemon->revision() == 2);
    CHECK(network.calls["pullConfig"] >= 2);
    int watchers = 0;
    for (const auto& daemon : daemons)
        watchers += isConfigurationWatcher(daemon->peers.self(), daemon->peers.members()) ? 1 : 0;
    CHECK(watchers == 4);
}

// Guards against a second acceptance of an old ticket whose number the configuration no longer lists and whose record
// was removed.
TEST_CASE("a ticket below the floor is never accepted again, with or without its record")
{
    TicketFixture fixture;
    for (int number = 1; number <= 300; ++number)
        REQUIRE(fixture.submitAndWait(accountTicket(number, "account-" + std::to_string(number))).has_value());
    auto before = fixture.store.entries.at("config/current").value;
    CHECK(*fixture.submitAndWait(accountTicket(30, "account-30")) == TicketReceipt { 30, 30, true });
    fixture.store.entries.erase("tickets/30");
    auto resubmitted = fixture.submitAndWait(accountTicket(30, "account-30"));
    auto neverUsed = fixture.submitAndWait(accountTicket(44, "unrelated"));
    REQUIRE_FALSE((resubmitted.has_value() || neverUsed.has_value()));
    CHECK(resubmitted.error().kind == ErrorKind::TicketOvertaken);
    CHECK(neverUsed.error().kind == ErrorKind::TicketConflict);
    CHECK(fixture.store.entries.at("config/current").value == before);
    CHECK(*fixture.submitAndWait(accountTicket(45, "account-45")) == TicketReceipt { 45, 45, true });
}

// Guards against a revision that decreases after a stale read or a reply of a peer with an older revision.
TEST_CASE("a stale read does not restore an old revision")
{
    TicketFixture fixture;
    PeerNetwork network;
    Daemon daemon(fixture.context, fixture.store, network, fixture.timers, "d1", "a");
    REQUIRE(fixture.submitAndWait(accountTicket(1, "acme")).has_value());
    auto stale = fixture.store.entries.at("config/current");
    REQUIRE(fixture.submitAndWait(accountTicket(2, "acme")).has_value());
    fixture.store.staleConfiguration = stale;
    fixture.timers.advance(60s);
    CHECK(daemon.revision() == 2);
}

// Guards against a daemon that starts during an outage and serves with an old configuration, or none.
TEST_CASE("a daemon started during an outage pulls the configuration from a peer and waits for the newest announced revision")
{
    TicketFixture fixture;
    PeerNetwork network;
    Daemon old(fixture.context, fixture.store, network, fixture.timers, "d1", "a");
    REQUIRE(fixture.submitAndWait(accountTicket(1, "acme")).has_value());
    fixture.store.isDown = true;
    network.records[DaemonId("gone")] = { DaemonId("gone"), 1, 0, MemberState::Suspected, AvailabilityZone("a"), Region("r"), "", "", 2, 0 };
    Daemon startedLater(fixture.context, fixture.store, network, fixture.timers, "d2", "a");
    CHECK_FALSE(startedLater.configuration.isReady());
    network.partitioned.insert(DaemonId("d1"));
    fixture.timers.advance(10s);
    CHECK(startedLater.revision() == 0);
    network.partitioned.clear();
    network.records[DaemonId("gone")].revision = 0;
    fixture.timers.advance(10s);
    CHECK(startedLater.revision() == 1);
    CHECK(startedLater.configuration.isReady());
}

// Guards against a daemon that becomes ready with an older configuration than its peers have, and against a running daemon
// that stops serving because of an outage.
TEST_CASE("a started daemon that cannot read the newest announced revision is not ready; a running daemon stays ready")
{
    TicketFixture fixture;
    PeerNetwork network;
    Daemon old(fixture.context, fixture.store, network, fixture.timers, "d1", "a");
    REQUIRE(fixture.submitAndWait(accountTicket(1, "acme")).has_value());
    fixture.store.isDown = true;
    network.records[DaemonId("gone")] = { DaemonId("gone"), 1, 0, MemberState::Suspected, AvailabilityZone("a"), Region("r"), "", "", 2, 0 };
    Daemon startedLater(fixture.context, fixture.store, network, fixture.timers, "d2", "a");
    fixture.timers.advance(20s);
    CHECK(old.configuration.isReady());
    CHECK(startedLater.revision() == 1);
    CHECK_FALSE(startedLater.configuration.isReady());
    fixture.store.isDown = false;
    REQUIRE(fixture.submitAndWait(accountTicket(2, "acme")).has_value());
    CHECK(startedLater.configuration.isReady());
}
