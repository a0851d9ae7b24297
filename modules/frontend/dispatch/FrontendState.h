#pragma once

#include "backends/backends.h"
#include "claims/service/ClaimService.h"
#include "control/configuration/ConfigurationService.h"
#include "decisions/decisions.h"
#include "frontend/demand/DemandMeter.h"
#include "frontend/replicas/ReplicaTable.h"
#include "frontend/requests/CallerRequest.h"
#include "kernel/kernel.h"
#include "peers/service/PeerService.h"

namespace chestnut {

/** The services that the front end uses; they outlive it. */
struct FrontendServices {
    asio::io_context& context;
    TimerService& timers;
    Log& log;
    Metrics& metrics;
    ConfigurationService& configuration;
    ClaimService& claims;
    PeerService& peers;
    EngineClient& engines;
    BackendServerClient& servers;
};

struct FrontendSettings {
    Locality locality;
    uint64_t seed = 1; /**< of all random choices */
    /** Longest silence of an engine within a stream before the stream goes on at another engine. */
    Duration stallTimeout = std::chrono::seconds(10);
    Duration pollPeriod = std::chrono::seconds(1); /**< of one replica, at least */
    Duration pollInterval = std::chrono::milliseconds(100); /**< between two polls of any replica */
    /** Time between the announcement that this daemon leaves and the first refusal: cached discovery answers run out. */
    Duration leaveDelay = discoveryValidity + std::chrono::seconds(2);
};

/** State shared by all requests of the front end. Detached coroutines share its ownership. */
struct FrontendState {
    FrontendState(FrontendServices frontendServices, FrontendSettings frontendSettings, ReplicaGates gates)
        : services(frontendServices)
        , settings(std::move(frontendSettings))
        , replicas(std::make_shared<ReplicaTable>(settings.locality, services.timers, services.log, std::move(gates)))
        , demand(services.peers.self())
        , random(settings.seed)
    {
    }

    TimePoint now() const { return services.timers.now(); }

    /** A request id that no other attempt of any daemon has; crossed answers are detected by it. */
    RequestId nextAttemptId();

    OutputLengthModel& outputModel(const AccountId&, PriorityClass);

    FrontendServices services;
    FrontendSettings settings;
    std::shared_ptr<ReplicaTable> replicas;
    DemandMeter demand;
    RandomGenerator random;
    QuarantineTable suspects;
    uint32_t openWarnings = 0; /**< warnings about suspected requests that members have not answered yet */
    RetryBudget retryBudget;
    HedgeBudget hedgeBudget;
    std::map<std::pair<AccountId, PriorityClass>, OutputLengthModel> outputModels;
    std::map<AccountId, uint32_t> inFlight; /**< caller requests by account */
    uint64_t lastAttempt = 0;
};

using FrontendStatePointer = std::shared_ptr<FrontendState>;

} // namespace chestnut
