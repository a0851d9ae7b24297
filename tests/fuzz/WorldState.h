#pragma once

#include "World.h"

namespace chestnut::fuzz {

struct World::KeyValueModel {
    bool isUp = true;
    bool losesAnswer = false;
    bool isLate = false;
    Configuration configuration;
    std::map<TicketNumber, Revision> accepted;
    std::vector<ClaimRecord> claims;
    std::vector<std::pair<uint64_t, ClaimRecord>> lateClaims; /**< writes under way, with their place */
    std::string lockHolder;
    FencingNumber lockIndex = 0;
    TimePoint sessionEnd;
    std::map<EngineId, std::pair<uint64_t, OrderIntent>> intents; /**< number of writes, and the value */
};

struct World::Engine {
    EngineId id;
    ObservedEngine state;
    std::vector<std::pair<DaemonId, TimePoint>> running; /**< daemon and end of each request */
    std::vector<std::pair<TimePoint, OrderIntent>> arriving;
};

struct World::Server {
    std::string id;
    std::optional<Revision> leavingRevision; /**< of the configuration in which it leaves */
    std::optional<TimePoint> leavingSince; /**< that configuration can be read somewhere since then */
};

struct World::PendingCall {
    std::string call; /**< account and key */
    uint64_t attempt = 0;
    ClaimEntry entry;
    ClaimRecord record;
    std::optional<uint64_t> writtenAt; /**< place of a write whose answer was lost */
    std::string own; /**< the answer that belongs to this call */
    uint8_t fault = 0;
    bool isDone = false;
};

struct World::Daemon {
    MemberTable table;
    bool runs = true;
    bool isPaused = false;
    bool isCut = false;
    std::optional<TimePoint> leavingSince;
    TimePoint connectedSince; /**< runs and reaches the others since then */
    Configuration configuration;
    ClaimLog log;
    RecordedResponses answers;
    std::optional<Lease> lease;
    std::string holder;
    std::map<EngineId, DrainProgress> drains;
    std::set<EngineId> noWork;
    std::map<EngineId, TimePoint> retryAt;
    std::vector<PendingCall> calls;

    bool isActive() const { return runs && !isPaused; }
};

} // namespace chestnut::fuzz
