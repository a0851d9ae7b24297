#pragma once

#include "decisions/membership/HeartbeatBudget.h"
#include "decisions/membership/Membership.h"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace chestnut {

/** Simulates the membership protocol of many daemons in virtual time. Heartbeats are encoded as on the wire, a sample of
    them is decoded and compared, and all are delivered without delay. */
class MembershipSimulation {
public:
    struct Node {
        MemberTable table;
        Duration phase { 0 };
        bool runs = true;
        HeartbeatBudget budget;
        uint64_t bytesSent = 0;
        uint64_t messagesSent = 0;
    };

    using LinkFilter = std::function<bool(const Node& from, const Node& to)>;

    MembershipSimulation(size_t count, size_t zones, size_t regions, uint64_t seed);

    /** Adds the records of all nodes to every table, as after a long time without changes. */
    void fillAllTables();
    /** Simulates one heartbeat period, in which every running node sends its heartbeats. */
    void runRound();
    /** Skips a time without changes: advances the counters of all running nodes in all tables and leaves the ages of records
        unchanged. Valid only when no member is about to be removed; run rounds until the tables no longer change first. */
    void skipIdleTime(Duration);
    /** A planned stop: the node announces its departure to some peers and stops. */
    void leave(Node&);
    /** Runs rounds until the condition holds. Returns their number, or nothing when the limit is reached. */
    std::optional<size_t> runUntil(const std::function<bool()>& condition, size_t limit);

    /** Whether the table of every running node has this many members. */
    bool allTablesHaveMembers(size_t count) const;
    /** Whether the revision, or a newer one, has reached every running node. */
    bool revisionReachedAll(Revision) const;
    /** Whether all records in the tables of all running nodes have the revision or a newer one. */
    bool allRecordsHaveRevision(Revision) const;
    bool isRemovedEverywhere(const DaemonId&) const;
    size_t falseSuspicions() const;

    /** Bytes and messages sent per node and second, averaged over the rounds. */
    struct Traffic {
        double mean = 0;
        double largest = 0; /**< bytes of the node that sent the most */
        double messages = 0;
    };
    Traffic measureTraffic(size_t rounds);
    /** Resets the traffic counters. trafficSince() returns the traffic since then, given the number of rounds. */
    void resetTraffic();
    Traffic trafficSince(size_t rounds) const;

    std::vector<Node> nodes;
    LinkFilter allows = [](const Node&, const Node&) { return true; };
    size_t falseRemovals = 0; /**< removals of running nodes */
    size_t renewals = 0; /**< new incarnations */
    size_t suspicions = 0; /**< transitions of members to Suspected */

private:
    void runHeartbeat(Node&);
    void exchange(Node& from, Node& to, const HeartbeatPayload* removalNotice = nullptr);
    void merge(Node&, const HeartbeatPayload&);
    Node* find(const DaemonId&);
    std::optional<HeartbeatPayload> transmit(Node& from, const HeartbeatPayload&);

    std::unordered_map<DaemonId, size_t> m_indexes; // of nodes
    size_t m_messages = 0;
    TimePoint m_now { Duration::zero() };
    std::mt19937_64 m_random;
};

} // namespace chestnut
