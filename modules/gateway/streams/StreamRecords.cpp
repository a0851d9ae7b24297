#include "gateway/streams/StreamRecords.h"

#include "base/digest/Digest.h"
#include "gateway/streams/StreamVersionCodec.h"
#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Outside the prefix that all daemons mirror, as a record is read only for a stream that is resumed. */
    constexpr std::string_view keyPrefix = "chestnutroute-streams/";
    /** Keys that one transaction may write. */
    constexpr size_t maximumBatch = 32;
    /** The lease of a record lasts at least one and at most this many times the lifetime of a stream. */
    constexpr int leaseLifetimes = 2;
    constexpr Duration expiryPeriod = std::chrono::seconds(1);
    constexpr Duration retryPause = std::chrono::milliseconds(50);
    /** The store counts as failing after failures during this time. */
    constexpr Duration failureTolerance = std::chrono::milliseconds(500);
    /** A client that resumes a stream waits this long for an answer of the store. */
    constexpr Duration readPatience = std::chrono::seconds(1);

    /** The account and the attempt are chosen by clients and of any length, so that the key contains their digest. */
    std::string serviceKeyOf(const ServiceId& service)
    {
        return std::string(keyPrefix) + toHex(digestOf(service.value())) + "/";
    }

    std::string streamKeyOf(const StreamName& name)
    {
        return serviceKeyOf(name.service) + toHex(digestOf(name.account.value() + "\n" + name.attempt.value())) + "/";
    }

    Error unknownVersion(std::string detail)
    {
        return makeError(ErrorKind::NotReady, std::move(detail));
    }

} // namespace

std::string_view nameOf(VersionSource source)
{
    switch (source) {
    case VersionSource::Memory:
        return "memory";
    case VersionSource::Record:
        return "record";
    case VersionSource::Default:
        return "default";
    }
    return "default";
}

class StreamRecords::Writing {
public:
    Writing(asio::io_context& context, std::string recordKey, SoftwareVersion recordVersion, TimePoint startedAt)
        : key(std::move(recordKey))
        , version(std::move(recordVersion))
        , since(startedAt)
        , completed(context)
    {
    }

    const std::string key;
    const SoftwareVersion version;
    const TimePoint since;
    AutoResetEvent completed;
    bool isWritten = false;
};

StreamRecords::StreamRecords(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, Metrics& metrics, DefaultVersions& defaults, std::function<Duration()> streamLifetime)
    : m_context(context)
    , m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_defaults(defaults)
    , m_streamLifetime(std::move(streamLifetime))
    , m_wakeUp(context)
{
}

StreamRecords::~StreamRecords() = default;

void StreamRecords::start()
{
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "stream_records", [this] { return writePending(); });
    m_expiryTimer = m_timers.every(expiryPeriod, [this] { expire(); });
}

void StreamRecords::expire()
{
    auto oldest = m_timers.now() - m_streamLifetime();
    std::erase_if(m_remembered, [oldest](const auto& entry) { return entry.second.since < oldest; });
    std::erase_if(m_written, [oldest](const WritingPointer& writing) { return writing->since < oldest; });
}

StreamRecords::WritingPointer StreamRecords::beginWriting(const StreamName& name, uint32_t number, const SoftwareVersion& version)
{
    if (number == 1 && !needsVersionRecord(m_defaults.find(name.service), version))
        return nullptr;
    // Lists are sorted by key, and the last record counts.
    auto digits = std::to_string(number);
    auto key = streamKeyOf(name) + std::string(digits.size() < 4 ? 4 - digits.size() : 0, '0') + digits;
    auto writing = std::make_shared<Writing>(m_context, std::move(key), version, m_timers.now());
    m_pending.push_back(writing);
    m_wakeUp.notify();
    return writing;
}

asio::awaitable<bool> StreamRecords::awaitWritten(WritingPointer writing, Duration timeout)
{
    auto until = m_timers.now() + timeout;
    while (!writing->isWritten && m_timers.now() < until)
        co_await writing->completed.waitFor(m_timers, until - m_timers.now());
    if (!writing->isWritten)
        m_metrics.count("chestnut_gateway_late_stream_records_total");
    co_return writing->isWritten;
}

void StreamRecords::remember(const StreamName& name, const SoftwareVersion& version)
{
    m_remembered[name] = { version, m_timers.now() };
}

bool StreamRecords::canWrite() const
{
    return !m_failingSince || m_timers.now() - *m_failingSince < failureTolerance;
}

void StreamRecords::rewrite()
{
    m_lease = {};
    for (const auto& writing : std::exchange(m_written, {}))
        m_pending.push_back(writing);
    m_wakeUp.notify();
}

asio::awaitable<void> StreamRecords::writePending()
{
    while (true) {
        if (m_pending.empty()) {
            co_await m_wakeUp.waitFor(m_timers, expiryPeriod);
            continue;
        }
        auto count = static_cast<std::ptrdiff_t>(std::min(m_pending.size(), maximumBatch));
        std::vector<WritingPointer> batch(m_pending.begin(), m_pending.begin() + count);
        m_pending.erase(m_pending.begin(), m_pending.begin() + count);
        auto written = co_await writeBatch(batch);
        m_metrics.count("chestnut_gateway_stream_record_writes_total", { { "result", written ? "ok" : "failed" } });
        if (written) {
            m_failingSince.reset();
            continue;
        }
        if (!m_failingSince) {
            m_failingSince = m_timers.now();
            m_log.write(EventId::StreamRecordNotStored, { { "records", batch.size() }, { "kind", describe(written.error().kind).name }, { "detail", written.error().detail } });
        }
        m_pending.insert(m_pending.begin(), batch.begin(), batch.end());
        std::erase_if(m_pending, [oldest = m_timers.now() - m_streamLifetime()](const WritingPointer& writing) { return writing->since < oldest; });
        co_await m_timers.sleep(retryPause);
    }
}

asio::awaitable<Result<void>> StreamRecords::writeBatch(const std::vector<WritingPointer>& batch)
{
    if (auto granted = co_await ensureLease(); !granted)
        co_return granted.error();
    std::vector<StoreWrite> writes;
    writes.reserve(batch.size());
    for (const auto& writing : batch)
        writes.push_back({ writing->key, encodeStreamVersion(writing->version), m_lease.id });
    auto revision = co_await m_store.transact({}, std::move(writes), {});
    if (!revision) {
        if (revision.error().kind == ErrorKind::NotFound)
            m_lease = {};
        co_return revision.error();
    }
    for (const auto& writing : batch) {
        writing->isWritten = true;
        writing->completed.notify();
        m_written.push_back(writing);
    }
    co_return Result<void>();
}

asio::awaitable<Result<void>> StreamRecords::ensureLease()
{
    auto isCurrent = m_lease.id != 0 && m_lease.epoch == m_store.epoch() && m_timers.now() - m_leaseGrantedAt < m_streamLifetime();
    if (isCurrent)
        co_return Result<void>();
    auto sentAt = m_timers.now();
    auto lease = co_await m_store.grantLease(m_streamLifetime() * leaseLifetimes);
    if (!lease)
        co_return lease.error();
    m_lease = *lease;
    m_leaseGrantedAt = sentAt;
    co_return Result<void>();
}

asio::awaitable<Result<StorePage>> StreamRecords::readWithRetries(std::string prefix)
{
    auto until = m_timers.now() + readPatience;
    while (true) {
        auto page = co_await m_store.list(prefix, {});
        if (page || m_timers.now() + retryPause >= until)
            co_return page;
        co_await m_timers.sleep(retryPause);
    }
}

asio::awaitable<Result<StreamVersion>> StreamRecords::find(StreamName name)
{
    if (auto remembered = m_remembered.find(name); remembered != m_remembered.end())
        co_return StreamVersion { remembered->second.version, VersionSource::Memory };
    auto page = co_await readWithRetries(streamKeyOf(name));
    if (!page)
        co_return unknownVersion("the version of the stream cannot be read: " + page.error().detail);
    if (page->items.empty())
        co_return co_await findDefault(std::move(name.service));
    auto version = decodeStreamVersion(page->items.back().value);
    if (!version)
        co_return unknownVersion(version.error().detail);
    co_return StreamVersion { std::move(*version), VersionSource::Record };
}

asio::awaitable<Result<StreamVersion>> StreamRecords::findDefault(ServiceId service)
{
    auto present = co_await m_defaults.findOrRead(std::move(service));
    if (!present)
        co_return unknownVersion("the default version cannot be read: " + present.error().detail);
    if (!*present)
        co_return unknownVersion("the service has no default version yet");
    co_return StreamVersion { (*present)->version, VersionSource::Default };
}

asio::awaitable<Result<StreamVersion>> StreamRecords::findOnlyVersion(ServiceId service)
{
    auto page = co_await readWithRetries(serviceKeyOf(service));
    if (!page)
        co_return unknownVersion("the records of streams cannot be read: " + page.error().detail);
    if (!page->items.empty())
        co_return unknownVersion("the client does not name its stream, and streams of several versions can be resumed");
    co_return co_await findDefault(std::move(service));
}

} // namespace chestnut
