#include "platform/Manifest.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace chestnut;
using namespace chestnut::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view manifest = R"({"version":7,"routes":[
 {"name":"r-1","host":"h.example","prefix":"/pufi/","kind":"streaming","timeout_ms":15000,"target_latency_ms":200,"priority":1,"service":"lm","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":150},
 {"name":"r-2","host":"h.example","prefix":"/lohu/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":150,"priority":0,"traffic_split":[{"service":"lm","weight":90},{"service":"desk","weight":10}],"max_attempts":2}],
 "services":[{"name":"lm","health_path":"/health","max_conns":150,"engine":{"slots":12,"kv_capacity":1140336,"kv_hold_s":5.0,"switch_s":3.0}},{"name":"desk","health_path":"/health","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

constexpr std::string_view entry = R"({"service":"lm","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":12,"state":"ready","cold_left_ms":0,"stage":"decode","models":[],"seq_no":4,"born":1700000000000})";

std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string copy(text);
    copy.replace(copy.find(from), from.size(), to);
    return copy;
}

} // namespace

TEST_CASE("a manifest is decoded with its routes, services and limits")
{
    auto configuration = decodeManifest(manifest);
    REQUIRE(configuration.has_value());
    CHECK(configuration->version == 7);
    REQUIRE(configuration->routes.size() == 2);
    CHECK(configuration->routes[0].kind == RouteKind::Streaming);
    CHECK(configuration->routes[0].timeout == Duration(15s));
    CHECK(configuration->routes[1].shares == std::vector<TrafficShare> { { ServiceId("lm"), 90 }, { ServiceId("desk"), 10 } });
    CHECK(configuration->routes[1].maximumAttempts == 2);
    CHECK(configuration->services[0].engine->slots == 12);
    CHECK_FALSE(configuration->services[1].engine.has_value());
    CHECK(configuration->limits.idleTimeout == Duration(15s));
}

TEST_CASE("a manifest is decoded with its accounts and the scaling of its services")
{
    auto text = replaced(manifest, "\"max_conns\":150,", R"("max_conns":150,"scaling":{"min":1,"max":30,"boot_s":4.0,"spot_price":0.15,"zone_prices":{"a":1.0,"b":0.8}},)");
    text = replaced(text, "\"limits\":", R"("tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":[]}],"limits":)");
    auto configuration = decodeManifest(replaced(text, "\"max_attempts\":1,", "\"max_attempts\":1,\"public\":true,"));
    REQUIRE(configuration.has_value());
    std::vector<ClientAccount> accounts { { AccountId("t1"), { "k1", "k2" }, 1 }, { AccountId("t2"), {}, std::nullopt } };
    CHECK(configuration->accounts == accounts);
    CHECK(configuration->routes[0].isPublic);
    CHECK_FALSE(configuration->routes[1].isPublic);
    ScalingProfile scaling { 1, 30, Duration(4s), 0.15, { { AvailabilityZone("a"), 1.0 }, { AvailabilityZone("b"), 0.8 } } };
    CHECK(configuration->services[0].scaling == scaling);
    CHECK_FALSE(configuration->services[1].scaling.has_value());
}

TEST_CASE("a manifest without accounts is told from one with an empty list of accounts")
{
    CHECK_FALSE(decodeManifest(manifest)->accounts.has_value());
    CHECK(decodeManifest(replaced(manifest, "\"limits\":", "\"tenants\":[],\"limits\":"))->accounts.has_value());
}

// Guards against a faulty account that loses the configuration, and against requests without a key because of a fault.
TEST_CASE("faulty accounts lose no other part of the manifest and authenticate nothing")
{
    auto decoded = [](const std::string& accounts) { return decodeManifest(replaced(manifest, "\"limits\":", "\"tenants\":" + accounts + ",\"limits\":")); };
    for (const auto* list : { "{}", "7", "\"t1\"", "true" }) {
        CAPTURE(list);
        REQUIRE(decoded(list).has_value());
        CHECK(decoded(list)->accounts == std::vector<ClientAccount>());
        CHECK(decoded(list)->routes.size() == 2);
    }
    CHECK_FALSE(decoded("null")->accounts.has_value());
    auto mixed = decoded(R"([7,{"api_keys":["k0"]},{"name":"t1","api_keys":"k1"},{"name":"t2","api_keys":["k2",5],"priority":-1},{"name":"t3","api_keys":["k3"],"priority":"2"}])");
    REQUIRE(mixed.has_value());
    std::vector<ClientAccount> accounts { { AccountId(), {}, {} }, { AccountId(), { "k0" }, {} }, { AccountId("t1"), {}, {} }, { AccountId("t2"), { "k2", "" }, {} }, { AccountId("t3"), { "k3" }, {} } };
    CHECK(mixed->accounts == accounts);
    CHECK(mixed->routes.size() == 2);
}

TEST_CASE("an unknown kind of route is treated like the most restrictive one")
{
    auto configuration = decodeManifest(replaced(manifest, "\"idempotent\"", "\"novel\""));
    CHECK(configuration->routes[1].kind == RouteKind::NonIdempotent);
}

TEST_CASE("an invalid manifest is rejected")
{
    for (const auto* text : { "", "[]", "{}", R"({"version":"7","routes":[],"services":[]})", R"({"version":7,"routes":[{}],"services":[]})" })
        CHECK_FALSE(decodeManifest(text).has_value());
}

TEST_CASE("the notice of a reclaimable replica is decoded")
{
    auto leaving = decodeServerEntry(ReplicaId("i-1"), replaced(entry, "\"slots\":12,", "\"slots\":12,\"spot\":true,\"leaves_ms\":2700,"));
    REQUIRE(leaving.has_value());
    CHECK(leaving->isReclaimable);
    CHECK(leaving->leavesIn == Duration(2700ms));
    CHECK_FALSE(decodeServerEntry(ReplicaId("i-1"), entry)->isReclaimable);
}

TEST_CASE("a server's entry is decoded")
{
    auto decoded = decodeServerEntry(ReplicaId("i-1"), entry);
    REQUIRE(decoded.has_value());
    CHECK(decoded->address == "10.128.0.9:8080");
    CHECK(decoded->stage == EngineStage::Decode);
    CHECK(decoded->heartbeat == 4);
    CHECK(decoded->startedAt == 1700000000000);
    CHECK_FALSE(decoded->isDraining);
    CHECK(decodeServerEntry(ReplicaId("i-1"), replaced(entry, "ready", "draining"))->isDraining);
}

TEST_CASE("entries of other writers with missing, unexpected or malformed fields are rejected")
{
    ReplicaId id("i-1");
    CHECK_FALSE(decodeServerEntry(id, "\xff\xfe").has_value());
    CHECK_FALSE(decodeServerEntry(id, replaced(entry, "\"ready\"", "\"resting\"")).has_value());
    CHECK_FALSE(decodeServerEntry(id, replaced(entry, "\"ready\"", "3")).has_value());
    CHECK_FALSE(decodeServerEntry(id, replaced(entry, "\"decode\"", "\"other\"")).has_value());
    CHECK_FALSE(decodeServerEntry(id, replaced(entry, "1700000000000", "1700000000000.5")).has_value());
    CHECK_FALSE(decodeServerEntry(id, replaced(entry, "10.128.0.9:8080", "somewhere")).has_value());
    CHECK_FALSE(decodeServerEntry(id, replaced(entry, "\"slots\":12", "\"slots\":\"12\"")).has_value());
    CHECK_FALSE(decodeServerEntry(id, replaced(entry, "\"seq_no\":4,", "")).has_value());
}

// Guards against a replica that no program runs: an entry without a documented field comes from another writer.
TEST_CASE("entries without one of their fields, or with one of another type, are rejected")
{
    for (const auto* field : { "service", "address", "zone", "version", "slots", "state", "cold_left_ms", "seq_no" }) {
        CAPTURE(field);
        auto document = nlohmann::json::parse(entry);
        document[field] = nlohmann::json::array();
        CHECK_FALSE(decodeServerEntry(ReplicaId("i-1"), document.dump()).has_value());
        document.erase(field);
        CHECK_FALSE(decodeServerEntry(ReplicaId("i-1"), document.dump()).has_value());
    }
}

// Guards against a wrapped or saturated number, after which the entry names a replica that takes all requests or no later heartbeat counts.
TEST_CASE("entries with numbers out of range are rejected")
{
    for (const auto* value : { "0", "-1", "12.5", "65537", "4294967296", "18446744073709551616", "1e30", "1e400", "null", "[1]" }) {
        CAPTURE(value);
        CHECK_FALSE(decodeServerEntry(ReplicaId("i-1"), replaced(entry, "\"slots\":12", "\"slots\":" + std::string(value))).has_value());
    }
    for (const auto* value : { "-1", "4.5", "9007199254740993", "18446744073709551615", "1e30", "1e400", "null", "\"4\"" }) {
        CAPTURE(value);
        CHECK_FALSE(decodeServerEntry(ReplicaId("i-1"), replaced(entry, "\"seq_no\":4", "\"seq_no\":" + std::string(value))).has_value());
        CHECK_FALSE(decodeServerEntry(ReplicaId("i-1"), replaced(entry, "1700000000000", value)).has_value());
    }
}

// Guards against ids and names of other writers that break a request's header or fill the messages between daemons.
TEST_CASE("entries with an id that is no token or with long names are rejected")
{
    for (const std::string& id : { std::string(), std::string(201, 'x'), std::string("a\r\nX-Other: 1"), std::string("a b"), std::string("a\0", 2), std::string("\xc3\xa9") }) {
        CAPTURE(id);
        CHECK_FALSE(decodeServerEntry(ReplicaId(id), entry).has_value());
    }
    for (const auto* field : { "service", "zone" }) {
        auto document = nlohmann::json::parse(entry);
        document[field] = std::string(201, 'x');
        CHECK_FALSE(decodeServerEntry(ReplicaId("i-1"), document.dump()).has_value());
    }
}

// Guards against requests that this daemon sends to itself, and against bytes after a terminator that reach a header.
TEST_CASE("entries whose address is not one of a host with a port are rejected")
{
    for (const std::string& address : { "", ":", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1: 80", "host:80", "10.0.0.1.2:80", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", "255.255.255.255:80", "10.0.0.1\\u0000\\r\\nX-Other: 1:80" }) {
        CAPTURE(address);
        CHECK_FALSE(decodeServerEntry(ReplicaId("i-1"), replaced(entry, "10.128.0.9:8080", address)).has_value());
    }
    CHECK(decodeServerEntry(ReplicaId("i-1"), replaced(entry, "10.128.0.9:8080", "[2001:db8::1]:80"))->address == "[2001:db8::1]:80");
}

// Guards against log lines as long as the value of a key, and against recursion or exceptions on the way to them.
TEST_CASE("the error for an unreadable entry is short, whatever the entry contains")
{
    std::string longText(100'000, '\x7f');
    auto nested = std::string(100'000, '[') + std::string(100'000, ']');
    for (const auto& text : { replaced(entry, "ready", longText), replaced(entry, "decode", longText), replaced(entry, "10.128.0.9:8080", longText), replaced(entry, "\"ready\"", nested), replaced(entry, "4", nested), nested, longText, replaced(entry, "ready", "\xff\xc3") }) {
        auto decoded = decodeServerEntry(ReplicaId("i-1"), text);
        REQUIRE_FALSE(decoded.has_value());
        CHECK(decoded.error().detail.size() < 200);
    }
}
