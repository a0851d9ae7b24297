#include "backends/engines/CompletionBody.h"
#include "backends/engines/EngineMessages.h"
#include "control/tickets/ConfigurationCodec.h"
#include "infrastructure/infrastructure.h"
#include "kernel/timers/VirtualTimerService.h"
#include "Mutation.h"
#include "peers/codec/PeerMessage.h"
#include "programs/chestnutrouted/DaemonSettings.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/leaf.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace chestnut::fuzz;

namespace {

constexpr int runs = 1500;
constexpr auto validSettings = "[daemon]\nid = d1\ndeployment = tanner\nzone = a\nregion = r\nshutdown_timeout = 30s\n[listen]\n"
                               "callers = 127.0.0.1:8000\noperators = 127.0.0.1:8001\npeers = [::1]:8002\n[peers]\nseeds = 10.0.0.1:1, 10.0.0.2:2\n";
constexpr auto validTicket = R"({"number": 12,
    "models": {"m1": {"version": "v1", "adapters": ["a"], "weight_bytes": 10}},
    "engines": {"e1": {"address": "10.0.0.1:9000", "zone": "a", "region": "r", "model": "m1", "role": "decode"}},
    "backend_servers": {"b1": {"service": "orders", "address": "10.0.0.2:9000", "zone": "a", "region": "r"}},
    "accounts": {"acme": {"weight": 2}}, "limits": {"maximum_queue": 10}, "remove": ["engine/e2"]})";

/** Returns the value that was read; an error has to be of an allowed kind and to have a detail. */
template <typename T>
std::optional<T> readOrRefused(Result<T> result, std::initializer_list<ErrorKind> allowed)
{
    if (result)
        return std::move(*result);
    RC_ASSERT(std::ranges::find(allowed, result.error().kind) != allowed.end());
    RC_ASSERT(!result.error().detail.empty());
    return std::nullopt;
}

std::string validConfiguration()
{
    auto ticket = *decodeTicket(validTicket);
    return encodeConfiguration(withTicket({}, ticket, contentDigestOf(ticket)));
}

void readSettings(const std::string& text)
{
    bool isRead = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(reader, SettingsReader::fromText(text));
            auto settings = readDaemonSettings(reader);
            auto faults = reader.faults();
            RC_ASSERT(describeFaults(faults).size() <= 400 * (faults.size() + 1) + 2 * text.size());
            // Without faults, the settings that the daemon requires have values.
            if (faults.empty())
                RC_ASSERT(!settings.id.empty() && !settings.zone.empty() && !settings.callerListener.address.empty());
            return true;
        },
        [](const Error& error) {
            RC_ASSERT(error.kind == ErrorKind::SettingsInvalid);
            RC_ASSERT(!error.detail.empty());
            return true;
        },
        [] { return false; });
    RC_ASSERT(isRead);
}

/** Lists the entries under a key of a key-value service whose response has this body. */
Result<std::vector<KeyValueEntry>> listFrom(const std::string& body)
{
    asio::io_context context;
    VirtualTimerService timers(context);
    MemoryLog log;
    Metrics metrics;
    auto transport = [&](HttpRequest, Duration) -> asio::awaitable<Result<HttpResponse>> { co_return HttpResponse { 200, {}, body }; };
    ConsulKeyValueStore store(std::make_shared<PlatformClient>(context.get_executor(), timers, log, metrics, transport, PlatformSettings {}, 1));
    std::optional<Result<std::vector<KeyValueEntry>>> result;
    asio::co_spawn(context, store.list("a"), [&](const std::exception_ptr& exception, Result<std::vector<KeyValueEntry>> value) {
        if (!exception)
            result = std::move(value);
    });
    for (int i = 0; i < 100 && !result; ++i)
        timers.advance(std::chrono::milliseconds(10));
    RC_ASSERT(result.has_value());
    return std::move(*result);
}

} // namespace

// Guards against settings that crash the daemon, or with which it starts although a required value is missing.
TEST_CASE("hostile settings are read or refused")
{
    CHECK(checkWithSeed("settings", 301, runs, [] { readSettings(hostileText(validSettings, false)); }));
    auto reader = std::move(SettingsReader::fromText(validSettings).value());
    auto settings = readDaemonSettings(reader);
    CHECK(describeFaults(reader.faults()).find("daemon.") == std::string::npos);
    CHECK(settings.peerSeeds.size() == 2);
}

// Guards against tickets that crash the daemon that accepts them, and against content that changes between daemons.
TEST_CASE("hostile tickets are read or refused, and keep their content when read")
{
    CHECK(checkWithSeed("tickets", 302, runs, [] {
        auto ticket = readOrRefused(decodeTicket(hostileText(validTicket, true)), { ErrorKind::BadJson, ErrorKind::TicketInvalid });
        if (!ticket)
            return;
        auto decodedAgain = decodeTicket(ticketToJson(*ticket).dump());
        RC_ASSERT(decodedAgain.has_value());
        RC_ASSERT(*decodedAgain == *ticket);
    }));
}

// Guards against a stored configuration that crashes every daemon, and against one that changes when it is relayed.
TEST_CASE("hostile configuration documents are read or refused, and keep their content when read")
{
    CHECK(checkWithSeed("configurations", 303, runs, [] {
        auto configuration = readOrRefused(decodeConfiguration(hostileText(validConfiguration(), true)), { ErrorKind::ProtocolError });
        if (!configuration)
            return;
        auto decodedAgain = decodeConfiguration(encodeConfiguration(*configuration));
        RC_ASSERT(decodedAgain.has_value());
        RC_ASSERT(*decodedAgain == *configuration);
    }));
}

// Guards against messages of a faulty peer that crash the receiver, and against heartbeats that change when sent again.
TEST_CASE("hostile peer messages are read or refused, and heartbeat payloads keep their content when read")
{
    MemberRecord own { DaemonId("a"), 1'700'000'000'000, 77, MemberState::Ready, AvailabilityZone("z"), Region("r"), "10.0.0.1:8000", "10.0.0.1:8001", 9, 640 };
    HeartbeatPayload payload { own, { own }, { { 1, 2, MemberState::Dropped, true, 8 } }, { 5 }, { 6, 7 }, { { 8, 9, 1, MemberState::Ready, 16, 3 } } };
    auto valid = encodePeerMessage({ "test", {}, own.id, 5, DaemonId("b"), "heartbeat", encodeHeartbeatPayload(payload) });
    CHECK(checkWithSeed("peer messages", 304, runs, [&] {
        auto message = readOrRefused(decodePeerMessage(hostileText(valid, false)), { ErrorKind::ProtocolError, ErrorKind::BodyTooLarge });
        if (!message)
            return;
        decodeError(message->body);
        if (auto read = decodeHeartbeatPayload(message->body))
            RC_ASSERT(decodeHeartbeatPayload(encodeHeartbeatPayload(*read)) == read);
    }));
}

// Guards against responses of the key-value service that end a coroutine with an exception, and against a value that is
// not base64 but is read as an empty one.
TEST_CASE("hostile responses of the key-value service are read or refused")
{
    CHECK(checkWithSeed("Consul responses", 305, runs / 3, [] {
        auto value = *rc::gen::arbitrary<std::string>();
        nlohmann::json row { { "Key", "a" }, { "Value", absl::Base64Escape(value) }, { "ModifyIndex", 5 }, { "LockIndex", 1 }, { "Session", "s" } };
        auto valid = nlohmann::json::array({ row }).dump();
        RC_ASSERT(listFrom(valid).value().at(0).value == value);
        auto entries = readOrRefused(listFrom(hostileText(valid, true)), { ErrorKind::PlatformUnavailable });
        size_t bytes = 0;
        for (const auto& entry : entries.value_or(std::vector<KeyValueEntry>()))
            bytes += entry.value.size();
        RC_ASSERT(bytes <= 2 * valid.size() + 1000);
    }));
    for (const auto* text : { R"([{"Key":"a","Value":"%%%","ModifyIndex":1}])", R"([{"Key":"a","Value":5,"ModifyIndex":1}])" })
        CHECK(listFrom(text).has_error());
}

// Guards against bodies of callers and engines that crash the daemon.
TEST_CASE("hostile bodies of callers and engines are read or refused")
{
    const std::string caller = R"({"model":"m","messages":[{"role":"user","content":"a"},{"role":"system","content":"b"}],"max_tokens":9,"stream":true})";
    const std::string chunk = R"({"id":"1","choices":[{"text":"a","finish_reason":"stop","delta":{"content":"x"}}]})";
    const std::string load = R"({"queued_prefill_tokens":1,"queued_decode_tokens":2,"running":3,"slots":4,"kv_blocks_free":5,"kv_blocks_total":6,"age_ms":7})";
    const std::string events = R"({"first":1,"events":[{"sequence":1,"type":"stored","block_hashes":["a"]}]})";
    const std::string order = R"({"fencing_number":1,"sequence":2,"revision":3,"role":"mixed","models":[{"name":"m","version":"v"}],"adapters":[],"status":"ready"})";
    CHECK(checkWithSeed("bodies", 306, runs, [&] {
        auto text = hostileText(caller, true);
        if (auto body = readOrRefused(parseCompletionBody(text), { ErrorKind::BadJson })) {
            RC_ASSERT(body->prompt.size() <= 2 * text.size());
            // The body that is sent to an engine has to be readable and to contain the same model and prompt.
            auto sent = parseCompletionBody(engineRequestBody(text, "so far", 3));
            RC_ASSERT(sent.has_value());
            RC_ASSERT(sent->model == body->model && sent->prompt == body->prompt);
        }
        (void)readOrRefused(parseCompletionChunk(hostileText(chunk, true)), { ErrorKind::ProtocolError });
        (void)readOrRefused(parseEngineLoad(hostileText(load, true)), { ErrorKind::ProtocolError });
        (void)readOrRefused(parseCacheEvents(hostileText(events, true)), { ErrorKind::ProtocolError });
        (void)readOrRefused(parseEngineState(hostileText(order, true)), { ErrorKind::ProtocolError });
        if (auto read = readOrRefused(parseEngineOrder(hostileText(order, true)), { ErrorKind::ProtocolError }))
            RC_ASSERT(parseEngineOrder(toJson(*read).dump()).has_value());
    }));
}
