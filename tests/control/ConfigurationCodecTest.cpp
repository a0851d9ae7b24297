#include "control/tickets/ConfigurationCodec.h"

#include <doctest/doctest.h>

using namespace chestnut;

namespace {

constexpr auto firstTicket = R"({"number": 12,
    "models": {"m1": {"version": "v1", "adapters": ["a"], "weight_bytes": 10}},
    "engines": {"e1": {"address": "10.0.0.1:9000", "zone": "a", "region": "r", "model": "m1", "role": "decode"}},
    "backend_servers": {"b1": {"service": "orders", "address": "10.0.0.2:9000", "zone": "a", "region": "r"}},
    "accounts": {"acme": {"weight": 2}}, "limits": {"maximum_queue": 10}})";

Ticket ticketOf(std::string_view text)
{
    auto ticket = decodeTicket(text);
    REQUIRE_MESSAGE(ticket.has_value(), (ticket ? "" : ticket.error().detail));
    return *ticket;
}

Configuration acceptedBase()
{
    auto ticket = ticketOf(firstTicket);
    REQUIRE(validateTicket({}, ticket).empty());
    return withTicket({}, ticket, contentDigestOf(ticket));
}

} // namespace

// Guards against a field that is lost when a daemon decodes an accepted configuration or ticket.
TEST_CASE("a configuration and a ticket are unchanged after encoding and decoding as JSON")
{
    auto configuration = acceptedBase();
    configuration.removedBy["engine/e9"] = 4;
    auto decoded = decodeConfiguration(encodeConfiguration(configuration));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == configuration);
    auto ticket = ticketOf(firstTicket);
    CHECK(ticketOf(ticketToJson(ticket).dump()) == ticket);
}

// Guards against reporting only the first fault, so that an operator has to correct a ticket one fault at a time.
TEST_CASE("the rejection of a ticket lists all of its faults")
{
    auto parsed = decodeTicket(R"({"number": 1, "engines": {"e1": {"address": 5, "zone": "a", "region": "r", "model": "m", "rol": "x"}}, "typo": 1})");
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().kind == ErrorKind::TicketInvalid);
    for (auto part : { "address must be a string", "unknown field rol", "unknown field typo" })
        CHECK(parsed.error().detail.find(part) != std::string::npos);

    auto ticket = ticketOf(R"({"number": 13, "engines": {"e2": {"address": "10.0.0.1:9000", "zone": "a", "region": "other", "model": "m7"}},
        "accounts": {"x": {"weight": -1}}, "remove": ["engine/none"]})");
    CHECK(validateTicket(acceptedBase(), ticket).size() == 5);
}

// Guards against a dangling reference: the model is removed while an engine still runs it.
TEST_CASE("a ticket is validated against the whole configuration that it would produce")
{
    auto faults = validateTicket(acceptedBase(), ticketOf(R"({"number": 13, "remove": ["model/m1"]})"));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0] == TicketFault { "engine/e1", "there is no model m1" });
}

// Guards against an old or changed ticket that is accepted under a number that was used before.
TEST_CASE("number and content distinguish a resubmitted ticket, a conflicting one and a superseded one")
{
    auto configuration = acceptedBase();
    auto same = ticketOf(firstTicket);
    CHECK(evaluateTicket(configuration, same, contentDigestOf(same)).status == TicketStatus::AlreadyAccepted);
    auto other = same;
    other.models["m1"].version = "v2";
    CHECK(evaluateTicket(configuration, other, contentDigestOf(other)).status == TicketStatus::Conflict);
    other.number = 11;
    auto evaluation = evaluateTicket(configuration, other, contentDigestOf(other));
    CHECK(evaluation.status == TicketStatus::Superseded);
    CHECK(evaluation.newer == 12);
    auto unrelated = ticketOf(R"({"number": 3, "accounts": {"new": {}}})");
    CHECK(evaluateTicket(configuration, unrelated, contentDigestOf(unrelated)).status == TicketStatus::New);
}

// Guards against an old ticket restoring an object that a newer one removed, also once the removal is no longer listed.
TEST_CASE("a removed object stays removed for older tickets")
{
    auto removal = ticketOf(R"({"number": 20, "remove": ["account/acme"]})");
    auto configuration = withTicket(acceptedBase(), removal, contentDigestOf(removal));
    auto old = ticketOf(R"({"number": 15, "accounts": {"acme": {}}})");
    CHECK(evaluateTicket(configuration, old, contentDigestOf(old)).newer == 20);
    for (TicketNumber number = 21; number < 22 + maximumRecordedRemovals; ++number) {
        Ticket ticket { number, {}, {}, {}, {}, {}, { "account/x" + std::to_string(number) } };
        configuration = withTicket(configuration, ticket, {});
    }
    CHECK_FALSE(configuration.removedBy.contains("account/acme"));
    CHECK(evaluateTicket(configuration, old, contentDigestOf(old)).status == TicketStatus::Superseded);
}

// Guards against a configuration of the target size that exceeds the value limit of the key-value service.
TEST_CASE("27,000 accounts and 650 replicas fit into one value of 1 MB")
{
    auto configuration = acceptedBase();
    auto engine = configuration.engines.at("e1");
    for (int i = 0; i < 650; ++i)
        configuration.engines["engine-" + std::to_string(i)] = engine;
    for (int i = 0; i < 27000; ++i)
        configuration.accounts["account-" + std::to_string(i)] = { AccountId("a"), 1, 0, 1400 };
    CHECK(encodeConfiguration(configuration).size() < 1'000'000);
}

// Guards against daemons that cannot read the configuration while a newer version is rolled out.
TEST_CASE("a stored document with fields of a newer version is read, a ticket with them is refused")
{
    auto document = nlohmann::json::parse(encodeConfiguration(acceptedBase()));
    document["engines"]["e1"]["new_field"] = 1;
    document["new_section"] = 2;
    auto decoded = decodeConfiguration(document.dump());
    REQUIRE(decoded.has_value());
    CHECK(*decoded == acceptedBase());
    auto ticket = nlohmann::json::parse(firstTicket);
    ticket["engines"]["e1"]["new_field"] = 1;
    CHECK_FALSE(decodeTicket(ticket.dump()).has_value());
    CHECK(decodeStoredTicket(ticket).has_value());
}
