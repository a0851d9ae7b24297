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

/** The services that the front end uses. They must outlive it. */
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
    /** After this time without a token, a stream continues at another engine. */
    Duration stallTimeout = std::chrono::seconds(10);
    Duration pollPeriod = std::chrono::seconds(1); /**< minimum time between two polls of one replica */
    Duration pollInterval = std::chrono::milliseconds(100); /**< time between two polls, of the same or of different replicas */
    /** Time from announcing that this daemon leaves until it refuses requests: cached discovery responses expire in it. */
    Duration leaveDelay = discoveryValidity + std::chrono::seconds(2);
};

/** State shared by all requests of the front end. Detached coroutines hold shared ownership of it. */
struct FrontendState {
    FrontendState(FrontendServices frontendServices, FrontendSettings frontendSettings, ReplicaStatusSource statusSource)
        : services(frontendServices)
        , settings(std::move(frontendSettings))
        , replicas(std::make_shared<ReplicaTable>(settings.locality, services.timers, services.log, std::move(statusSource)))
        , demand(services.peers.self())
        , random(settings.seed)
    {
    }

    TimePoint now() const { return services.timers.now(); }

    /** An id that is unique among the attempts of all daemons, so that a response to another request is detected. */
    RequestId nextAttemptId();

    OutputLengthModel& outputModel(const AccountId&, PriorityClass);

    FrontendServices services;
    FrontendSettings settings;
    std::shared_ptr<ReplicaTable> replicas;
    DemandMeter demand;
    RandomGenerator random;
    QuarantineTable quarantine;
    uint32_t openBroadcasts = 0; /**< broadcasts of suspected requests that members have not acknowledged yet */
    RetryBudget retryBudget;
    HedgeBudget hedgeBudget;
    std::map<std::pair<AccountId, PriorityClass>, OutputLengthModel> outputModels;
    std::map<AccountId, uint32_t> inFlightByAccount; /**< number of caller requests */
    uint64_t lastAttempt = 0;
};

using FrontendStatePointer = std::shared_ptr<FrontendState>;

} // namespace chestnut
