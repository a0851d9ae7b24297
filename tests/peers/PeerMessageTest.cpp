#include "peers/codec/PeerMessage.h"
#include "support/FixedSeed.h"

#include <doctest/doctest.h>

using namespace chestnut;

namespace {

HeartbeatPayload sampleHeartbeat()
{
    HeartbeatPayload heartbeat;
    heartbeat.own = { DaemonId("a"), 1'700'000'000'000, 77, MemberState::Ready, AvailabilityZone("z"), Region("r"), "10.0.0.1:8000", "10.0.0.1:8001", 9, 640 };
    heartbeat.records = { heartbeat.own };
    heartbeat.updates = { { 0xfffffffe, 65535, MemberState::Leaving, true, 2040 }, { 1, 2, MemberState::Joining, false, 0 } };
    heartbeat.recordRequests = { 5 };
    heartbeat.updateRequests = { 6, 7 };
    heartbeat.updates.push_back({ 3, 4, MemberState::Dropped, false, 8 });
    heartbeat.renewals = { { 8, 1'700'000'000'001, 3, MemberState::Ready, 640, 9 } };
    return heartbeat;
}

PeerMessage sampleMessage()
{
    return { "test", {}, DaemonId("a"), 5, DaemonId("b"), "heartbeat", encodeHeartbeatPayload(sampleHeartbeat()) };
}

/** Decodes a message and merges it into a table, as a receiver does. Must not throw for any bytes. */
void receive(const std::string& bytes)
{
    auto message = decodePeerMessage(bytes);
    if (!message)
        return;
    if (auto heartbeat = decodeHeartbeatPayload(message->body)) {
        RC_ASSERT(heartbeat->records.size() <= recordsPerHeartbeat);
        RC_ASSERT(heartbeat->updates.size() <= updatesPerHeartbeat);
        RC_ASSERT(heartbeat->renewals.size() <= renewalsPerHeartbeat);
        MemberTable table;
        mergeHeartbeatPayload(table, *heartbeat, TimePoint(Duration(0)));
    }
    decodeError(message->body);
}

} // namespace

// Guards against a field that is lost or changed between encoder and decoder.
TEST_CASE("messages are unchanged after encoding and decoding")
{
    auto decoded = decodePeerMessage(encodePeerMessage(sampleMessage()));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == sampleMessage());
    CHECK(decodeHeartbeatPayload(decoded->body) == sampleHeartbeat());
    Error error { ErrorKind::Overloaded, "queue full", std::chrono::milliseconds(250) };
    CHECK(decodeError(encodeError(error)) == error);
}

// Guards against a stack overflow: the CBOR parser recurses for each level of nesting.
TEST_CASE("a deeply nested message is rejected")
{
    CHECK(decodePeerMessage(std::string(maximumPeerMessageBytes, '\x81')).error().kind == ErrorKind::ProtocolError);
    CHECK(decodePeerMessage(std::string(maximumPeerMessageBytes + 1, '\x81')).error().kind == ErrorKind::BodyTooLarge);
}

// Guards against a crash or an exception on bytes that no daemon would send.
TEST_CASE("random bytes are rejected without an exception")
{
    CHECK(checkWithSeed("random bytes", 11, 3000, [] { receive(*rc::gen::arbitrary<std::string>()); }));
}

// Guards against a crash or an exception on messages that are valid but for a few bytes.
TEST_CASE("mutated messages are rejected or decoded without an exception")
{
    CHECK(checkWithSeed("mutated messages", 12, 3000, [] {
        auto bytes = encodePeerMessage(sampleMessage());
        auto changes = *rc::gen::container<std::vector<std::pair<uint16_t, char>>>(rc::gen::arbitrary<std::pair<uint16_t, char>>());
        for (auto [position, value] : changes)
            bytes[position % bytes.size()] = value;
        auto length = *rc::gen::inRange<size_t>(0, bytes.size() * 2);
        receive(bytes.substr(0, length));
    }));
}
