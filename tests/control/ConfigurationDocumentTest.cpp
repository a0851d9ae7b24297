#include "control/configuration/ConfigurationDocument.h"

#include "control/configuration/Compression.h"

#include <doctest/doctest.h>
#include <random>

using namespace chestnut;

namespace {

constexpr double changesPerSecond = 1400.0 / 86400;

EngineSpec engineOf(int number)
{
    EngineSpec engine;
    engine.id = EngineId("engine-" + std::to_string(number));
    engine.address = "10." + std::to_string(number / 200) + ".1." + std::to_string(number % 200 + 1) + ":9000";
    engine.zone = AvailabilityZone("zone-" + std::to_string(number % 8));
    engine.region = Region("region-" + std::to_string(number % 8 / 3));
    engine.model = ModelId("model-" + std::to_string(number % 5));
    return engine;
}

/** A configuration after many tickets, with account names that do not compress well. */
Configuration stateOf(int engines, int accounts, std::mt19937_64& rng)
{
    Ticket ticket { 1, {}, {}, {}, {}, {}, {} };
    for (int i = 0; i < 5; ++i)
        ticket.models["model-" + std::to_string(i)] = { ModelId("model-" + std::to_string(i)), "v1", {}, 70'000'000'000, 0 };
    for (int i = 0; i < engines; ++i)
        ticket.engines[engineOf(i).id.value()] = engineOf(i);
    for (int i = 0; i < accounts; ++i) {
        auto id = toHex(Digest { 0, rng() }).substr(24);
        ticket.accounts[id] = { AccountId(id), 1.0 + static_cast<double>(rng() % 4), static_cast<uint32_t>(rng() % 64), 0 };
    }
    auto state = withTicket({}, ticket, contentDigestOf(ticket));
    for (TicketNumber number = 2; number < 300; ++number) {
        Ticket change { number, {}, { { "engine-0", engineOf(0) } }, {}, {}, {}, {} };
        state = withTicket(state, change, contentDigestOf(change));
    }
    return state;
}

Configuration changedBy(const Configuration& state, TicketNumber number)
{
    Ticket ticket { number, {}, { { "engine-3", engineOf(3) } }, {}, {}, {}, {} };
    ticket.engines["engine-3"].slots = static_cast<uint32_t>(number % 100);
    return withTicket(state, ticket, contentDigestOf(ticket));
}

size_t sizeOf(const nlohmann::json& message)
{
    return nlohmann::json::to_cbor(message).size();
}

} // namespace

// Guards against more than 10 KB/s of control traffic for each daemon at 1,400 changes a day.
TEST_CASE("a pull needs only a small part of 10 KB/s at the target size")
{
    for (auto [engines, accounts] : { std::pair(14, 6), std::pair(650, 27'000) }) {
        std::mt19937_64 rng(5);
        auto old = stateOf(engines, accounts, rng);
        auto current = changedBy(old, 400);
        DeltaHistory history;
        history.add(deltaBetween(old, current));
        CompressedDocument compressed;
        auto plain = sizeOf(makePullReply({ { "revision", 1 } }, current, history, compressed));
        auto whole = sizeOf(makePullReply(makePullRequest(current.revision, 0), current, history, compressed));
        auto delta = sizeOf(makePullReply(makePullRequest(current.revision, old.revision), current, history, compressed));
        auto stored = encodeStoredDocument(current).size();
        auto rate = [](size_t bytes) { return static_cast<double>(bytes) * changesPerSecond / 1000; };
        MESSAGE(engines << " replicas, " << accounts << " accounts: plain " << plain << " B (" << rate(plain) << " KB/s), whole " << whole
                        << " B (" << rate(whole) << " KB/s), delta " << delta << " B (" << rate(delta) << " KB/s), stored " << stored << " B");
        CHECK(rate(whole) < 10);
        CHECK(rate(delta) < 1);
        CHECK(plain < 1'000'000);
    }
}

// Guards against a daemon whose content differs from the accepted one although the revision is the same.
TEST_CASE("random changes pulled as deltas result in the same content; a delta of another history is refused")
{
    std::mt19937_64 rng(11);
    auto sender = stateOf(14, 50, rng);
    auto receiver = std::make_shared<const Configuration>(sender);
    DeltaHistory history;
    CompressedDocument compressed;
    for (TicketNumber number = 400; number < 1100; ++number) {
        auto id = "account-" + std::to_string(rng() % 40);
        Ticket ticket { number, {}, {}, {}, {}, {}, {} };
        if (sender.accounts.contains(id))
            ticket.removals.push_back(accountKey(id));
        else
            ticket.accounts[id] = { AccountId(id), 2, 0, 0 };
        if (rng() % 5 == 0)
            ticket.limits = LimitsSpec { static_cast<uint32_t>(rng() % 100 + 1), 1, 1, 0 };
        auto next = withTicket(sender, ticket, contentDigestOf(ticket));
        history.add(deltaBetween(sender, next));
        sender = std::move(next);
        if (rng() % 4 != 0)
            continue;
        auto reply = makePullReply(makePullRequest(sender.revision, receiver->revision), sender, history, compressed);
        REQUIRE(reply.contains("delta"));
        auto pulled = readPullReply(nlohmann::json::from_cbor(nlohmann::json::to_cbor(reply)), receiver);
        REQUIRE(pulled.has_value());
        CHECK(*pulled == sender);
        receiver = std::make_shared<const Configuration>(std::move(*pulled));
    }
    auto forged = std::make_shared<Configuration>(sender);
    forged->accounts["other"] = { AccountId("other"), 1, 0, 1 };
    auto next = changedBy(sender, 2000);
    history.add(deltaBetween(sender, next));
    auto reply = makePullReply(makePullRequest(next.revision, forged->revision), next, history, compressed);
    CHECK_FALSE(readPullReply(reply, forged).has_value());
    CHECK_FALSE(carriesDocument(makePullReply(makePullRequest(next.revision, next.revision), next, history, compressed)));
    CHECK(makePullReply(makePullRequest(next.revision, 1), next, history, compressed).contains("zlib"));
}

// Guards against a rollout in which one version cannot read the other version's document or pull message.
TEST_CASE("uncompressed documents of an earlier version can be read, and that version gets an uncompressed one")
{
    std::mt19937_64 rng(3);
    auto state = stateOf(14, 6, rng);
    CHECK(*decodeStoredDocument(encodeConfiguration(state)) == state);
    auto large = stateOf(650, 2000, rng);
    CHECK(isCompressed(encodeStoredDocument(large)));
    CHECK(*decodeStoredDocument(encodeStoredDocument(large)) == large);
    CompressedDocument compressed;
    auto reply = makePullReply({ { "revision", 1 } }, state, {}, compressed);
    CHECK(*decodeConfiguration(reply.at("document").get<std::string>()) == state);
    CHECK(*readPullReply(reply, nullptr) == state);
}

// Guards against a corrupt or malicious document that exhausts the daemon's memory.
TEST_CASE("decompression is bounded and refuses corrupt bytes")
{
    std::string spaces;
    spaces.resize(50'000'000, ' ');
    auto bomb = compressText(spaces);
    CHECK(bomb.size() < 60'000);
    CHECK_FALSE(decodeStoredDocument(bomb).has_value());
    auto bytes = compressText(std::string(5000, 'x'));
    CHECK(decompressText(bytes, 5000).value().size() == 5000);
    CHECK_FALSE(decompressText(bytes, 4999).has_value());
    CHECK_FALSE(decompressText(bytes.substr(0, bytes.size() - 1), 5000).has_value());
    bytes[bytes.size() - 1] ^= 1;
    CHECK_FALSE(decompressText(bytes, 5000).has_value());
    CHECK_FALSE(readPullReply({ { "zlib", 5 } }, nullptr).has_value());
}
