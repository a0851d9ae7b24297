#include "decisions/accounts/AccountTable.h"
#include "decisions/routes/RouteTable.h"
#include "support/FixedSeed.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace chestnut;

namespace {

using Accounts = std::vector<ClientAccount>;

ClientAccount account(const std::string& name, std::vector<std::string> keys, std::optional<uint32_t> priority = {})
{
    return { AccountId(name), std::move(keys), priority };
}

DigestSecret secretOf(uint32_t seed)
{
    std::mt19937 random(seed);
    DigestSecret secret {};
    std::ranges::generate(secret, [&random] { return static_cast<uint8_t>(random()); });
    return secret;
}

std::string ownerOf(const AccountTable& table, std::string_view key)
{
    const auto* owner = table.find(key);
    return owner ? owner->id.value() : "";
}

std::vector<AccountProblem> problem(const std::string& name, AccountFault fault)
{
    return { { AccountId(name), fault } };
}

} // namespace

// Guards against a key that authenticates another account than its own, or none.
TEST_CASE("each key authenticates its account, and no other text does")
{
    Accounts accounts { account("a", { "k1", "k2" }, 3), account("b", { "k3" }) };
    AccountTable table(accounts, secretOf(1));
    CHECK(ownerOf(table, "k1") == "a");
    CHECK(ownerOf(table, "k2") == "a");
    CHECK(table.find("k2")->priority == 3);
    CHECK(ownerOf(table, "k3") == "b");
    for (const auto* key : { "", "k", "k4", "k1 ", " k1", "K1", "a", "k1,k2" })
        CHECK(table.find(key) == nullptr);
    CHECK(table.problems().empty());
}

// Guards against a table whose order, and with it the duration of a lookup, can be predicted from the keys.
TEST_CASE("the digests of a key under two secrets differ, and lookups work under both")
{
    CHECK(keyedDigestOf("k1", secretOf(1)) != keyedDigestOf("k1", secretOf(2)));
    Accounts accounts { account("a", { "k1" }) };
    CHECK(ownerOf(AccountTable(accounts, secretOf(1)), "k1") == "a");
    CHECK(ownerOf(AccountTable(accounts, secretOf(2)), "k1") == "a");
}

TEST_CASE("the comparison in constant time finds each difference")
{
    CHECK(equalInConstantTime("", ""));
    CHECK(equalInConstantTime("abc", "abc"));
    for (const auto* other : { "", "ab", "abcd", "xbc", "axc", "abx" })
        CHECK_FALSE(equalInConstantTime("abc", other));
}

// Guards against a request that runs under the wrong one of two accounts.
TEST_CASE("a key that belongs to two accounts authenticates neither, and their other keys stay valid")
{
    Accounts accounts { account("a", { "own a", "shared" }), account("b", { "shared", "own b" }) };
    AccountTable table(accounts, secretOf(1));
    CHECK(table.find("shared") == nullptr);
    CHECK(ownerOf(table, "own a") == "a");
    CHECK(ownerOf(table, "own b") == "b");
    CHECK(table.problems() == std::vector<AccountProblem> { { AccountId("a"), AccountFault::SharedKey }, { AccountId("b"), AccountFault::SharedKey } });
}

TEST_CASE("a key that one account lists twice stays valid")
{
    Accounts accounts { account("a", { "k1", "k1" }) };
    AccountTable table(accounts, secretOf(1));
    CHECK(ownerOf(table, "k1") == "a");
    CHECK(table.keyCount() == 1);
    CHECK(table.problems().empty());
}

// Guards against requests that count for, or have the priority of, the wrong one of two accounts with one name.
TEST_CASE("of two accounts with the same name neither is in force, and a key shared with one of them is not valid elsewhere")
{
    Accounts accounts { account("a", { "k1" }, 0), account("b", { "k2", "k4" }), account("a", { "k3", "k4" }, 9) };
    AccountTable table(accounts, secretOf(1));
    for (const auto* key : { "k1", "k3", "k4" })
        CHECK(table.find(key) == nullptr);
    CHECK(ownerOf(table, "k2") == "b");
}

TEST_CASE("an account without keys and an empty key authenticate nothing")
{
    Accounts accounts { account("a", {}), account("b", { "", "k2" }), account("c", { "" }) };
    AccountTable table(accounts, secretOf(1));
    CHECK(table.find("") == nullptr);
    CHECK(ownerOf(table, "k2") == "b");
    CHECK(table.problems() == std::vector<AccountProblem> { { AccountId("a"), AccountFault::NoKeys }, { AccountId("b"), AccountFault::EmptyKey }, { AccountId("c"), AccountFault::EmptyKey }, { AccountId("c"), AccountFault::NoKeys } });
}

// Guards against a name that adds a header field to the calls to replicas.
TEST_CASE("an account whose name cannot be sent in a header field is not in force")
{
    for (const std::string& name : { std::string(), std::string("a\r\nX-Other: 1"), std::string(" a"), std::string("a "), std::string("a\0", 2), std::string("\xc3\xa9"), std::string(201, 'x') }) {
        CAPTURE(name);
        Accounts accounts { account(name, { "k1" }) };
        AccountTable table(accounts, secretOf(1));
        CHECK(table.find("k1") == nullptr);
        CHECK(table.problems() == problem(name, AccountFault::UnusableName));
    }
}

// Guards against a lookup that differs from the defined reading of ambiguous accounts.
TEST_CASE("for any accounts a key authenticates only the single valid account that lists it")
{
    auto holds = checkWithSeed("accounts", 41, 500, [] {
        auto names = *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange<uint8_t>(0, 6));
        Accounts accounts;
        for (auto name : names) {
            auto keys = *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange<uint8_t>(0, 8));
            std::vector<std::string> texts;
            texts.reserve(keys.size());
            for (auto key : keys)
                texts.push_back(key == 0 ? "" : "k" + std::to_string(key));
            accounts.push_back(account(name == 0 ? "" : "a" + std::to_string(name), texts));
        }
        AccountTable table(accounts, secretOf(1));
        for (int key = 1; key < 8; ++key) {
            auto text = "k" + std::to_string(key);
            std::vector<const ClientAccount*> owners;
            for (const auto& candidate : accounts) {
                if (std::ranges::find(candidate.keys, text) != candidate.keys.end())
                    owners.push_back(&candidate);
            }
            auto isValid = owners.size() == 1 && !owners[0]->id.empty() && std::ranges::count(accounts, owners[0]->id, &ClientAccount::id) == 1;
            RC_ASSERT(table.find(text) == (isValid ? owners[0] : nullptr));
        }
        RC_ASSERT(table.find("") == nullptr);
    });
    CHECK(holds);
}

// Guards against references of the table to accounts that were moved away.
TEST_CASE("a route table that is moved still finds its accounts")
{
    RoutingConfiguration configuration;
    configuration.accounts = Accounts { account("a", { "k1" }) };
    RouteTable first(std::move(configuration), secretOf(1));
    RouteTable second(std::move(first));
    REQUIRE(second.accounts());
    CHECK(ownerOf(*second.accounts(), "k1") == "a");
    CHECK(RouteTable(RoutingConfiguration()).accounts() == nullptr);
}
