#include "decisions/routes/RouteTable.h"

#include <doctest/doctest.h>
#include <map>

using namespace chestnut;

namespace {

Route routeTo(std::string host, std::string prefix, std::vector<TrafficShare> shares = { { ServiceId("s"), 1 } })
{
    Route route;
    route.name = host + prefix;
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.shares = std::move(shares);
    return route;
}

RouteTable tableOf(std::vector<Route> routes)
{
    RoutingConfiguration configuration;
    configuration.version = 1;
    configuration.routes = std::move(routes);
    return RouteTable(std::move(configuration));
}

} // namespace

TEST_CASE("the route with the longest prefix is chosen, whatever the order of the routes")
{
    auto table = tableOf({ routeTo("a.example", "/"), routeTo("a.example", "/x/y/"), routeTo("a.example", "/x/") });
    CHECK(table.find("a.example", "/x/y/z")->prefix == "/x/y/");
    CHECK(table.find("a.example", "/x/yz")->prefix == "/x/");
    CHECK(table.find("a.example", "/other")->prefix == "/");
}

TEST_CASE("routes of one host do not match requests to another")
{
    auto table = tableOf({ routeTo("a.example", "/x/") });
    CHECK(table.find("b.example", "/x/") == nullptr);
    CHECK(table.find("a.example", "/y/") == nullptr);
    // A prefix ends with a slash: a path that only begins with the same letters is another one.
    CHECK(table.find("a.example", "/x") == nullptr);
}

TEST_CASE("the priorities of a service are those of its routes and of the accounts")
{
    auto urgent = routeTo("a.example", "/urgent/");
    auto bulk = routeTo("a.example", "/bulk/");
    bulk.priority = 4;
    auto other = routeTo("a.example", "/other/", { { ServiceId("t"), 1 } });
    other.priority = 9;
    RoutingConfiguration configuration;
    configuration.routes = { urgent, bulk, other };
    CHECK(RouteTable(configuration).prioritiesOf(ServiceId("s")) == ServicePriorities({ 0, 4 }));
    CHECK(RouteTable(configuration).prioritiesOf(ServiceId("t")).levels() == 1);
    CHECK(RouteTable(configuration).prioritiesOf(ServiceId("unknown")).levels() == 1);
    configuration.accounts = { { AccountId("first"), { "k1" }, 2 }, { AccountId("second"), { "k2" }, {} } };
    CHECK(RouteTable(configuration).prioritiesOf(ServiceId("s")) == ServicePriorities({ 0, 2, 4 }));
}

TEST_CASE("the port and the case of the Host field are ignored")
{
    auto table = tableOf({ routeTo("a.example", "/x/") });
    CHECK(table.find("A.Example:8144", "/x/1") != nullptr);
}

TEST_CASE("traffic is split by weight and a share without weight gets none")
{
    auto route = routeTo("a.example", "/x/", { { ServiceId("old"), 90 }, { ServiceId("new"), 10 }, { ServiceId("none"), 0 } });
    std::map<std::string, int> counts;
    for (uint64_t hash = 0; hash < 1000; ++hash)
        ++counts[serviceFor(route, hash).value()];
    CHECK(counts["old"] == 900);
    CHECK(counts["new"] == 100);
    CHECK(counts["none"] == 0);
}
