#include "PeerFleet.h"

#include "base/errors/MakeResult.h"
#include "peers/transport/NngTransport.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

PeerHandler echoHandler()
{
    return [](DaemonId sender, nlohmann::json body) -> asio::awaitable<Result<nlohmann::json>> {
        co_return makeResult(nlohmann::json { { "sender", sender.value() }, { "body", std::move(body) } });
    };
}

/** Sends bytes from outside the membership and returns the decoded reply. */
std::optional<PeerMessage> sendRaw(PeerFleet& fleet, PeerFleet::Node& receiver, std::string bytes)
{
    asio::io_context context;
    VirtualTimerService timers(context);
    NngTransport transport(context, timers);
    std::optional<Result<std::string>> reply;
    asio::co_spawn(context, transport.call(PeerFleet::addressOf(receiver), std::move(bytes), 2s),
        [&](const std::exception_ptr&, Result<std::string> value) { reply = std::move(value); });
    fleet.runUntil([&] {
        timers.advance(10ms);
        return reply.has_value();
    });
    transport.close();
    timers.runReady();
    if (!reply || !*reply)
        return std::nullopt;
    auto message = decodePeerMessage(**reply);
    return message ? std::optional(*message) : std::nullopt;
}

MemberState stateSeenBy(const PeerFleet::Node& node, const char* id)
{
    auto record = node.service->member(DaemonId(id));
    return record ? record->state : MemberState::Dropped;
}

} // namespace

// Guards against a daemon that is ready before it has found its peers and so cannot report to them that a request crashes
// engines: in one of four CI runs, a prompt crashed four engines instead of two.
TEST_CASE("a new daemon lists all its seeds as members after its first heartbeats")
{
    PeerFleet fleet;
    for (const auto* id : { "a", "b", "c", "d", "e", "f" })
        fleet.add(id);
    auto hasAllMembers = [&] { return fleet.nodes.back()->service->members().size() == 6; };
    REQUIRE(fleet.runUntil([&] { return hasAllMembers() || fleet.nodes.back()->timers.now() > TimePoint(2500ms); }));
    CHECK(hasAllMembers());
}

// Guards against members that do not find each other, and against announced values that only reach direct peers.
TEST_CASE("daemons find each other through one seed and receive announced values")
{
    PeerFleet fleet;
    for (const auto* id : { "a", "b", "c", "d" })
        fleet.add(id);
    REQUIRE(fleet.runUntilMemberCount(4));
    size_t changes = 0;
    fleet.nodes[3]->service->onMemberChange([&](const MemberRecord& record) { changes += record.revision == 7; });
    fleet.nodes[0]->service->announceRevision(7);
    fleet.nodes[0]->service->announceState(MemberState::Ready);
    CHECK(fleet.runUntil([&] { return fleet.nodes[3]->service->member(DaemonId("a"))->revision == 7; }));
    CHECK(stateSeenBy(*fleet.nodes[3], "a") == MemberState::Ready);
    CHECK(changes > 0);
    CHECK(fleet.nodes[0]->metrics.value("chestnut_peer_bytes_total", { { "direction", "sent" } }) > 0);
}

// Guards against heartbeat extensions that are sent but not delivered, or delivered with the wrong sender.
TEST_CASE("a heartbeat extension is delivered with the id of its sender")
{
    PeerFleet fleet;
    std::set<std::string> seen;
    for (const auto* id : { "a", "b" }) {
        fleet.add(id).service->extendHeartbeat({ "suspects", [id] { return nlohmann::json(id); },
            [&](const DaemonId& sender, const nlohmann::json& value) { seen.insert(sender.value() + "=" + value.get<std::string>()); } });
    }
    CHECK(fleet.runUntil([&] { return seen == std::set<std::string> { "a=a", "b=b" }; }));
}

// Guards against calls that report the wrong outcome: a call that may have been executed must not be reported as not run.
TEST_CASE("a call reports whether it may have been executed")
{
    PeerFleet fleet;
    auto& a = fleet.add("a");
    auto& b = fleet.add("b");
    b.service->handle("echo", echoHandler());
    b.service->handle("fail", [](DaemonId, nlohmann::json) -> asio::awaitable<Result<nlohmann::json>> {
        co_return makeError(ErrorKind::KeyConflict, "another body");
    });
    REQUIRE(fleet.runUntilMemberCount(2));
    CHECK(fleet.call(a, "b", "echo", 5)->value() == nlohmann::json { { "sender", "a" }, { "body", 5 } });
    CHECK(fleet.call(a, "b", "fail", 5)->error() == makeError(ErrorKind::KeyConflict, "another body"));
    CHECK(fleet.call(a, "b", "missing", 5)->error().kind == ErrorKind::NotFound);
    CHECK(fleet.call(a, "stranger", "echo", 5)->error().kind == ErrorKind::ConnectFailed);
    CHECK(fleet.call(a, "b", "echo", std::string(maximumPeerMessageBytes, 'x'))->error().kind == ErrorKind::BodyTooLarge);
    b.isPaused = true;
    CHECK(fleet.call(a, "b", "echo", 5)->error().kind == ErrorKind::OutcomeUnknown);
    b.service.reset();
    auto afterDeath = fleet.call(a, "b", "echo", 5)->error().kind;
    CHECK((afterDeath == ErrorKind::OutcomeUnknown || afterDeath == ErrorKind::ConnectFailed));
}

// Guards against a paused peer that delays messages to others, and against a resumed peer that keeps an incarnation that
// the others have removed.
TEST_CASE("a paused daemon is suspected and removed, delays no calls, and rejoins with a new incarnation")
{
    PeerFleet fleet;
    for (const auto* id : { "a", "b", "c" })
        fleet.add(id).service->handle("echo", echoHandler());
    REQUIRE(fleet.runUntilMemberCount(3));
    auto& paused = *fleet.nodes[2];
    auto before = paused.service->incarnation();
    paused.isPaused = true;
    CHECK(fleet.runUntil([&] { return stateSeenBy(*fleet.nodes[0], "c") == MemberState::Suspected; }));
    CHECK(fleet.call(*fleet.nodes[0], "b", "echo", 1)->has_value());
    CHECK(fleet.runUntil([&] { return !fleet.nodes[0]->service->member(DaemonId("c")) && !fleet.nodes[1]->service->member(DaemonId("c")); }));
    paused.isPaused = false;
    REQUIRE(fleet.runUntil([&] { return fleet.nodes[0]->service->member(DaemonId("c")) && fleet.nodes[1]->service->member(DaemonId("c")); }));
    CHECK(paused.service->incarnation() > before);
    CHECK_FALSE(paused.log.recent(EventId::IncarnationRenewed).empty());
}

// Guards against a planned stop that peers detect only after 10 s without a heartbeat, or treat as a failure.
TEST_CASE("a daemon that announces its departure is removed immediately and never suspected")
{
    PeerFleet fleet;
    for (const auto* id : { "a", "b", "c", "d" })
        fleet.add(id);
    REQUIRE(fleet.runUntilMemberCount(4));
    auto& leaving = *fleet.nodes[3];
    std::vector<std::vector<MemberState>> seen(3);
    std::vector<TimePoint> removedAt(3);
    for (size_t i = 0; i < 3; ++i) {
        fleet.nodes[i]->service->onMemberChange([&, i](const MemberRecord& record) {
            if (record.id == leaving.service->self()) {
                seen[i].push_back(record.state);
                removedAt[i] = fleet.nodes[i]->timers.now();
            }
        });
    }
    auto start = fleet.nodes[0]->timers.now();
    bool isStopped = false;
    asio::co_spawn(leaving.context, leaving.service->stop(), [&](const std::exception_ptr&) { isStopped = true; });
    CHECK(fleet.runUntil([&] {
        return isStopped && std::ranges::all_of(seen, [](const auto& states) { return !states.empty(); });
    }));
    for (size_t i = 0; i < 3; ++i) {
        CHECK(seen[i] == std::vector<MemberState> { MemberState::Dropped });
        CHECK(removedAt[i] - start < suspicionTime);
    }
    CHECK(leaving.service->incarnation() == 1000);
}

// Guards against two sides of a partition that do not rejoin after it.
TEST_CASE("both sides of a partition remove each other and rejoin after it")
{
    PeerFleet fleet;
    for (const auto* id : { "a", "b", "c", "d" })
        fleet.add(id);
    REQUIRE(fleet.runUntilMemberCount(4));
    for (size_t i = 0; i < 4; ++i) {
        for (size_t j = 0; j < 4; ++j) {
            if (i % 2 != j % 2)
                fleet.nodes[i]->blockedAddresses.insert(PeerFleet::addressOf(*fleet.nodes[j]));
        }
    }
    REQUIRE(fleet.runUntilMemberCount(2));
    for (auto& node : fleet.nodes)
        node->blockedAddresses.clear();
    CHECK(fleet.runUntilMemberCount(4));
}

// Guards against a restarted daemon that its peers ignore because its counter starts at 1 again.
TEST_CASE("a restarted daemon is listed with its new incarnation and address")
{
    PeerFleet fleet;
    auto& a = fleet.add("a");
    auto& b = fleet.add("b");
    REQUIRE(fleet.runUntilMemberCount(2));
    b.service.reset();
    fleet.open(b, "b", 2000);
    CHECK(fleet.runUntil([&] {
        auto record = a.service->member(DaemonId("b"));
        return record && record->incarnation == 2000 && record->peerAddress == PeerFleet::addressOf(b);
    }));
}

// Guards against two processes with the same id that are not detected.
TEST_CASE("two processes with the same id are reported as a conflict")
{
    PeerFleet fleet;
    fleet.add("a");
    fleet.add("twin", 1000);
    fleet.add("twin", 3000);
    CHECK(fleet.runUntil([&] {
        return !fleet.nodes[1]->log.recent(EventId::IdentityConflict).empty() || !fleet.nodes[2]->log.recent(EventId::IdentityConflict).empty();
    }));
}

// Guards against daemons of different deployments or incompatible versions that become members of each other.
TEST_CASE("messages of another deployment or major version are rejected and logged once a minute")
{
    PeerFleet fleet;
    auto& a = fleet.add("a");
    auto& foreign = fleet.add("x", 1000, "other");
    auto& future = fleet.add("y", 1000, "test", { 2, 0 });
    auto refusals = [&] { return a.metrics.value("chestnut_peer_messages_refused_total"); };
    REQUIRE(fleet.runUntil([&] { return a.log.recent("sender", "x").size() + a.log.recent("sender", "y").size() == 2 && refusals() > 3; }));
    CHECK(a.service->members().size() == 1);
    CHECK(foreign.service->members().size() == 1);
    CHECK(future.service->members().size() == 1);
    CHECK(a.log.recent(EventId::PeerMessageRefused).size() == 2);
}

// Guards against a newer minor version that breaks older daemons, and against messages for a daemon that previously had the
// address.
TEST_CASE("unknown fields are ignored and messages for another daemon are rejected")
{
    PeerFleet fleet;
    auto& a = fleet.add("a");
    a.service->handle("echo", echoHandler());
    auto document = nlohmann::json::from_cbor(encodePeerMessage({ "test", { 1, 9 }, DaemonId("z"), 5, DaemonId("a"), "echo", 1 }));
    document["added_later"] = { 1, { { "x", nullptr } } };
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    auto reply = sendRaw(fleet, a, bytes);
    REQUIRE(reply);
    CHECK(reply->body == nlohmann::json { { "sender", "z" }, { "body", 1 } });
    auto misdirected = sendRaw(fleet, a, encodePeerMessage({ "test", {}, DaemonId("z"), 5, DaemonId("b"), "echo", 1 }));
    REQUIRE(misdirected);
    CHECK(decodeError(misdirected->body).kind == ErrorKind::NotFound);
}

// Guards against malformed or oversized messages that crash the daemon, occupy a context or block its replies to others.
TEST_CASE("oversized and malformed messages are rejected and the daemon still replies to others")
{
    PeerFleet fleet;
    auto& a = fleet.add("a");
    a.service->handle("echo", echoHandler());
    CHECK_FALSE(sendRaw(fleet, a, std::string(maximumPeerMessageBytes + 1, 'x')));
    std::mt19937_64 random(7);
    auto valid = encodePeerMessage({ "test", {}, DaemonId("z"), 5, {}, "heartbeat", encodeHeartbeatPayload({}) });
    for (int i = 0; i < 100; ++i) {
        auto bytes = valid;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        (void)sendRaw(fleet, a, bytes.substr(0, random() % 8 ? bytes.size() : random() % bytes.size()));
    }
    auto reply = sendRaw(fleet, a, encodePeerMessage({ "test", {}, DaemonId("z"), 5, {}, "echo", 1 }));
    REQUIRE(reply);
    CHECK(reply->type == "reply");
}
