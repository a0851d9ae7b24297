#pragma once

#include "FleetSimulation.h"

namespace chestnut::fuzz {

struct FleetSimulation::KeyValueModel {
    bool isUp = true;
    bool losesResponse = false;
    bool isWriteLate = false;
    Configuration configuration;
    std::map<TicketNumber, Revision> accepted;
    std::vector<ClaimRecord> claims;
    std::vector<std::pair<uint64_t, ClaimRecord>> delayedClaims; /**< delayed writes, with their position in the log */
    std::string lockHolder;
    FencingNumber lockIndex = 0;
    TimePoint sessionEnd;
    std::map<EngineId, std::pair<uint64_t, OrderIntent>> intents; /**< number of writes and newest value */
};

struct FleetSimulation::Engine {
    EngineId id;
    ObservedEngine state;
    std::vector<std::pair<DaemonId, TimePoint>> running; /**< daemon and end time of each request */
    std::vector<std::pair<TimePoint, OrderIntent>> pendingOrders;
};

struct FleetSimulation::Server {
    std::string id;
    std::optional<Revision> leavingRevision; /**< of the configuration in which it is leaving */
    std::optional<TimePoint> leavingSince; /**< when that configuration became available to a connected daemon */
};

struct FleetSimulation::PendingCall {
    std::string call; /**< account and key */
    uint64_t attempt = 0;
    ClaimEntry entry;
    ClaimRecord record;
    std::optional<uint64_t> writtenIndex; /**< log position of a write whose response was lost */
    std::string expectedResponse; /**< the response that belongs to this account and key */
    uint8_t fault = 0;
    bool isDone = false;
};

struct FleetSimulation::Daemon {
    MemberTable table;
    bool isRunning = true;
    bool isPaused = false;
    bool isIsolated = false;
    std::optional<TimePoint> leavingSince;
    TimePoint connectedSince; /**< running and connected to the other daemons since then */
    Configuration configuration;
    ClaimLog log;
    RecordedResponses responses;
    std::optional<Lease> lease;
    std::string holder;
    std::map<EngineId, DrainProgress> drains;
    std::set<EngineId> drainingEngines;
    std::map<EngineId, TimePoint> retryAt;
    std::vector<PendingCall> calls;

    bool isActive() const { return isRunning && !isPaused; }
};

} // namespace chestnut::fuzz
