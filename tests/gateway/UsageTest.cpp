#include "gateway/TaskFakes.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** Carries datagrams between the daemons of a test. */
struct FakeNetwork {
    std::map<Endpoint, std::function<void(std::string_view)>> receivers;
    std::set<Endpoint> cutOff;
    double lossEvery = 0; /**< of so many datagrams one is lost; zero: none */
    size_t datagrams = 0;
    size_t bytes = 0;
};

/** One daemon that counts requests and may report them. */
struct UsageDaemon {
    UsageDaemon(GatewayFixture& fixture, FakeNetwork& network, TaskPlatform& platform, const std::string& id, uint16_t port)
        : endpoint { "10.0.0.1", port }
        , m_fixture(fixture)
        , m_network(network)
        , timers(fixture.timers)
        , mirror(std::make_shared<StoreMirror>(fixture.context, fixture.store, timers, fixture.log, "chestnutroute/", [] { return 1s; }))
        , directory(std::make_shared<DaemonDirectory>(fixture.context, fixture.store, timers, fixture.log, mirror, DaemonRecord { DaemonId(id), AvailabilityZone("a"), { "10.0.0.1", 1 }, endpoint }, [] {}))
        , lease(fixture.context, fixture.store, timers, fixture.log, mirror, { "chestnutroute/tasks/holder", DaemonId(id), 3s, [] { return 3; }, true })
        , meter(timers, { 5s, 10s })
        , exchange(fixture.store, timers, log, metrics, *mirror, *directory, lease, meter, [this](const Endpoint& target, std::string_view bytes) { send(target, bytes); })
        , reporter(fixture.context, fixture.store, timers, log, metrics, *mirror, platform, lease, meter, exchange.ledger())
    {
        network.receivers[endpoint] = [this](std::string_view bytes) { exchange.receive(bytes); };
        mirror->start();
        directory->start();
        lease.start();
        exchange.start();
        reporter.start();
    }

    ~UsageDaemon() { m_network.receivers.erase(endpoint); }

    void send(const Endpoint& target, std::string_view bytes)
    {
        ++m_network.datagrams;
        m_network.bytes += bytes.size();
        auto isLost = m_network.lossEvery > 0 && m_network.datagrams % static_cast<size_t>(m_network.lossEvery) == 0;
        if (isLost || timers.isPaused() || m_network.cutOff.contains(endpoint) || m_network.cutOff.contains(target))
            return;
        asio::post(m_fixture.context, [&network = m_network, target, copy = std::string(bytes)] {
            if (auto receiver = network.receivers.find(target); receiver != network.receivers.end())
                receiver->second(copy);
        });
    }

    /** The process stops for ever and without notice. */
    void kill()
    {
        timers.pause();
        m_network.receivers.erase(endpoint);
    }

    Endpoint endpoint;
    GatewayFixture& m_fixture;
    FakeNetwork& m_network;
    PausableTimers timers;
    MemoryLog log;
    Metrics metrics;
    std::shared_ptr<StoreMirror> mirror;
    std::shared_ptr<DaemonDirectory> directory;
    FencedLease lease;
    UsageMeter meter;
    UsageExchange exchange;
    UsageReporter reporter;
};

/** Three daemons with one platform. */
struct UsageFleet : GatewayFixture {
    UsageFleet()
    {
        for (uint16_t i = 0; i < 3; ++i)
            addDaemon("u" + std::to_string(i));
    }

    UsageDaemon& addDaemon(const std::string& id)
    {
        daemons.push_back(std::make_unique<UsageDaemon>(*this, network, platform, id, static_cast<uint16_t>(100 + daemons.size())));
        return *daemons.back();
    }

    UsageWindow window() const { return windowAt({ 5s, 10s }, timers.timeOfDay()); }

    /** Counts a request at a daemon now. */
    void request(UsageDaemon& daemon, const std::string& account)
    {
        daemon.meter.count(AccountId(account));
        ++expected[window()][AccountId(account)];
    }

    /** Small accounts with a few requests and a larger one, at all daemons. */
    void runTraffic(Duration time)
    {
        for (auto end = timers.now() + time; timers.now() < end;) {
            for (size_t i = 0; i < daemons.size(); ++i) {
                if (!daemons[i]->timers.isPaused() && m_step % 10 == i)
                    request(*daemons[i], "large");
                if (!daemons[i]->timers.isPaused() && m_step % 70 == i * 20)
                    request(*daemons[i], "small" + std::to_string(i));
            }
            ++m_step;
            timers.advance(30ms);
        }
    }

    UsageDaemon* holder()
    {
        for (auto& daemon : daemons) {
            if (daemon->lease.isHeld() && !daemon->timers.isPaused())
                return daemon.get();
        }
        return nullptr;
    }

    UsageDaemon& awaitHolder()
    {
        for (int i = 0; i < 400 && !(holder() && holder()->lease.mayAct(longestTaskCall)); ++i)
            runTraffic(50ms);
        REQUIRE(holder() != nullptr);
        return *holder();
    }

    /** What the platform has received for each window; the same for each call of a window, and in time. */
    std::map<UsageWindow, std::map<AccountId, uint64_t>> reported() const
    {
        std::map<UsageWindow, std::map<AccountId, uint64_t>> windows;
        for (const auto& call : platform.calls) {
            auto [entry, isNew] = windows.try_emplace(call.report.window, call.report.requests);
            CHECK(entry->second == call.report.requests);
        }
        return windows;
    }

    void checkHolders() const
    {
        for (size_t i = 1; i < platform.calls.size(); ++i) {
            const auto& before = platform.calls[i - 1];
            const auto& call = platform.calls[i];
            CHECK(call.authority.fencingNumber >= before.authority.fencingNumber);
            if (call.authority != before.authority)
                CHECK(call.begin > before.end);
        }
    }

    /** Checks the windows that ended between two times; `from` may lie in the past. */
    void checkExact(UsageWindow from, UsageWindow to) const
    {
        auto windows = reported();
        for (auto w = from; w < to; ++w) {
            REQUIRE(windows.contains(w));
            auto found = expected.find(w);
            CHECK(windows.at(w) == (found == expected.end() ? std::map<AccountId, uint64_t>() : found->second));
        }
    }

    FakeNetwork network;
    FakeTaskPlatform platform { timers };
    std::vector<std::unique_ptr<UsageDaemon>> daemons;
    std::map<UsageWindow, std::map<AccountId, uint64_t>> expected;

private:
    size_t m_step = 0;
};

} // namespace

// Guards against counts that are off for accounts with a few requests, where one missing request is more than 5%.
TEST_CASE("counts of all daemons are reported exactly, within a few seconds of the end of each window")
{
    UsageFleet fleet;
    SUBCASE("also if every fourth datagram is lost") { fleet.network.lossEvery = 4; }
    SUBCASE("without losses") { }
    fleet.awaitHolder();
    auto from = fleet.window();
    fleet.runTraffic(60s);
    fleet.checkExact(from, fleet.window() - 1);
    std::set<UsageWindow> seen;
    for (const auto& call : fleet.platform.calls) {
        CHECK(seen.insert(call.report.window).second);
        auto delay = call.begin - TimePoint(endOf({ 5s, 10s }, call.report.window) - fleet.daemons[0]->meter.time() + fleet.timers.now().time_since_epoch());
        CHECK(delay < 4s);
    }
    // One write for each window, to keys that are used again.
    size_t keys = 0;
    for (const auto& [key, item] : fleet.store.items())
        keys += key.starts_with("chestnutroute-usage/") ? 1 : 0;
    CHECK(keys <= 5);
}

// Guards against the first windows of a deployment, which are in no report because no holder was elected yet.
TEST_CASE("windows from before the first holder may act are reported")
{
    UsageFleet fleet;
    auto from = fleet.window() + 1;
    fleet.runTraffic(40s);
    fleet.checkExact(from, fleet.window() - 1);
}

TEST_CASE("windows without requests are reported once traffic has begun, and not before")
{
    UsageFleet fleet;
    fleet.timers.advance(30s);
    CHECK(fleet.platform.calls.empty());
    auto from = fleet.window();
    fleet.request(*fleet.daemons[0], "x");
    fleet.timers.advance(30s);
    fleet.checkExact(from, fleet.window() - 1);
}

// Guards against a window that is reported twice with different counts because the former holder had fixed them.
TEST_CASE("a successor repeats what was fixed, at whatever moment the holder dies")
{
    enum class Fault : uint8_t { SlowCalls,
        LostResponses,
        LostStoreResponses };
    auto fault = Fault::SlowCalls;
    SUBCASE("the calls are slow") { fault = Fault::SlowCalls; }
    SUBCASE("the responses are lost") { fault = Fault::LostResponses; }
    SUBCASE("the store's responses are lost") { fault = Fault::LostStoreResponses; }
    size_t repeated = 0;
    for (auto delay = 0ms; delay < 5000ms; delay += 400ms) {
        UsageFleet fleet;
        auto& first = fleet.awaitHolder();
        fleet.runTraffic(7s);
        fleet.platform.responseTime = fault == Fault::SlowCalls ? 800ms : 5ms;
        fleet.platform.dropsResponses = fault == Fault::LostResponses;
        fleet.store.dropsResponses = fault == Fault::LostStoreResponses;
        fleet.runTraffic(delay);
        first.kill();
        fleet.store.dropsResponses = false;
        fleet.runTraffic(2s);
        fleet.platform.dropsResponses = false;
        auto killedIn = fleet.window();
        fleet.runTraffic(30s);
        (void)fleet.reported();
        fleet.checkHolders();
        // The successor reports the later windows exactly.
        fleet.checkExact(killedIn + 1, fleet.window() - 1);
        repeated += fleet.platform.calls.size() - fleet.reported().size();
    }
    CHECK(repeated > 0);
}

// Guards against counts that a former holder fixes after the next one has read what was fixed.
TEST_CASE("a holder that has not noticed its successor cannot fix counts")
{
    UsageFleet fleet;
    auto& first = fleet.awaitHolder();
    fleet.runTraffic(10s);
    while (fleet.timers.timeOfDay() % Duration(5s) < 2200ms || fleet.timers.timeOfDay() % Duration(5s) > 2300ms)
        fleet.runTraffic(30ms);
    auto fixed = [&fleet] {
        std::map<std::string, StoreItem> items = fleet.store.items();
        std::erase_if(items, [](const auto& item) { return !item.first.starts_with("chestnutroute-usage/"); });
        return items;
    };
    auto before = fixed();
    // After this change, the daemons pause before they watch the store again.
    fleet.store.put("chestnutroute/other", "x");
    fleet.runTraffic(60ms);
    fleet.store.put(first.lease.key(), "another");
    fleet.runTraffic(500ms);
    CHECK(first.lease.isHeld());
    CHECK(fixed() == before);
    CHECK_FALSE(first.log.recent(EventId::UsageNotFixed).empty());
}

// Guards against a holder that stopped between fixing the counts and sending them, and that goes on later.
TEST_CASE("a holder that was stopped and continues sends nothing that differs")
{
    for (auto pause : { 1s, 3s, 5s, 8s, 20s }) {
        UsageFleet fleet;
        fleet.platform.responseTime = 300ms;
        auto& first = fleet.awaitHolder();
        fleet.runTraffic(11s);
        first.timers.pause();
        fleet.runTraffic(pause);
        first.timers.resume();
        fleet.runTraffic(30s);
        (void)fleet.reported();
        fleet.checkHolders();
    }
}

// Guards against a second report of a window whose first one the restored store does not know.
TEST_CASE("after a restore of the store no window is reported with other counts")
{
    enum class Change : uint8_t { None,
        HolderDies,
        FleetIsReplaced };
    auto change = Change::None;
    SUBCASE("and the holder remains") { change = Change::None; }
    SUBCASE("and the holder dies with the store") { change = Change::HolderDies; }
    SUBCASE("and all daemons are replaced by one that starts after the restore") { change = Change::FleetIsReplaced; }
    for (auto delay = 0ms; delay < 5000ms; delay += 700ms) {
        UsageFleet fleet;
        fleet.awaitHolder();
        auto copy = fleet.store.copy();
        fleet.runTraffic(20s + delay);
        if (change == Change::HolderDies)
            fleet.holder()->kill();
        for (size_t i = 0; i < fleet.daemons.size() && change == Change::FleetIsReplaced; ++i)
            fleet.daemons[i]->kill();
        fleet.store.restore(copy);
        if (change == Change::FleetIsReplaced)
            fleet.addDaemon("u9");
        auto restoredIn = fleet.window();
        fleet.runTraffic(45s);
        (void)fleet.reported();
        fleet.checkHolders();
        CHECK(fleet.reported().rbegin()->first > restoredIn + 3);
    }
}

// Guards against counts that are lost with a daemon although the holder could have known them.
TEST_CASE("a killed daemon loses at most the counts of its last second")
{
    for (auto delay = 0ms; delay < 2000ms; delay += 130ms) {
        UsageFleet fleet;
        auto& first = fleet.awaitHolder();
        auto& killed = &first == fleet.daemons[0].get() ? *fleet.daemons[1] : *fleet.daemons[0];
        auto from = fleet.window() + 1;
        fleet.runTraffic(12s + delay);
        auto before = fleet.expected;
        fleet.runTraffic(1s);
        killed.kill();
        fleet.runTraffic(20s);
        auto reported = fleet.reported();
        for (auto w = from; w + 2 < fleet.window(); ++w) {
            for (const auto& [account, requests] : before[w])
                CHECK(reported[w][account] >= requests);
            for (const auto& [account, requests] : reported[w])
                CHECK(requests <= fleet.expected[w][account]);
        }
    }
}

// Guards against reports under the wrong window because the clocks of some daemons are stepped for a while.
TEST_CASE("steps of the time of day that are reverted change no count")
{
    UsageFleet fleet;
    auto& first = fleet.awaitHolder();
    auto from = fleet.window();
    fleet.runTraffic(7s);
    first.timers.step(13s);
    fleet.daemons[0]->timers.step(-60s);
    fleet.daemons[1]->timers.step(4s);
    fleet.runTraffic(25s);
    first.timers.step(-13s);
    fleet.daemons[0]->timers.step(60s);
    fleet.daemons[1]->timers.step(-4s);
    fleet.runTraffic(30s);
    fleet.checkExact(from, fleet.window() - 1);
}

// Guards against a report that is given up although it is not late, and against calls that go on after that.
TEST_CASE("a report is repeated with the same counts until it is acknowledged or late")
{
    UsageFleet fleet;
    fleet.awaitHolder();
    fleet.runTraffic(10s);
    auto from = fleet.window() - 1;
    SUBCASE("refused for the rate")
    {
        fleet.platform.rateRefusals = 6;
        fleet.runTraffic(20s);
    }
    SUBCASE("the platform is busy")
    {
        fleet.platform.isBusy = true;
        fleet.runTraffic(5s);
        fleet.platform.isBusy = false;
        fleet.runTraffic(15s);
    }
    SUBCASE("the platform is slow")
    {
        fleet.platform.responseTime = 1500ms;
        fleet.runTraffic(20s);
    }
    SUBCASE("responses are lost")
    {
        fleet.platform.dropsResponses = true;
        fleet.runTraffic(6s);
        fleet.platform.dropsResponses = false;
        fleet.runTraffic(14s);
    }
    fleet.checkExact(from, fleet.window() - 1);
}

TEST_CASE("a report that stays unacknowledged is late, and the later windows are reported")
{
    UsageFleet fleet;
    auto& first = fleet.awaitHolder();
    fleet.runTraffic(10s);
    fleet.platform.isBusy = true;
    fleet.runTraffic(25s);
    CHECK_FALSE(first.log.recent(EventId::UsageReportLate).empty());
    fleet.platform.isBusy = false;
    auto from = fleet.window();
    fleet.runTraffic(20s);
    fleet.checkExact(from, fleet.window() - 1);
}

// Guards against counts that a daemon in another part of the network never sends.
TEST_CASE("a daemon that could not reach the holder for a while sends its counts afterwards")
{
    UsageFleet fleet;
    auto& first = fleet.awaitHolder();
    auto& cut = &first == fleet.daemons[0].get() ? *fleet.daemons[1] : *fleet.daemons[0];
    auto from = fleet.window();
    fleet.runTraffic(4s);
    fleet.network.cutOff.insert(cut.endpoint);
    fleet.runTraffic(1500ms);
    fleet.network.cutOff.clear();
    fleet.runTraffic(20s);
    fleet.checkExact(from, fleet.window() - 1);
}

// Guards against the counts of the last second of a daemon that is stopped as planned.
TEST_CASE("a planned stop of a daemon, or of the holder, loses no count")
{
    UsageFleet fleet;
    auto& first = fleet.awaitHolder();
    auto& other = &first == fleet.daemons[0].get() ? *fleet.daemons[1] : *fleet.daemons[0];
    auto from = fleet.window();
    auto stop = [](UsageDaemon& daemon) -> asio::awaitable<void> {
        co_await daemon.reporter.stop();
        co_await daemon.lease.stop();
        co_await daemon.exchange.flush(400ms);
    };
    fleet.runTraffic(6900ms);
    SUBCASE("a daemon")
    {
        fleet.request(other, "last");
        asio::co_spawn(fleet.context, stop(other), asio::detached);
        fleet.timers.advance(100ms);
        other.kill();
    }
    SUBCASE("the holder, which still serves for some seconds")
    {
        asio::co_spawn(fleet.context, stop(first), asio::detached);
        fleet.runTraffic(6s);
        asio::co_spawn(fleet.context, first.exchange.flush(400ms), asio::detached);
        fleet.timers.advance(50ms);
        first.kill();
    }
    fleet.runTraffic(30s);
    fleet.checkExact(from, fleet.window() - 1);
    fleet.checkHolders();
}

namespace {

/** Relays requests of one account with a meter. */
struct MeteredFixture : GatewayFixture {
    MeteredFixture()
    {
        account = RequestAccount { AccountId("x"), std::nullopt };
        services.usage = &meter;
    }

    uint64_t counted()
    {
        uint64_t sum = 0;
        for (const auto& [window, accounts] : meter.counts().windows) {
            for (const auto& [id, count] : accounts)
                sum += count.requests;
        }
        return sum;
    }

    UsageMeter meter { timers, { 5s, 10s } };
};

} // namespace

// Guards against streams that are counted for each attempt, or although no token was sent.
TEST_CASE("a stream is counted once, at its first event, also when it is resumed")
{
    MeteredFixture fixture;
    for (const auto* id : { "i-0", "i-1" })
        fixture.addReplica(id, "s", "decode");
    FakeWriter writer;
    SUBCASE("complete and resumed")
    {
        for (const auto* id : { "i-0", "i-1" })
            fixture.replicaClient.scripts[ReplicaId(id)] = { { {}, ExecutionStatus::Executed, 200, {}, { "id: 1\ndata: a\n\n" }, false, true }, { {}, ExecutionStatus::Executed, 200, {}, { "id: 2\ndata: b\n\n" } } };
        fixture.runRequest(fixture.route(RouteKind::Streaming, 3, true), writer, GatewayFixture::longPrompt());
        CHECK(fixture.counted() == 1);
    }
    SUBCASE("refused")
    {
        for (const auto* id : { "i-0", "i-1" })
            fixture.replicaClient.scripts[ReplicaId(id)] = { { {}, ExecutionStatus::NotExecuted, 503 } };
        fixture.runRequest(fixture.route(RouteKind::Streaming, 3, true), writer, GatewayFixture::longPrompt());
        CHECK(fixture.counted() == 0);
    }
}

// Guards against refused calls that are counted, and calls with an error or a lost response that are not.
TEST_CASE("a plain call is counted once if a replica has run it or may have run it")
{
    MeteredFixture fixture;
    for (const auto* id : { "p-0", "p-1" })
        fixture.addReplica(id, "s", "none");
    auto& scripts = fixture.replicaClient.scripts;
    FakeWriter writer;
    auto countFor = [&](const ScriptedResponse& response) {
        for (const auto* id : { "p-0", "p-1" })
            scripts[ReplicaId(id)] = { response };
        fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer);
        return fixture.counted();
    };
    SUBCASE("run") { CHECK(countFor({ {}, ExecutionStatus::Executed, 200, {}, { "ok" } }) == 1); }
    SUBCASE("run with an error") { CHECK(countFor({ {}, ExecutionStatus::Executed, 500, {}, { "no" } }) == 1); }
    SUBCASE("refused") { CHECK(countFor({ {}, ExecutionStatus::NotExecuted, 503 }) == 0); }
    SUBCASE("not sent") { CHECK(countFor({ makeError(ErrorKind::ConnectFailed, "no route") }) == 0); }
    SUBCASE("lost") { CHECK(countFor({ makeError(ErrorKind::BackendFailed, "reset") }) == 1); }
    SUBCASE("without an account")
    {
        fixture.account.reset();
        CHECK(countFor({ {}, ExecutionStatus::Executed, 200, {}, { "ok" } }) == 0);
    }
}

// Guards against calls that are counted only after the report of their window.
TEST_CASE("a call that outlasts its window by seconds is counted before the window is closed, and once")
{
    MeteredFixture fixture;
    auto call = fixture.meter.beginCall(AccountId("x"));
    auto window = windowAt(fixture.meter.windows(), fixture.meter.time());
    fixture.timers.advance(4s);
    fixture.meter.update();
    CHECK(fixture.counted() == 0);
    fixture.timers.advance(2600ms);
    fixture.meter.update();
    CHECK(fixture.meter.counts().windows.at(window).at(AccountId("x")).requests == 1);
    fixture.meter.endCall(call, true);
    CHECK(fixture.counted() == 1);
}

// Guards against a datagram from another program, or of another version, that ends the daemon.
TEST_CASE("usage messages are decoded as they were encoded, and others are refused")
{
    std::vector<UsageMessage> messages { UsageCountsMessage { { DaemonId("d"), 7 }, 8, 9, { { 1, AccountId("x"), 2 }, { 1, AccountId("y"), 3 }, { 2, AccountId("x"), 1 } } }, UsageAcknowledgement { 8, 7, 9 }, UsageAnnouncement { DaemonId("d"), 8 } };
    for (const auto& message : messages) {
        auto bytes = encodeUsageMessage(message);
        CHECK(decodeUsageMessage(bytes).value() == message);
        for (size_t size = 0; size < bytes.size(); ++size)
            CHECK_FALSE(decodeUsageMessage(std::string_view(bytes).substr(0, size)).has_value());
    }
    CHECK_FALSE(decodeUsageMessage("U1\x81\x61x").has_value());
}
