#include "gateway/usage/UsageReporter.h"

#include "kernel/tasks/BackgroundTask.h"

#include <absl/cleanup/cleanup.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    /** Outside the prefix that all daemons watch, as only the holder reads these keys. */
    constexpr std::string_view fixedPrefix = "chestnutroute-usage/";
    constexpr Duration checkPeriod = std::chrono::milliseconds(200);
    /** Time after the end of a window until its counts are fixed. A daemon's counts arrive within a second of the window's end, with
        several repetitions before this time; the rest of the time until the report is due is left for its repetitions. */
    constexpr Duration closingTime = std::chrono::milliseconds(2500);
    /** Pause between two calls for one window. */
    constexpr Duration repetitionPause = std::chrono::milliseconds(300);
    /** Difference between the clocks of two holders, for windows that were fixed before a restore of the store. */
    constexpr Duration clockTolerance = std::chrono::seconds(1);
    /** Reports are remembered for this long after they were due, so that a process never computes one of them again. */
    constexpr Duration memoryTime = std::chrono::minutes(1);

} // namespace

std::string encodeFixedUsageReport(const FixedUsageReport& fixed)
{
    auto counts = json::object();
    for (const auto& [account, requests] : fixed.report.requests)
        counts[account.value()] = requests;
    return json { { "window", fixed.report.window }, { "epoch", fixed.epoch }, { "requests", std::move(counts) } }.dump();
}

Result<FixedUsageReport> decodeFixedUsageReport(std::string_view text)
{
    auto document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return makeError(ErrorKind::ProtocolError, "the fixed usage report is not a JSON object");
    try {
        FixedUsageReport fixed;
        fixed.report.window = document.at("window").get<uint64_t>();
        fixed.epoch = document.at("epoch").get<uint64_t>();
        for (const auto& [account, requests] : document.at("requests").items())
            fixed.report.requests[AccountId(account)] = requests.get<uint64_t>();
        return fixed;
    } catch (const json::exception& exception) {
        return makeError(ErrorKind::ProtocolError, exception.what());
    }
}

UsageReporter::UsageReporter(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, Metrics& metrics, const StoreMirror& mirror, TaskPlatform& platform, const FencedLease& lease, const UsageMeter& meter, const UsageLedger& ledger)
    : m_context(context)
    , m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_mirror(mirror)
    , m_platform(platform)
    , m_lease(lease)
    , m_meter(meter)
    , m_ledger(ledger)
{
}

void UsageReporter::start()
{
    m_epochTimer = m_timers.every(checkPeriod, [this] { observeEpoch(); });
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "usage_reports", [this] { return run(); });
}

asio::awaitable<void> UsageReporter::stop()
{
    m_isStopped = true;
    while (m_isCalling)
        co_await m_timers.sleep(checkPeriod / 10);
}

void UsageReporter::observeEpoch()
{
    if (!m_mirror.isListed() || m_epoch == m_store.epoch())
        return;
    m_epoch = m_store.epoch();
    m_epochSeenAt = m_meter.time();
}

asio::awaitable<void> UsageReporter::run()
{
    while (!m_isStopped) {
        co_await m_timers.sleep(checkPeriod);
        if (m_isStopped || !m_lease.mayAct(longestTaskCall))
            continue;
        if (m_holder != m_lease.fencingNumber() && !co_await takeOver())
            continue;
        co_await fixClosedWindows();
        co_await sendPending();
    }
}

asio::awaitable<Result<std::vector<StoreItem>>> UsageReporter::listFixed()
{
    std::vector<StoreItem> items;
    while (true) {
        auto page = co_await m_store.list(std::string(fixedPrefix), items.empty() ? "" : items.back().key);
        if (!page)
            co_return page.error();
        items.insert(items.end(), page->items.begin(), page->items.end());
        if (!page->hasMore || page->items.empty())
            co_return items;
    }
}

asio::awaitable<bool> UsageReporter::takeOver()
{
    auto number = m_lease.fencingNumber();
    auto items = co_await listFixed();
    observeEpoch();
    // What was fixed under this lease is in the list. A later holder reads its own one.
    if (!items || !m_lease.mayAct(longestTaskCall) || m_lease.fencingNumber() != number)
        co_return false;
    applyFixed(*items);
    m_holder = number;
    co_return true;
}

void UsageReporter::applyFixed(const std::vector<StoreItem>& items)
{
    auto former = m_nextWindow;
    m_slots.clear();
    std::optional<FixedUsageReport> newest;
    for (const auto& item : items) {
        auto fixed = decodeFixedUsageReport(item.value);
        if (!fixed) {
            // The key is used again for a later window.
            m_log.write(EventId::StoreEntryUnreadable, { { "key", item.key }, { "detail", fixed.error().detail } });
            m_slots[item.key] = { item.revision, 0 };
            continue;
        }
        m_slots[item.key] = { item.revision, fixed->report.window };
        m_reports.try_emplace(fixed->report.window, Report { fixed->report });
        if (!newest || fixed->report.window > newest->report.window)
            newest = std::move(*fixed);
    }
    if (newest) {
        m_hasBegun = true;
        m_nextWindow = std::max(m_nextWindow, newest->report.window + 1);
    }
    if (m_nextWindow != former)
        m_attemptedSlot.clear();
    auto isHistoryComplete = newest && newest->epoch == m_store.epoch();
    if (!isHistoryComplete)
        m_nextWindow = std::max(m_nextWindow, firstUnfixedWindow());
}

UsageWindow UsageReporter::firstUnfixedWindow() const
{
    // A restore can have removed what was fixed before it. Windows that were closed before this process saw the present epoch are
    // not reported, as a second report with other counts would break a rule, whereas a missing one is only late.
    return windowAt(m_meter.windows(), m_epochSeenAt + clockTolerance - closingTime);
}

std::string UsageReporter::slotForNextWindow() const
{
    // A write whose response was lost may still be applied. One to another key would then fix the window twice.
    if (!m_attemptedSlot.empty())
        return m_attemptedSlot;
    auto oldest = std::ranges::min_element(m_slots, {}, [](const auto& slot) { return slot.second.window; });
    if (oldest != m_slots.end() && m_meter.time() > dueTimeOf(m_meter.windows(), oldest->second.window))
        return oldest->first;
    return std::string(fixedPrefix) + std::to_string(m_slots.size());
}

asio::awaitable<void> UsageReporter::fixClosedWindows()
{
    const auto& windows = m_meter.windows();
    while (m_lease.mayAct(longestTaskCall) && m_holder == m_lease.fencingNumber()) {
        auto now = m_meter.time();
        auto oldestOpen = windowAt(windows, now - closingTime);
        if (m_nextWindow >= oldestOpen)
            co_return;
        auto isLate = now > dueTimeOf(windows, m_nextWindow);
        if (isLate) {
            auto next = std::max(m_nextWindow + 1, windowAt(windows, now - windows.dueAfter - windows.length));
            if (m_hasBegun) {
                m_log.write(EventId::UsageReportSkipped, { { "window", m_nextWindow }, { "windows", next - m_nextWindow } });
                countEvent("skipped");
            }
            m_nextWindow = next;
            m_attemptedSlot.clear();
            continue;
        }
        if (!m_hasBegun && totalsOf(m_ledger, m_nextWindow).empty()) {
            ++m_nextWindow;
            continue;
        }
        if (!co_await fixNextWindow())
            co_return;
    }
}

asio::awaitable<bool> UsageReporter::fixNextWindow()
{
    auto window = m_nextWindow;
    FixedUsageReport fixed { { window, totalsOf(m_ledger, window) }, m_store.epoch() };
    auto key = slotForNextWindow();
    m_attemptedSlot = key;
    auto slot = m_slots.find(key);
    std::vector<StoreCondition> conditions { { m_lease.key(), m_lease.acquiredAt() }, { key, slot == m_slots.end() ? 0 : slot->second.revision } };
    std::vector<StoreWrite> writes { { key, encodeFixedUsageReport(fixed), 0 } };
    auto revision = co_await m_store.transact(std::move(conditions), std::move(writes), {});
    if (!revision) {
        m_log.write(EventId::UsageNotFixed, { { "window", window }, { "kind", describe(revision.error().kind).name }, { "detail", revision.error().detail } });
        // The counts may be fixed although the response was lost, or another holder may have fixed them.
        if (revision.error().kind != ErrorKind::PlatformUnavailable)
            m_holder = 0;
        co_return false;
    }
    if (fixed.epoch != m_store.epoch()) {
        m_holder = 0;
        co_return false;
    }
    m_slots[key] = { *revision, window };
    m_reports[window] = { std::move(fixed.report) };
    m_nextWindow = window + 1;
    m_attemptedSlot.clear();
    m_hasBegun = true;
    co_return true;
}

asio::awaitable<void> UsageReporter::sendPending()
{
    auto now = m_meter.time();
    const auto& windows = m_meter.windows();
    std::erase_if(m_reports, [&](const auto& entry) { return now > dueTimeOf(windows, entry.first) + memoryTime; });
    std::vector<UsageWindow> pending;
    for (const auto& [window, report] : m_reports) {
        if (report.state == ReportState::Pending)
            pending.push_back(window);
    }
    for (auto window : pending) {
        auto& report = m_reports.at(window);
        if (m_meter.time() > dueTimeOf(windows, window)) {
            report.state = ReportState::GivenUp;
            // A successor reads reports that were acknowledged before its time.
            if (report.calls > 0) {
                m_log.write(EventId::UsageReportLate, { { "window", window }, { "calls", report.calls } });
                countEvent("late");
            }
        } else if (m_timers.now() >= report.nextCallAt)
            co_await send(report);
    }
}

asio::awaitable<void> UsageReporter::send(Report& report)
{
    if (m_isStopped || !m_lease.mayAct(longestTaskCall) || m_holder != m_lease.fencingNumber())
        co_return;
    m_isCalling = true;
    absl::Cleanup ended = [this] { m_isCalling = false; };
    ++report.calls;
    auto result = co_await m_platform.reportUsage(report.report, { m_lease.self(), m_holder });
    recordResult(report, result);
}

void UsageReporter::recordResult(Report& report, const Result<TaskResult>& result)
{
    auto window = report.report.window;
    auto afterEnd = (m_meter.time() - endOf(m_meter.windows(), window)).count() / 1000;
    report.nextCallAt = m_timers.now() + repetitionPause;
    if (result && *result == TaskResult::Done) {
        report.state = ReportState::Done;
        m_log.write(EventId::UsageReportSent, { { "window", window }, { "accounts", report.report.requests.size() }, { "calls", report.calls }, { "fencing", m_holder }, { "after_end_ms", afterEnd } });
        countEvent("sent");
        return;
    }
    auto isRefused = result && *result == TaskResult::Refused;
    if (isRefused)
        report.state = ReportState::GivenUp;
    auto detail = !result ? result.error().detail : isRefused ? "refused"
                                                              : "beyond the rate";
    m_log.write(isRefused ? EventId::UsageReportRefused : EventId::UsageReportRepeated, { { "window", window }, { "calls", report.calls }, { "after_end_ms", afterEnd }, { "detail", detail } });
    countEvent(isRefused ? "refused" : "repeated");
}

void UsageReporter::countEvent(std::string_view result)
{
    m_metrics.count("chestnut_usage_reports_total", { { "result", std::string(result) } });
}

} // namespace chestnut
