#include "gateway/usage/UsageExchange.h"

#include "decisions/leases/StoreFencing.h"

#include <algorithm>
#include <random>

namespace chestnut {

namespace {

    constexpr Duration tickPeriod = std::chrono::milliseconds(125);
    /** With the repetition of a lost message, a killed daemon loses the counts of its last second. */
    constexpr Duration sendPeriod = std::chrono::milliseconds(700);
    /** A message without an acknowledgement is repeated after this time; links between zones take a few milliseconds. */
    constexpr Duration repetitionPeriod = std::chrono::milliseconds(250);
    /** After as many repetitions the holder has probably ended, and counts are sent at the usual period. */
    constexpr uint32_t quickRepetitions = 8;
    /** A late acknowledgement of an older message is ignored. */
    constexpr Duration acknowledgementTime = std::chrono::seconds(3);
    /** A new holder announces itself to the daemons that have not answered, first quickly, as the windows before are due. */
    constexpr Duration announcementPeriod = std::chrono::milliseconds(500);
    constexpr uint32_t quickAnnouncements = 10;
    constexpr Duration lateAnnouncementPeriod = std::chrono::seconds(10);
    constexpr Duration flushCheckPeriod = std::chrono::milliseconds(20);
    /** Daemons whose clocks differ by no more than this are understood. */
    constexpr UsageWindow windowsAhead = 1;

} // namespace

UsageExchange::UsageExchange(VersionedStore& store, TimerService& timers, Log& log, Metrics& metrics, StoreMirror& mirror, DaemonDirectory& directory, FencedLease& lease, UsageMeter& meter, Send send)
    : m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_directory(directory)
    , m_lease(lease)
    , m_meter(meter)
    , m_send(std::move(send))
    , m_incarnation(std::random_device {}())
{
    auto onItem = [this](const StoreItem& item) { recordHolder(DaemonId(item.value), fencingNumberAt(m_store.epoch(), item.createdAt)); };
    mirror.subscribe(m_lease.key(), { onItem, [](const std::string&) {} });
}

void UsageExchange::start()
{
    m_timer = m_timers.every(tickPeriod, [this] { update(); });
}

void UsageExchange::recordHolder(const DaemonId& daemon, FencingNumber number)
{
    if (number <= m_holderNumber)
        return;
    m_holder = daemon;
    m_holderNumber = number;
    m_sent.clear();
    m_sentAt = {};
    m_repetitions = 0;
    forgetAcknowledgements(m_meter.counts());
}

bool UsageExchange::isInRange(UsageWindow window) const
{
    auto now = m_meter.time();
    return window <= windowAt(m_meter.windows(), now) + windowsAhead && now <= dueTimeOf(m_meter.windows(), window);
}

void UsageExchange::update()
{
    m_meter.update();
    while (!m_ledger.windows.empty() && !isInRange(m_ledger.windows.begin()->first))
        m_ledger.windows.erase(m_ledger.windows.begin());
    if (m_lease.isHeld())
        updateAsHolder();
    else
        sendIfDue();
}

void UsageExchange::updateAsHolder()
{
    if (std::exchange(m_ledgerOf, m_lease.fencingNumber()) != m_lease.fencingNumber()) {
        m_answered.clear();
        m_announcements = 0;
        m_announcedAt = {};
        recordHolder(m_lease.self(), m_lease.fencingNumber());
    }
    auto entries = unacknowledged(m_meter.counts());
    merge(m_ledger, { m_lease.self(), m_incarnation }, entries);
    acknowledge(m_meter.counts(), entries);
    auto period = m_announcements < quickAnnouncements ? announcementPeriod : lateAnnouncementPeriod;
    if (m_timers.now() - m_announcedAt >= period)
        announce();
}

void UsageExchange::announce()
{
    m_announcedAt = m_timers.now();
    ++m_announcements;
    auto bytes = encodeUsageMessage(UsageAnnouncement { m_lease.self(), m_lease.fencingNumber() });
    for (const auto& view : m_directory.others()) {
        if (!m_answered.contains(view.record.id))
            m_send(view.record.peerEndpoint, bytes);
    }
}

void UsageExchange::sendIfDue()
{
    auto hasCounts = !unacknowledged(m_meter.counts()).empty();
    if (!hasCounts || m_holder.empty())
        return;
    auto now = m_timers.now();
    auto isNewWindow = windowAt(m_meter.windows(), m_meter.time()) != m_sentInWindow;
    auto isUnanswered = !m_sent.empty() && m_repetitions < quickRepetitions;
    auto period = isNewWindow ? Duration::zero() : isUnanswered ? repetitionPeriod
                                                                : sendPeriod;
    if (now - m_sentAt >= period)
        sendCounts();
}

void UsageExchange::sendCounts()
{
    const auto* holder = m_directory.find(m_holder);
    if (!holder)
        return;
    auto endpoint = holder->peerEndpoint;
    auto now = m_timers.now();
    m_sentAt = now;
    m_sentInWindow = windowAt(m_meter.windows(), m_meter.time());
    m_repetitions = m_sent.empty() ? 0 : m_repetitions + 1;
    std::erase_if(m_sent, [now](const auto& message) { return now - message.second.sentAt > acknowledgementTime; });
    std::vector<UsageEntry> entries;
    size_t bytes = 0;
    for (auto& entry : unacknowledged(m_meter.counts())) {
        if (bytes + encodedSizeOf(entry) > maximumUsageEntryBytes && !entries.empty()) {
            sendMessage(endpoint, std::exchange(entries, {}));
            bytes = 0;
        }
        bytes += encodedSizeOf(entry);
        entries.push_back(std::move(entry));
    }
    sendMessage(endpoint, std::move(entries));
}

void UsageExchange::sendMessage(const Endpoint& endpoint, std::vector<UsageEntry> entries)
{
    UsageCountsMessage message { { m_lease.self(), m_incarnation }, m_holderNumber, ++m_lastSequence, entries };
    auto bytes = encodeUsageMessage(message);
    m_metrics.count("chestnut_usage_message_bytes_total", {}, static_cast<double>(bytes.size()));
    m_send(endpoint, bytes);
    if (!entries.empty())
        m_sent[m_lastSequence] = { std::move(entries), m_timers.now() };
}

void UsageExchange::receive(std::string_view datagram)
{
    auto message = decodeUsageMessage(datagram);
    if (!message) {
        m_log.write(EventId::PeerMessageRefused, { { "detail", message.error().detail } });
        return;
    }
    std::visit([this](const auto& content) { handle(content); }, *message);
}

void UsageExchange::handle(const UsageCountsMessage& message)
{
    // The sender keeps its counts for the next holder.
    if (!m_lease.isHeld())
        return;
    const auto* sender = m_directory.find(message.source.daemon);
    if (!sender)
        return;
    // A sender that knows another holder ignores the acknowledgement and needs the announcement.
    if (message.holder == m_lease.fencingNumber())
        m_answered.insert(message.source.daemon);
    auto entries = message.entries;
    std::erase_if(entries, [this](const UsageEntry& entry) { return !isInRange(entry.window); });
    merge(m_ledger, message.source, entries);
    if (!message.entries.empty())
        m_send(sender->peerEndpoint, encodeUsageMessage(UsageAcknowledgement { m_lease.fencingNumber(), message.source.incarnation, message.sequence }));
}

void UsageExchange::handle(const UsageAcknowledgement& message)
{
    auto isCurrent = message.holder == m_holderNumber && message.incarnation == m_incarnation;
    auto sent = m_sent.find(message.sequence);
    if (!isCurrent || sent == m_sent.end())
        return;
    acknowledge(m_meter.counts(), sent->second.entries);
    // What an earlier message contained and this one did not is sent again with the next counts.
    m_sent.erase(m_sent.begin(), std::next(sent));
    m_repetitions = 0;
}

void UsageExchange::handle(const UsageAnnouncement& message)
{
    recordHolder(message.daemon, message.holder);
    if (message.holder != m_holderNumber)
        return;
    // Also without counts, so that the holder stops announcing itself to this daemon.
    sendCounts();
}

asio::awaitable<void> UsageExchange::flush(Duration longestWait)
{
    auto end = m_timers.now() + longestWait;
    m_meter.update();
    if (!m_lease.isHeld() && !m_holder.empty() && !unacknowledged(m_meter.counts()).empty())
        sendCounts();
    while (!m_lease.isHeld() && !unacknowledged(m_meter.counts()).empty() && m_timers.now() < end)
        co_await m_timers.sleep(flushCheckPeriod);
}

} // namespace chestnut
