#pragma once

#include "gateway/Fakes.h"

namespace chestnut {

/** Decodes `VERSION [accounts NAME=KEY,KEY...]`: a configuration with routes to the plain service "s" at "/", which is public below
    "/public/", and to the engines "e" at "/stream/". */
Result<RoutingConfiguration> decodeAccountsConfiguration(std::string_view);

/** A gateway whose configuration has accounts, with fake replicas in virtual time. */
class AccountsFixture {
public:
    explicit AccountsFixture(const std::string& configuration);

    /** Starts a request with a key; an empty one is absent. */
    void start(FakeWriter&, const std::string& path, const std::string& key, std::optional<PromptShape> prompt = {});

    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    FakeVersionedStore store { timers };
    FakeReplicaClient replicaClient { timers };
    Gateway gateway;

private:
    int m_requests = 0;
};

} // namespace chestnut
