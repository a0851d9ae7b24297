#pragma once

#include "gateway/leases/FencedLease.h"
#include "gateway/members/DaemonDirectory.h"
#include "gateway/usage/UsageMessage.h"
#include "gateway/usage/UsageMeter.h"
#include "kernel/metrics/Metrics.h"

#include <set>

namespace chestnut {

/** Brings the counts of all daemons to the holder of the tasks' lease, in datagrams directly to it. Counts are sent about once a
    second while they change, until the holder has acknowledged them, and again to a new holder, which announces itself. */
class UsageExchange {
public:
    /** Sends a datagram; it may be lost. */
    using Send = std::function<void(const Endpoint&, std::string_view)>;

    /** `mirror` covers the key of the lease. */
    UsageExchange(VersionedStore&, TimerService&, Log&, Metrics&, StoreMirror& mirror, DaemonDirectory&, FencedLease&, UsageMeter&, Send);

    void start();

    /** Receives a datagram that begins with usageMessagePrefix. */
    void receive(std::string_view datagram);

    /** Sends what the holder does not know yet, and waits for a short time until it does. */
    asio::awaitable<void> flush(Duration longestWait);

    /** The counts that this daemon knows as the holder. */
    UsageLedger& ledger() { return m_ledger; }

private:
    /** Entries of a message that has not been acknowledged. */
    struct SentMessage {
        std::vector<UsageEntry> entries;
        TimePoint sentAt;
    };

    void update();
    void updateAsHolder();
    void announce();
    void sendIfDue();
    void sendCounts();
    void sendMessage(const Endpoint&, std::vector<UsageEntry>);
    void handle(const UsageCountsMessage&);
    void handle(const UsageAcknowledgement&);
    void handle(const UsageAnnouncement&);
    /** A later holder is known, from the store or by its announcement. */
    void recordHolder(const DaemonId&, FencingNumber);
    bool isInRange(UsageWindow) const;

    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    Metrics& m_metrics;
    DaemonDirectory& m_directory;
    FencedLease& m_lease;
    UsageMeter& m_meter;
    Send m_send;
    Incarnation m_incarnation;
    DaemonId m_holder;
    FencingNumber m_holderNumber = 0;
    uint64_t m_lastSequence = 0;
    std::map<uint64_t, SentMessage> m_sent; /**< by sequence */
    TimePoint m_sentAt;
    UsageWindow m_sentInWindow = 0; /**< the window of the last message */
    uint32_t m_repetitions = 0; /**< without an acknowledgement */
    UsageLedger m_ledger;
    FencingNumber m_ledgerOf = 0; /**< the own lease under which the daemons below have sent counts */
    std::set<DaemonId> m_answered;
    TimePoint m_announcedAt;
    uint32_t m_announcements = 0;
    TimerSubscription m_timer;
};

} // namespace chestnut
