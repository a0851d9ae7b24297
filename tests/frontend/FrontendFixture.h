#pragma once

#include "frontend/Fakes.h"
#include "frontend/frontend.h"
#include "http/sse/SseParser.h"
#include "kernel/timers/VirtualTimerService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace chestnut {

/** A front end with fake services in virtual time: engines e1, e2, ... on ports 1, 2, ... and servers s1, ... on 101, ... */
struct FrontendFixture {
    explicit FrontendFixture(uint16_t engineCount = 2, uint16_t serverCount = 0, uint32_t slots = 8, uint32_t maximumQueue = 256)
    {
        Configuration next;
        next.revision = 1;
        next.limits.maximumQueue = maximumQueue;
        next.models["m1"] = { ModelId("m1"), "1" };
        for (uint16_t i = 1; i <= engineCount; ++i) {
            EngineSpec engine { EngineId("e" + std::to_string(i)), formatEndpoint({ "127.0.0.1", i }), AvailabilityZone("a"), Region("r"), ModelId("m1") };
            engine.slots = slots;
            next.engines[engine.id.value()] = engine;
        }
        for (uint16_t i = 1; i <= serverCount; ++i) {
            BackendServerSpec server { ReplicaId("s" + std::to_string(i)), ServiceId("orders"), formatEndpoint({ "127.0.0.1", static_cast<uint16_t>(100 + i) }), AvailabilityZone("a"), Region("r") };
            next.backendServers[server.id.value()] = server;
        }
        configuration.publish(next);
        frontend = makeFrontend();
        frontend->start();
        advance(std::chrono::milliseconds(1));
    }

    std::unique_ptr<Frontend> makeFrontend() { return makeFrontend(peers); }

    std::unique_ptr<Frontend> makeFrontend(FakePeers& ownPeers)
    {
        FrontendSettings settings;
        settings.locality = { DaemonId("d1"), AvailabilityZone("a"), Region("r") };
        ReplicaStatusSource statusSource { [this](const ReplicaId& id) { return !draining.contains(id); }, [](const ReplicaId&) { return 1.0; }, [this](const ReplicaId& id) { return roles[id]; } };
        FrontendServices services { context, timers, log, metrics, configuration, claims, ownPeers, engines, servers };
        return std::make_unique<Frontend>(services, settings, statusSource);
    }

    void advance(Duration duration) { timers.advance(duration); }

    std::shared_ptr<FakeWriter> sendRequest(HttpRequest request) { return sendRequestTo(*frontend, std::move(request)); }

    std::shared_ptr<FakeWriter> sendRequestTo(Frontend& target, HttpRequest request)
    {
        auto writer = std::make_shared<FakeWriter>(timers);
        asio::co_spawn(context, handle(target, std::move(request), writer), asio::detached);
        timers.runReady();
        return writer;
    }

    static asio::awaitable<void> handle(Frontend& target, HttpRequest request, std::shared_ptr<FakeWriter> writer)
    {
        co_await target.handle(std::move(request), *writer);
    }

    static HttpRequest completion(const std::string& prompt, uint32_t tokens, bool isStreamed = true, HttpHeaders headers = {})
    {
        nlohmann::json body { { "model", "m1" }, { "prompt", prompt }, { "max_tokens", tokens }, { "stream", isStreamed } };
        return { "POST", "/v1/completions", std::move(headers), body.dump() };
    }

    static HttpRequest order(const std::string& key, const std::string& body)
    {
        return { "POST", "/services/orders/book", { { "Idempotency-Key", key } }, body };
    }

    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    FakeConfiguration configuration;
    FakeClaims claims;
    FakePeers peers;
    FakeEngines engines { timers };
    FakeServers servers { timers };
    std::set<ReplicaId> draining; /**< replicas that accept no new work */
    std::map<ReplicaId, EngineRole> roles;
    std::unique_ptr<Frontend> frontend;
};

/** The part of a stream that a caller received. */
struct ReceivedStream {
    std::string text;
    uint64_t tokens = 0;
    bool isWhole = false; /**< ended with [DONE] */
    bool isOrdered = true; /**< the token indexes are consecutive */
    std::string lastId;
};

inline ReceivedStream readStream(const FakeWriter& writer, uint64_t afterToken = 0)
{
    ReceivedStream received;
    SseParser parser;
    parser.append(writer.body);
    while (auto event = parser.next()) {
        if (event->data == "[DONE]") {
            received.isWhole = true;
            continue;
        }
        auto chunk = parseCompletionChunk(event->data);
        if (!chunk)
            continue;
        received.text += chunk->text;
        ++received.tokens;
        received.lastId = event->id;
        auto index = event->id.substr(event->id.rfind('/') + 1);
        received.isOrdered = received.isOrdered && index == std::to_string(afterToken + received.tokens);
    }
    return received;
}

inline std::string expectedText(uint64_t from, uint64_t to)
{
    std::string text;
    for (uint64_t i = from; i <= to; ++i)
        text += fakeToken(i);
    return text;
}

inline std::string errorKindOf(const FakeWriter& writer)
{
    auto document = nlohmann::json::parse(writer.body, nullptr, false);
    return document.is_object() && document.contains("error") ? document["error"].value("kind", "") : "";
}

inline std::string errorOutcomeOf(const FakeWriter& writer)
{
    auto document = nlohmann::json::parse(writer.body, nullptr, false);
    return document.is_object() && document.contains("error") ? document["error"].value("outcome", "") : "";
}

} // namespace chestnut
