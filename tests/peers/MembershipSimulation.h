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

/** Many member tables in virtual time. Heartbeats are encoded as on the wire, a share of them is decoded
    and compared, and all are delivered at once. */
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

    /** Gives every node the records of all others, as after a long quiet time. */
    void fillAllTables();
    /** Runs one heartbeat period in which every running node sends its heartbeats. */
    void runRound();
    /** Lets quiet time pass at once: every running node and everyone's record of it count on, and ages stay as they are.
        Only for times in which no member is about to be removed; run rounds until the tables are settled first. */
    void skipIdleTime(Duration);
    /** A planned stop: the node tells some peers that it ends and stops. */
    void leave(Node&);
    /** Rounds until the condition holds, or nothing when it does not hold within the limit. */
    std::optional<size_t> runUntil(const std::function<bool()>& condition, size_t limit);

    bool allTablesHaveMembers(size_t count) const;
    bool revisionReachedAll(Revision) const;
    /** Whether every running node has every other running node's revision. */
    bool everyoneSeesRevision(Revision) const;
    bool isRemovedEverywhere(const DaemonId&) const;
    size_t falseSuspicions() const;

    /** Bytes that one node sends in a second, averaged over the rounds, and the largest node's. */
    struct Traffic {
        double mean = 0;
        double largest = 0;
        double messages = 0;
    };
    Traffic measureTraffic(size_t rounds);
    /** Starts to count bytes; trafficSince returns what was sent since, over the rounds run. */
    void resetTraffic();
    Traffic trafficSince(size_t rounds) const;

    std::vector<Node> nodes;
    LinkFilter allows = [](const Node&, const Node&) { return true; };
    size_t falseRemovals = 0; /**< counts removals of nodes that run */
    size_t renewals = 0; /**< new incarnations */
    size_t suspicions = 0; /**< members that were not suspected a round before */

private:
    void beat(Node&);
    void exchange(Node& from, Node& to, const HeartbeatPayload* notice = nullptr);
    void merge(Node&, const HeartbeatPayload&);
    Node* find(const DaemonId&);
    std::optional<HeartbeatPayload> transmit(Node& from, const HeartbeatPayload&);

    std::unordered_map<DaemonId, size_t> m_indexes;
    size_t m_messages = 0;
    TimePoint m_now { Duration::zero() };
    std::mt19937_64 m_random;
};

} // namespace chestnut
