#include "gateway/AccountsFixture.h"
#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

int statusOf(AccountsFixture& fixture, const std::string& path, const std::string& key)
{
    FakeWriter writer;
    fixture.start(writer, path, key);
    return writer.status;
}

/** The response to a decode call whose connection breaks after one event. */
ScriptedResponse brokenStream()
{
    return { .chunks = { "id: 1\ndata: a\n\n" }, .closesEarly = true, .chunkDelay = 200ms };
}

} // namespace

// Guards against requests that run without a valid key.
TEST_CASE("a request without a key of an account gets 401 at once and is not run")
{
    AccountsFixture fixture("1 accounts a=k1 b=k2");
    for (const auto* key : { "", "k3", "k1,k2", "a" }) {
        FakeWriter writer;
        fixture.start(writer, "/x", key);
        CHECK(writer.status == 401);
        CHECK_FALSE(writer.headers.contains("Retry-After"));
        CHECK(writer.body.find("not_run") != std::string::npos);
    }
    CHECK(fixture.replicaClient.sent.empty());
    CHECK(fixture.metrics.value("chestnut_gateway_unauthenticated_total") == 4);
    CHECK(statusOf(fixture, "/x", "k2") == 200);
    CHECK(fixture.replicaClient.sent.at(0).account == RequestAccount { AccountId("b"), {} });
}

TEST_CASE("requests of public routes and of configurations without accounts need no key")
{
    AccountsFixture fixture("1 accounts a=k1");
    CHECK(statusOf(fixture, "/public/x", "") == 200);
    CHECK(statusOf(fixture, "/public/x", "k9") == 200);
    CHECK(std::ranges::none_of(fixture.replicaClient.sent, [](const auto& call) { return call.account.has_value(); }));
    fixture.store.put("config", "2");
    fixture.timers.advance(1s);
    CHECK(statusOf(fixture, "/x", "") == 200);
}

TEST_CASE("without a route the response is 404, whatever the key is")
{
    AccountsFixture fixture("1 accounts a=k1");
    FakeWriter writer;
    RoutedRequest request;
    request.host = "other";
    request.arrival = fixture.timers.now();
    asio::co_spawn(fixture.context, fixture.gateway.handle(std::move(request), writer), asio::detached);
    fixture.timers.advance(10ms);
    CHECK(writer.status == 404);
}

// Guards against keys in log lines, which operators copy.
TEST_CASE("no log line contains a key")
{
    AccountsFixture fixture("1 accounts a=secretkey b=secretkey,otherkey c=");
    for (const auto* key : { "secretkey", "otherkey", "secretkeyx" })
        (void)statusOf(fixture, "/x", key);
    for (const auto event : { EventId::AccountsInvalid, EventId::RequestRefused, EventId::RequestRouted, EventId::ConfigurationApplied }) {
        CHECK_FALSE(fixture.log.recent(event).empty());
        for (const auto& entry : fixture.log.recent(event)) {
            auto line = formatLogfmt(entry);
            CHECK(line.find("secretkey") == std::string::npos);
            CHECK(line.find("otherkey") == std::string::npos);
        }
    }
}

// Guards against a configuration that is lost, or a log that is flooded, because of ambiguous accounts.
TEST_CASE("a version with ambiguous accounts is applied, and one line names them")
{
    AccountsFixture fixture("1 accounts a=k1,shared b=shared c=");
    REQUIRE(fixture.log.recent(EventId::AccountsInvalid).size() == 1);
    CHECK(formatLogfmt(fixture.log.recent(EventId::AccountsInvalid)[0]).find("shared_key=2") != std::string::npos);
    CHECK(statusOf(fixture, "/x", "k1") == 200);
    CHECK(statusOf(fixture, "/x", "shared") == 401);
}

// Guards against streams that are cut, or refused at their continuation, by the withdrawal of their key.
TEST_CASE("an admitted request continues when its key is removed, with its account in each call")
{
    AccountsFixture fixture("1 accounts a=k1");
    fixture.replicaClient.scripts[ReplicaId("e-2")] = { brokenStream() };
    fixture.replicaClient.scripts[ReplicaId("e-3")] = { brokenStream() };
    FakeWriter writer;
    fixture.start(writer, "/stream/x", "k1", PromptShape { "m", 9000, 2, { { 1, 6000 }, { 2, 3000 } } });
    fixture.store.put("config", "2 accounts a=k2");
    fixture.timers.advance(3s);
    CHECK(writer.status == 200);
    CHECK(fixture.replicaClient.sent.size() == 2);
    CHECK(fixture.replicaClient.prefills.size() == 1);
    RequestAccount account { AccountId("a"), {} };
    CHECK(std::ranges::all_of(fixture.replicaClient.sent, [&](const auto& call) { return call.account == account; }));
    CHECK(std::ranges::all_of(fixture.replicaClient.prefillAccounts, [&](const auto& sent) { return sent == account; }));
    CHECK(fixture.replicaClient.sent[1].resumeAfter == "1");
    // New requests are judged by the new version.
    CHECK(statusOf(fixture, "/x", "k1") == 401);
    CHECK(statusOf(fixture, "/x", "k2") == 200);
}

// Guards against a bulk account that is served like an urgent one, or the other way round.
TEST_CASE("the priority of an account takes precedence over that of the route")
{
    RoutedRequest request;
    Route route;
    route.priority = 5;
    RoutingConfiguration configuration;
    configuration.accounts = { { { AccountId("a"), { "k1" }, 0 }, { AccountId("b"), { "k2" }, {} } } };
    RouteTable table(std::move(configuration));
    auto priorityOf = [&](const std::string& key) {
        request.key = key;
        REQUIRE(authenticate(request, route, table).has_value());
        return request.account->priority.value_or(route.priority);
    };
    CHECK(priorityOf("k1") == 0);
    CHECK(priorityOf("k2") == 5);
    CHECK(request.key.empty());
    CHECK_FALSE(request.forwardsKey);
    // The relays ask their context.
    GatewayFixture fixture;
    auto tableOfRelay = std::make_shared<const RouteTable>(RoutingConfiguration());
    request.account->priority = 2;
    CHECK(RelayContext(fixture.services, request, tableOfRelay, route, ServiceId("s")).priority() == 2);
    request.account.reset();
    CHECK(RelayContext(fixture.services, request, tableOfRelay, route, ServiceId("s")).priority() == 5);
}

// Guards against as many series as there are accounts, and against accounts that are shown long after their last request.
TEST_CASE("requests and refusals are shown for the largest accounts of the last minute only")
{
    asio::io_context context;
    VirtualTimerService timers(context);
    Metrics metrics;
    AccountMetrics accounts(timers, metrics);
    for (int i = 1; i <= 40; ++i) {
        for (int requests = 0; requests < i; ++requests)
            accounts.record(AccountId("a" + std::to_string(i)), requests == 0);
    }
    timers.advance(61s);
    CHECK(metrics.value("chestnut_account_requests_last_minute", { { "account", "a40" } }) == 40);
    CHECK(metrics.value("chestnut_account_refusals_last_minute", { { "account", "a40" } }) == 1);
    CHECK(metrics.expose().find("account=\"a30\"") == std::string::npos);
    CHECK(metrics.expose().find("account=\"a31\"") != std::string::npos);
    accounts.record(AccountId("b"), false);
    timers.advance(60s);
    CHECK(metrics.expose().find("account=\"a40\"") == std::string::npos);
    CHECK(metrics.expose().find("account=\"b\"") != std::string::npos);
}

TEST_CASE("a gateway counts the refusals of an account")
{
    AccountsFixture fixture("1 accounts a=k1");
    CHECK(statusOf(fixture, "/x", "k1") == 200);
    fixture.store.erase("servers/s-1");
    fixture.store.erase("servers/s-2");
    fixture.timers.advance(2s);
    CHECK(statusOf(fixture, "/x", "k1") == 503);
    fixture.timers.advance(60s);
    CHECK(fixture.metrics.value("chestnut_account_requests_last_minute", { { "account", "a" } }) == 2);
    CHECK(fixture.metrics.value("chestnut_account_refusals_last_minute", { { "account", "a" } }) == 1);
}
