#include "gateway/members/LoadMessage.h"

#include <cmath>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace chestnut;

namespace {

/** Returns an id as long as the longest in use. */
std::string longId(const std::string& prefix, int number)
{
    return prefix + "-0123456789abcdef-" + std::to_string(100'000 + number);
}

QueuedTokens tokensOf(double urgent, double relaxed, double deferred)
{
    auto tokens = amountAt(urgent, orderOf(PrefillRank::Urgent));
    tokens += amountAt(relaxed, orderOf(PrefillRank::Relaxed));
    tokens += amountAt(deferred, orderOf(PrefillRank::Deferred));
    return tokens;
}

LoadMessage fleetMessage(int replicas, int daemons, int leaving)
{
    LoadMessage message { { DaemonId("d0"), AvailabilityZone("zone-a"), { "10.0.0.1", 80 }, { "10.0.0.1", 9000 } }, LoadScope::Fleet, true };
    for (int i = 0; i < replicas; ++i)
        message.work.push_back({ ReplicaId(longId("replica", i)), 8, tokensOf(12345, 67890, 0), {} });
    for (int i = 0; i < daemons; ++i)
        message.liveDaemons.emplace_back(longId("daemon", i));
    for (int i = 0; i < leaving; ++i)
        message.leavingReplicas.push_back({ ReplicaId(longId("replica", i)), 1'796'374'817'144, 1234, true });
    message.losses.push_back({ { digestOf("content"), RequestId("r1"), ReplicaId("i-1") }, std::chrono::milliseconds(20), std::chrono::milliseconds(7) });
    message.successes.push_back({ digestOf("other"), std::chrono::milliseconds(300) });
    // Parts have ids of 64 bits and are reported for each crash.
    for (size_t i = 0; i < (daemons > 100 ? maximumCrashReports : 1); ++i)
        message.engineCrashes.push_back({ { ReplicaId(longId("replica", static_cast<int>(i))), 1'796'374'817'144 }, std::chrono::seconds(3), false, std::vector<SharedPart>(maximumReportedSuspects, { ~uint64_t(i), 1 }) });
    message.partBegins.assign(daemons > 100 ? maximumBeginReports : 1, { ~uint64_t(0), std::chrono::seconds(3) });
    message.pausedReplicas.push_back({ ReplicaId("i-2"), 17 });
    for (int i = 0; i < replicas / 5; ++i)
        message.entries.push_back({ ReplicaId(longId("replica", i)), ServiceId("service-0123456789"), "10.255.255.255:65535", AvailabilityZone("zone-0123456789"), 48, false, EngineStage::Decode, 1'796'374'817'144, 1234 });
    message.isStoreReachable = false;
    return message;
}

} // namespace

TEST_CASE("a load message is decoded as it was encoded, and an invalid datagram is rejected")
{
    LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } }, LoadScope::Fleet, true, { { ReplicaId("i-1"), 3, tokensOf(500, 20, 40), {} } }, { { ServiceId("s"), { 4, 1000, 20, 300000, 6000 }, { 2, 30 }, { 9, 90 }, { 2, 80 } } }, { { { Digest { 1, 2 }, RequestId("q1"), ReplicaId("i-1"), 99 }, Duration(5), Duration(6) } }, { { Digest { 3, 4 }, Duration(7) } }, { { { ReplicaId("i-3"), 5 }, Duration(8), true, { { 9, 1 } } } }, { { 10, Duration(11) } }, { { ReplicaId("i-8"), 17, 4, true } }, { { ReplicaId("i-9"), 77 } }, {}, true, { DaemonId("d2") } };
    auto decoded = decodeLoadMessage(encodeLoadMessage(message).front());
    REQUIRE(decoded.has_value());
    CHECK(*decoded == message);
    CHECK_FALSE(decodeLoadMessage("").has_value());
    CHECK_FALSE(decodeLoadMessage("not a message").has_value());
    auto truncated = encodeLoadMessage(message).front();
    truncated.resize(truncated.size() / 2);
    CHECK_FALSE(decodeLoadMessage(truncated).has_value());
}

// Guards against sums that change on their way through the fleet.
TEST_CASE("capacity samples are decoded with a deviation of a few percent in few bytes")
{
    LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } } };
    auto sizeWithout = encodeLoadMessage(message).front().size();
    CapacitySamples samples { ReplicaId("i-0123456789") };
    samples.bands = { { { 0.3, 0.2 }, { 12, 40 }, { 0, 0 }, { 3000, 400 }, { 1.5, 6 } } };
    samples.squaredRatios = 900;
    samples.errors = 7;
    message.capacities = { samples };
    auto datagram = encodeLoadMessage(message).front();
    CHECK(datagram.size() - sizeWithout == 27);
    auto decoded = decodeLoadMessage(datagram);
    REQUIRE(decoded.has_value());
    REQUIRE(decoded->capacities.size() == 1);
    const auto& received = decoded->capacities.front();
    for (size_t band = 0; band < loadBands; ++band) {
        CHECK(received.bands.at(band).count == doctest::Approx(samples.bands.at(band).count).epsilon(0.06));
        CHECK(received.bands.at(band).timeRatios == doctest::Approx(samples.bands.at(band).timeRatios).epsilon(0.08));
    }
    CHECK(received.squaredRatios == doctest::Approx(samples.squaredRatios).epsilon(0.08));
    CHECK(received.errors == doctest::Approx(samples.errors).epsilon(0.06));
}

TEST_CASE("a load message without capacity samples, as daemons of earlier versions send it, is accepted; invalid samples are not")
{
    LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } } };
    auto document = nlohmann::json::from_cbor(encodeLoadMessage(message).front());
    auto accepts = [&document] {
        auto bytes = nlohmann::json::to_cbor(document);
        return decodeLoadMessage({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }).has_value();
    };
    document.erase("capacity");
    CHECK(accepts());
    auto withSamples = [](nlohmann::json samples) { return nlohmann::json::array({ nlohmann::json::array({ "i-1", std::move(samples) }) }); };
    document["capacity"] = withSamples(nlohmann::json::binary(std::vector<uint8_t>(12, 255)));
    CHECK(accepts());
    document["capacity"] = withSamples(nlohmann::json::binary(std::vector<uint8_t>(3, 255)));
    CHECK_FALSE(accepts());
    document["capacity"] = withSamples("text");
    CHECK_FALSE(accepts());
}

TEST_CASE("the load message of a small fleet fits into one datagram and is decoded as it was encoded")
{
    auto message = fleetMessage(17, 6, 2);
    auto datagrams = encodeLoadMessage(message);
    REQUIRE(datagrams.size() == 1);
    auto decoded = decodeLoadMessage(datagrams.front());
    REQUIRE(decoded.has_value());
    CHECK(*decoded == message);
}

// Guards against peers that take the work of several priorities for that of one, and against older daemons that lose it.
TEST_CASE("work of several priorities is decoded as it was encoded, and its sums are those of daemons without priorities")
{
    LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } }, LoadScope::Daemon };
    QueuedTokens queued;
    OrderedRequests decodes;
    for (EnginePosition order = 0; order < enginePositions; ++order) {
        queued.set(order, 100 + order);
        decodes.set(order, order);
    }
    message.work = { { ReplicaId("i-1"), 2, tokensOf(5, 6, 7), {} }, { ReplicaId("i-2"), 60, queued, {} }, { ReplicaId("i-3"), 45, {}, decodes } };
    auto datagram = encodeLoadMessage(message).front();
    CHECK(decodeLoadMessage(datagram)->work == message.work);
    auto document = nlohmann::json::from_cbor(datagram);
    document.erase("orders");
    auto bytes = nlohmann::json::to_cbor(document);
    auto work = decodeLoadMessage(std::string(bytes.begin(), bytes.end()))->work;
    CHECK(work[1] == ReplicaWork { ReplicaId("i-2"), 60, tokensOf(100 + 101 + 102 + 103 + 104, 105 + 106, 107 + 108 + 109), {} });
    CHECK(work[2] == ReplicaWork { ReplicaId("i-3"), 45, {}, {} });
}

// Guards against refusals that are lost on the way, and against a peer that reports any number of them.
TEST_CASE("recent refusals are reported to peers, in a bounded number")
{
    LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } }, LoadScope::Daemon };
    message.refusals.assign(maximumRefusalReports, { ReplicaId("i-1"), 9, std::chrono::seconds(1) });
    CHECK(decodeLoadMessage(encodeLoadMessage(message).front())->refusals == message.refusals);
    message.refusals.push_back(message.refusals.front());
    CHECK_FALSE(decodeLoadMessage(encodeLoadMessage(message).front()).has_value());
}

TEST_CASE("a load message with a position out of range is rejected")
{
    LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } }, LoadScope::Daemon };
    message.work = { { ReplicaId("i-1"), 2, amountAt(5.0, 0), {} } };
    auto document = nlohmann::json::from_cbor(encodeLoadMessage(message).front());
    for (const auto& orders : { nlohmann::json { { 1, 0, 5, 0 } }, nlohmann::json { { 0, enginePositions, 5, 0 } } }) {
        document["orders"] = orders;
        auto bytes = nlohmann::json::to_cbor(document);
        CHECK_FALSE(decodeLoadMessage(std::string(bytes.begin(), bytes.end())).has_value());
    }
}

// Guards against datagrams that exceed the buffer of the receiver at the two-year target, 330 daemons and 650 replicas.
TEST_CASE("the load message of a large fleet is split into datagrams without loss")
{
    auto message = fleetMessage(650, 330, 200);
    LoadMessage joined { message.sender, message.scope, message.isLeaving };
    for (const auto& datagram : encodeLoadMessage(message)) {
        CHECK(datagram.size() <= maximumDatagram);
        auto part = decodeLoadMessage(datagram);
        REQUIRE(part.has_value());
        joined.work.insert(joined.work.end(), part->work.begin(), part->work.end());
        joined.liveDaemons.insert(joined.liveDaemons.end(), part->liveDaemons.begin(), part->liveDaemons.end());
        joined.leavingReplicas.insert(joined.leavingReplicas.end(), part->leavingReplicas.begin(), part->leavingReplicas.end());
        joined.entries.insert(joined.entries.end(), part->entries.begin(), part->entries.end());
        joined.engineCrashes.insert(joined.engineCrashes.end(), part->engineCrashes.begin(), part->engineCrashes.end());
        joined.partBegins.insert(joined.partBegins.end(), part->partBegins.begin(), part->partBegins.end());
        CHECK(part->losses == message.losses);
        CHECK(part->pausedReplicas == message.pausedReplicas);
    }
    CHECK(joined.work == message.work);
    CHECK(joined.liveDaemons == message.liveDaemons);
    CHECK(joined.leavingReplicas == message.leavingReplicas);
    CHECK(joined.entries == message.entries);
    CHECK(joined.engineCrashes == message.engineCrashes);
    CHECK(joined.partBegins == message.partBegins);
}

// Guards against one entry or one client's request whose long names make peers refuse all messages with them.
TEST_CASE("long names in a load message do not make its datagrams longer than the buffer of the receiver")
{
    auto message = fleetMessage(60, 6, 2);
    std::string name(200, 'n');
    for (auto& entry : message.entries)
        entry = { ReplicaId(name), ServiceId(name), "10.255.255.255:65535", AvailabilityZone(name), 48, false, EngineStage::Decode, 1, 1 };
    message.losses.push_back({ { digestOf("x"), RequestId(std::string(9000, 'q')), ReplicaId("i-1") }, {}, {} });
    std::vector<ReplicaEntry> entries;
    for (const auto& datagram : encodeLoadMessage(message)) {
        CHECK(datagram.size() <= maximumDatagram);
        auto part = decodeLoadMessage(datagram);
        REQUIRE(part.has_value());
        entries.insert(entries.end(), part->entries.begin(), part->entries.end());
    }
    CHECK(entries == message.entries);
}

// Guards against excessive allocations caused by a corrupt or foreign datagram.
TEST_CASE("a datagram with an invalid part number is rejected")
{
    auto datagram = encodeLoadMessage(fleetMessage(1, 1, 1)).front();
    auto document = nlohmann::json::from_cbor(datagram);
    auto isAccepted = [&document](uint32_t index, uint32_t count) {
        document["part"] = { index, count };
        auto bytes = nlohmann::json::to_cbor(document);
        return decodeLoadMessage({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }).has_value();
    };
    CHECK(isAccepted(0, 1));
    CHECK_FALSE(isAccepted(1, 1));
    CHECK_FALSE(isAccepted(0, 0));
    CHECK_FALSE(isAccepted(0, 4'000'000'000));
}

// Guards against an exception that leaves the decoder, after which the daemon receives no messages for a while.
TEST_CASE("a datagram with fields of other types, out of range or nested deeply is rejected without an exception")
{
    using nlohmann::json;
    auto decode = [](const json& document) {
        auto bytes = json::to_cbor(document);
        return decodeLoadMessage({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    };
    auto valid = json::from_cbor(encodeLoadMessage(fleetMessage(1, 1, 1)).front());
    const std::vector<json> values { nullptr, true, -1, UINT64_MAX, INT64_MIN, 1e300, std::nan(""), "", "\xff", json::array(), json::object(), { 1, { "a" } } };
    for (const auto& value : values) {
        CHECK_FALSE(decode({ { "v", value } }).has_value());
        for (const auto& [field, present] : valid.items()) {
            auto document = valid;
            document[field] = value;
            CHECK_NOTHROW((void)decode(document));
        }
    }
    CHECK_FALSE(decodeLoadMessage(std::string(maximumDatagram, '\x81')).has_value());
    CHECK_FALSE(decodeLoadMessage("\x9b\xff\xff\xff\xff\xff\xff\xff\xff").has_value());
}

// Guards against a number without a value that one peer sends and that then stays in the speeds of the whole fleet.
TEST_CASE("a load message whose samples are negative or not finite is rejected")
{
    for (auto value : { std::nan(""), std::numeric_limits<double>::infinity(), -1.0 }) {
        LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } }, LoadScope::Daemon, false };
        message.speedSamples = { { ServiceId("s"), { 4, 1000, 20, 300000, 6000 }, { 2, 30 }, { 9, 90 }, { 2, value } } };
        CHECK_FALSE(decodeLoadMessage(encodeLoadMessage(message).front()).has_value());
    }
}

// Guards against a peer whose reports refute crashes of the future, are counted forever, or fill the memory.
TEST_CASE("a load message with reports of crashes out of range is rejected")
{
    auto isAccepted = [](Duration crashAge, Duration beginAge, size_t suspects) {
        LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } }, LoadScope::Daemon, false };
        message.engineCrashes = { { { ReplicaId("i-1"), 1 }, crashAge, false, std::vector<SharedPart>(suspects) } };
        message.partBegins = { { 1, beginAge } };
        return decodeLoadMessage(encodeLoadMessage(message).front()).has_value();
    };
    CHECK(isAccepted(Duration(1), Duration(1), 1));
    CHECK_FALSE(isAccepted(Duration(-1), Duration(1), 1));
    CHECK_FALSE(isAccepted(Duration(1), Duration(-1), 1));
    CHECK_FALSE(isAccepted(std::chrono::hours(1), Duration(1), 1));
    CHECK_FALSE(isAccepted(Duration(1), Duration(1), maximumReportedSuspects + 1));
}

// Guards against a version of a peer that is lost on its way, and against daemons of different versions that refuse each other's messages.
TEST_CASE("the notice on the configuration is decoded as it was encoded, and a message without one has none")
{
    LoadMessage message { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 }, 10, Endpoint { "10.0.0.1", 7661 } }, LoadScope::Fleet };
    message.configuration = { 12, true, { DaemonId("d2"), DaemonId("d3") } };
    auto datagram = encodeLoadMessage(message).front();
    REQUIRE(decodeLoadMessage(datagram).has_value());
    CHECK(*decodeLoadMessage(datagram) == message);
    auto document = nlohmann::json::from_cbor(datagram);
    auto decoded = [&document] {
        auto bytes = nlohmann::json::to_cbor(document);
        return decodeLoadMessage({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    };
    document.erase("config");
    REQUIRE(decoded().has_value());
    CHECK(decoded()->configuration == ConfigurationNotice {});
    document["config"] = { 12, true, "a", "b", "c", "d", "e" };
    CHECK_FALSE(decoded().has_value());
    document["config"] = "12";
    CHECK_FALSE(decoded().has_value());
}

// Guards against daemons that learn of a replica from a peer and take it for a regular one, or let its streams break.
TEST_CASE("the kind and the version of a replica and the time until it leaves are passed on, and messages of earlier versions lack them")
{
    auto message = fleetMessage(2, 2, 1);
    message.entries.resize(1);
    message.entries.push_back({ ReplicaId("i-9"), ServiceId("s"), "10.0.0.9:80", AvailabilityZone("a"), 6, false, EngineStage::Decode, 5, 6, true, {}, SoftwareVersion("v2") });
    message.leavingReplicas.push_back({ ReplicaId("i-8"), 5, 6, true, std::chrono::milliseconds(2300) });
    auto datagram = encodeLoadMessage(message).front();
    auto decoded = decodeLoadMessage(datagram);
    REQUIRE(decoded.has_value());
    CHECK(*decoded == message);
    auto document = nlohmann::json::from_cbor(datagram);
    for (auto& entry : document["entries"]) {
        while (entry.size() > 8)
            entry.erase(8);
    }
    for (auto& replica : document["gone"]) {
        while (replica.size() > 4)
            replica.erase(4);
    }
    auto bytes = nlohmann::json::to_cbor(document);
    auto earlier = decodeLoadMessage({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    REQUIRE(earlier.has_value());
    CHECK_FALSE(earlier->entries.back().isReclaimable);
    CHECK(earlier->entries.back().version.empty());
    CHECK_FALSE(earlier->leavingReplicas.back().leavesIn.has_value());
    document["gone"][0].push_back(-1);
    bytes = nlohmann::json::to_cbor(document);
    CHECK_FALSE(decodeLoadMessage({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }).has_value());
}

// Guards against peers that refuse a whole message, and with it the heartbeat, because of one long list.
TEST_CASE("a message with the most demands and rate limits is accepted by its receivers")
{
    auto message = fleetMessage(40, 30, 0);
    for (size_t i = 0; i < maximumReportedDemands; ++i)
        message.demands.push_back({ ServiceId(longId("service", static_cast<int>(i))), 12 });
    for (size_t i = 0; i < maximumRateLimitReports; ++i)
        message.rateLimits.push_back({ ReplicaId(longId("replica", static_cast<int>(i))), { 1'796'374'817'144, i % 2 == 0 ? std::optional(0.3) : std::nullopt }, std::chrono::seconds(2) });
    auto datagrams = encodeLoadMessage(message);
    for (const auto& datagram : datagrams)
        CHECK(datagram.size() <= maximumDatagram);
    auto first = decodeLoadMessage(datagrams.front());
    REQUIRE(first.has_value());
    CHECK(first->demands == message.demands);
    CHECK(first->rateLimits == message.rateLimits);
}
