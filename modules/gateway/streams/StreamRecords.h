#pragma once

#include "gateway/requests/RoutedRequest.h"
#include "gateway/streams/DefaultVersions.h"
#include "kernel/metrics/Metrics.h"
#include "kernel/signals/AutoResetEvent.h"

#include <deque>

namespace chestnut {

/** Names a stream by the client attempt that brought its first event. */
struct StreamName {
    ServiceId service;
    AccountId account; /**< empty on public routes and where there are no accounts */
    RequestId attempt;

    auto operator<=>(const StreamName&) const = default;
};

/** How this daemon knows the version of a stream. */
enum class VersionSource : uint8_t {
    Memory, /**< the stream has begun at this daemon */
    Record, /**< read from the store */
    Default, /**< the store has no record, so that it is the default version */
};

std::string_view nameOf(VersionSource);

struct StreamVersion {
    SoftwareVersion version;
    VersionSource source = VersionSource::Memory;

    bool operator==(const StreamVersion&) const = default;
};

/** Keeps the versions at which streams have begun, so that each stream that is resumed goes on at its version, whichever daemons are left.
    Streams at the default version need no record. That of another stream is written to the store before its client receives the first
    event, under a lease that lasts longer than the stream. */
class StreamRecords : public Service {
public:
    static constexpr std::string_view serviceName = "streamrecords";
    std::string_view name() const final { return serviceName; }

    /** A record that is being written. */
    class Writing;
    using WritingPointer = std::shared_ptr<Writing>;

    /** `streamLifetime` returns how long a stream may be resumed after it has begun. */
    StreamRecords(asio::io_context&, VersionedStore&, TimerService&, Log&, Metrics&, DefaultVersions&, std::function<Duration()> streamLifetime);
    ~StreamRecords() override;

    void start() override;

    /** Begins to write the version of a stream that begins there. `number` counts the records of the attempt from 1; a later run, at whatever
        version, replaces an earlier record. Returns null if the stream needs none. */
    WritingPointer beginWriting(const StreamName&, uint32_t number, const SoftwareVersion&);

    /** Waits until the record has been written. Returns false if that has not succeeded in time; the write is then still tried. */
    asio::awaitable<bool> awaitWritten(WritingPointer, Duration timeout);

    /** Keeps the version in memory from the stream's first event on. */
    void remember(const StreamName&, const SoftwareVersion&);

    /** The version of a stream. Fails with NotReady if it cannot be known now. */
    asio::awaitable<Result<StreamVersion>> find(StreamName);

    /** The version of all streams of a service that can be resumed, if there is only one; for a client that does not name its stream. Fails like
        find(). */
    asio::awaitable<Result<StreamVersion>> findOnlyVersion(ServiceId);

    /** Whether records can be written now. */
    bool canWrite() const;

    /** The default version of the service; absent while this daemon knows none. */
    std::optional<DefaultVersion> defaultVersion(const ServiceId& service) const { return m_defaults.find(service); }

    /** Writes all records of this daemon's recent streams again, after a restore of the store. */
    void rewrite();

private:
    struct Remembered {
        SoftwareVersion version;
        TimePoint since;
    };

    asio::awaitable<void> writePending();
    asio::awaitable<Result<void>> writeBatch(const std::vector<WritingPointer>&);
    asio::awaitable<Result<void>> ensureLease();
    asio::awaitable<Result<StorePage>> readWithRetries(std::string prefix);
    asio::awaitable<Result<StreamVersion>> findDefault(ServiceId);
    void expire();

    asio::io_context& m_context;
    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    Metrics& m_metrics;
    DefaultVersions& m_defaults;
    std::function<Duration()> m_streamLifetime;
    std::map<StreamName, Remembered> m_remembered;
    std::deque<WritingPointer> m_pending;
    std::vector<WritingPointer> m_written; /**< within the last streamLifetime */
    AutoResetEvent m_wakeUp;
    StoreLease m_lease;
    TimePoint m_leaseGrantedAt;
    std::optional<TimePoint> m_failingSince;
    TimerSubscription m_expiryTimer;
};

} // namespace chestnut
