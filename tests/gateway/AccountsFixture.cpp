#include "gateway/AccountsFixture.h"

#include <sstream>

namespace chestnut {

using namespace std::chrono_literals;

namespace {

    Route routeTo(const std::string& service, const std::string& prefix, RouteKind kind)
    {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.prefix = prefix;
        route.kind = kind;
        route.timeout = 4s;
        route.priority = 5;
        route.shares = { { ServiceId(service), 1 } };
        route.maximumAttempts = 2;
        route.isResumable = kind == RouteKind::Streaming;
        route.isPublic = prefix == "/public/";
        return route;
    }

    /** Decodes NAME=KEY,KEY. */
    ClientAccount accountOf(const std::string& text)
    {
        auto equals = text.find('=');
        ClientAccount account { AccountId(text.substr(0, equals)), {}, {} };
        std::istringstream keys(text.substr(equals + 1));
        for (std::string key; std::getline(keys, key, ',');)
            account.keys.push_back(key);
        return account;
    }

} // namespace

Result<RoutingConfiguration> decodeAccountsConfiguration(std::string_view value)
{
    std::istringstream words { std::string(value) };
    RoutingConfiguration configuration;
    if (!(words >> configuration.version))
        return makeError(ErrorKind::ProtocolError, "no configuration");
    configuration.routes = { routeTo("s", "/", RouteKind::Idempotent), routeTo("s", "/public/", RouteKind::Idempotent), routeTo("e", "/stream/", RouteKind::Streaming) };
    configuration.services = { { ServiceId("s"), "/health", 10, std::nullopt, std::nullopt }, { ServiceId("e"), "/health", 10, EngineProfile {}, std::nullopt } };
    std::string word;
    if (words >> word)
        configuration.accounts.emplace();
    while (words >> word)
        configuration.accounts->push_back(accountOf(word));
    return configuration;
}

AccountsFixture::AccountsFixture(const std::string& configuration)
    : gateway({ context, timers, log, metrics, store, replicaClient, [](const RoutingConfiguration&) {} }, { "config", "servers/", decodeAccountsConfiguration, decodeTestEntry }, { { DaemonId("d0"), AvailabilityZone("a"), { "127.0.0.1", 1 }, { "127.0.0.1", 0 } }, {} })
{
    store.put("config", configuration);
    store.put("servers/s-1", testEntry("s", "none"));
    store.put("servers/s-2", testEntry("s", "none"));
    store.put("servers/e-1", testEntry("e", "prefill"));
    store.put("servers/e-2", testEntry("e", "decode"));
    store.put("servers/e-3", testEntry("e", "decode"));
    for (const auto* replica : { "s-1", "s-2" })
        replicaClient.scripts[ReplicaId(replica)] = { { .chunks = { "answer" } } };
    for (const auto* replica : { "e-2", "e-3" })
        replicaClient.scripts[ReplicaId(replica)] = { { .chunks = { "id: 1\ndata: a\n\n" } } };
    gateway.start();
    timers.advance(1s);
}

void AccountsFixture::start(FakeWriter& writer, const std::string& path, const std::string& key, std::optional<PromptShape> prompt)
{
    RoutedRequest request;
    request.id = RequestId("q" + std::to_string(++m_requests));
    request.host = "h";
    request.forwarded = { "GET", path, {}, "" };
    request.arrival = timers.now();
    request.key = key;
    request.prompt = std::move(prompt);
    asio::co_spawn(context, gateway.handle(std::move(request), writer), asio::detached);
    timers.advance(50ms);
}

} // namespace chestnut
