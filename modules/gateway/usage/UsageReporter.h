#pragma once

#include "gateway/leases/FencedLease.h"
#include "gateway/tasks/TaskPlatform.h"
#include "gateway/usage/UsageMeter.h"
#include "kernel/metrics/Metrics.h"

namespace chestnut {

/** A report as it is fixed in the store before its first call. */
struct FixedUsageReport {
    UsageReport report;
    StoreEpoch epoch = 0; /**< of the store when it was fixed */

    bool operator==(const FixedUsageReport&) const = default;
};

std::string encodeFixedUsageReport(const FixedUsageReport&);
/** Fails with ProtocolError. */
Result<FixedUsageReport> decodeFixedUsageReport(std::string_view);

/** Reports the usage of each window at the holder of the tasks' lease. The counts are fixed in the store before the first call, in
    the order of the windows, so that no window gets two different reports. */
class UsageReporter : public Service {
public:
    static constexpr std::string_view serviceName = "usagereporter";
    std::string_view name() const final { return serviceName; }

    /** `mirror` covers the key of the lease. */
    UsageReporter(asio::io_context&, VersionedStore&, TimerService&, Log&, Metrics&, const StoreMirror& mirror, TaskPlatform&, const FencedLease&, const UsageMeter&, const UsageLedger&);

    void start() override;

    /** Returns when no call is in flight. */
    asio::awaitable<void> stop() override;

private:
    enum class ReportState : uint8_t {
        Pending,
        Done, /**< acknowledged */
        GivenUp, /**< refused or late */
    };

    struct Report {
        UsageReport report;
        ReportState state = ReportState::Pending;
        uint32_t calls = 0;
        TimePoint nextCallAt;
    };

    /** One key of the store, which is used again when its window is late. */
    struct Slot {
        uint64_t revision = 0;
        UsageWindow window = 0;
    };

    asio::awaitable<void> run();
    /** Reads what former holders have fixed. Returns whether this holder may go on. */
    asio::awaitable<bool> takeOver();
    asio::awaitable<Result<std::vector<StoreItem>>> listFixed();
    void applyFixed(const std::vector<StoreItem>&);
    void observeEpoch();
    /** The first window that no holder can have fixed in an earlier epoch of the store. */
    UsageWindow firstUnfixedWindow() const;
    asio::awaitable<void> fixClosedWindows();
    /** Fixes the counts of the next window. Returns false if the store did not confirm it. */
    asio::awaitable<bool> fixNextWindow();
    std::string slotForNextWindow() const;
    asio::awaitable<void> sendPending();
    asio::awaitable<void> send(Report&);
    void recordResult(Report&, const Result<TaskResult>&);
    void countEvent(std::string_view result);

    asio::io_context& m_context;
    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    Metrics& m_metrics;
    const StoreMirror& m_mirror;
    TaskPlatform& m_platform;
    const FencedLease& m_lease;
    const UsageMeter& m_meter;
    const UsageLedger& m_ledger;
    FencingNumber m_holder = 0; /**< the own lease under which the fixed reports were read; zero: they must be read */
    std::optional<StoreEpoch> m_epoch; /**< as last seen */
    Duration m_epochSeenAt {}; /**< by the time of the meter */
    std::map<std::string, Slot> m_slots; /**< by key */
    std::map<UsageWindow, Report> m_reports;
    UsageWindow m_nextWindow = 0; /**< to be fixed */
    /** Where the next window may have been written although the response was lost; empty: nowhere. */
    std::string m_attemptedSlot;
    bool m_hasBegun = false; /**< a window has been fixed since the first traffic */
    TimerSubscription m_epochTimer;
    bool m_isCalling = false;
    bool m_isStopped = false;
};

} // namespace chestnut
