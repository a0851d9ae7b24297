#include "soak/ReplicaStandin.h"

#include "base/digest/Digest.h"
#include "platform/Names.h"
#include "soak/StandinResponses.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut::soak {

namespace names = platform::names;
using nlohmann::json;

namespace {

    constexpr uint32_t slots = 12;
    constexpr uint32_t queueLength = 24;
    constexpr Duration heartbeatPeriod = std::chrono::milliseconds(1200);
    constexpr Duration serviceAfterDrain = std::chrono::milliseconds(3500);
    /** After this time without heartbeats an entry expires: three periods. */
    constexpr Duration entryExpiryTime = heartbeatPeriod * 3;
    constexpr Duration stageChangeTime = std::chrono::milliseconds(300);
    /** So that one response meets a single silence. */
    constexpr Duration timeBetweenSilences = std::chrono::seconds(1);
    constexpr Duration prefillTime = std::chrono::milliseconds(8);
    constexpr Duration eventInterval = std::chrono::milliseconds(25);
    /** Bounds of the time for which a shedding replica refuses a daemon, in tenths of a second. */
    constexpr int shortestPauseTenths = 7;
    constexpr int longestPauseTenths = 30;
    constexpr int minimumWorkMilliseconds = 5;
    constexpr int maximumWorkMilliseconds = 60;

    HttpResponse withRequestId(const HttpRequest& request, HttpResponse response)
    {
        response.headers.set(names::requestId, request.headers.value(names::requestId));
        return response;
    }

    /** Counts a running request while it exists. */
    class RunningRequest {
    public:
        explicit RunningRequest(uint32_t& count)
            : m_count(count)
        {
            ++m_count;
        }
        RunningRequest(const RunningRequest&) = delete;
        RunningRequest& operator=(const RunningRequest&) = delete;
        ~RunningRequest() { --m_count; }

    private:
        uint32_t& m_count;
    };

} // namespace

std::string expectedBody(const std::string& requestId)
{
    constexpr int copies = 40;
    std::string body;
    for (int i = 0; i < copies; ++i)
        body += requestId + ":";
    return body;
}

ReplicaId sealedBy(const HttpHeaders& headers)
{
    auto seal = headers.value(names::seal);
    return ReplicaId(std::string(seal.substr(seal.find('@') + 1)));
}

std::string streamOf(const std::string& requestId)
{
    return requestId.substr(0, requestId.find('.'));
}

std::string expectedEventData(const std::string& requestId, uint64_t number)
{
    return streamOf(requestId) + "/" + std::to_string(number);
}

uint64_t expectedEventCount(const std::string& requestId)
{
    constexpr uint64_t fewest = 2;
    constexpr uint64_t variety = 40;
    return fewest + hash64(streamOf(requestId)) % variety;
}

ReplicaStandin::ReplicaStandin(asio::io_context& context, TimerService& timers, Log& log, PlatformStore& store, Ledger& ledger, NoticeChecks& notices, ReplicaPlacement placement, LinkPointer link, uint32_t seed)
    : m_context(context)
    , m_timers(timers)
    , m_store(store)
    , m_ledger(ledger)
    , m_notices(notices)
    , m_placement(std::move(placement))
    , m_link(std::move(link))
    , m_random(seed)
    , m_nextVersion(m_placement.version)
    , m_server(
          context, log, { "127.0.0.1", m_placement.serverPort }, {}, [this](HttpRequest request, HttpResponseWriter& writer) { return handle(std::move(request), writer); }, makeErrorResponse)
{
}

void ReplicaStandin::start()
{
    m_server.start();
    restart();
    m_heartbeatTimer = m_timers.every(heartbeatPeriod, [this] {
        if (!m_isDown && !m_drainingSince)
            writeEntry();
    });
}

void ReplicaStandin::restart()
{
    ++m_starts;
    m_placement.version = m_nextVersion;
    m_id = ReplicaId("i-" + std::to_string(m_placement.serverPort) + "-" + std::to_string(m_starts));
    m_startedAt = (m_timers.wallClock().count() * 1000) + std::chrono::duration_cast<std::chrono::milliseconds>(clockError).count();
    m_heartbeat = 0;
    m_acceptedOrders = 0;
    m_highestFencingNumber = 0;
    m_holder.clear();
    m_isChangingStage = false;
    m_isDown = false;
    m_drainingSince.reset();
    m_behavior = {};
    m_shedsUntil = {};
    m_stopTimer.cancel();
    m_link->setFault(LinkFault::None);
    m_link->listen();
    writeEntry();
}

std::string ReplicaStandin::key() const
{
    return std::string(names::replicaPrefix) + m_id.value();
}

void ReplicaStandin::writeEntry()
{
    if (m_store.faults.isDown || m_store.faults.isUnresponsive)
        return;
    json entry {
        { "service", m_placement.service },
        { "address", formatEndpoint(m_link->endpoint()) },
        { "zone", m_placement.zone },
        { "version", m_placement.version },
        { "slots", slots },
        { "cold_left_ms", 0 },
        { "state", m_drainingSince ? "draining" : "ready" },
        { "seq_no", ++m_heartbeat },
        { "born", m_startedAt },
    };
    if (isEngine())
        entry["stage"] = nameOf(m_placement.stage);
    m_store.put(key(), entry.dump());
}

void ReplicaStandin::leaveDecodeStage()
{
    if (m_placement.stage == EngineStage::Decode && !m_isChangingStage && !isLeavingOrDown())
        asio::co_spawn(m_context, changeStage(EngineStage::Prefill), asio::detached);
}

bool ReplicaStandin::servesDecodes() const
{
    if (m_placement.stage != EngineStage::Decode || m_isChangingStage || isLeavingOrDown())
        return false;
    return !m_store.keysBelow(key()).empty();
}

void ReplicaStandin::renewEntry()
{
    if (!m_isDown)
        writeEntry();
}

void ReplicaStandin::drain(std::function<bool(const std::string&, TimePoint)> isStableSince)
{
    m_isStableSince = std::move(isStableSince);
    m_drainingSince = m_timers.now();
    writeEntry();
    m_stopTimer = m_timers.once(serviceAfterDrain, [this] {
        stop();
        m_store.erase(key());
    });
}

void ReplicaStandin::crash()
{
    stop();
    m_expiryTimer = m_timers.once(entryExpiryTime, [this, expiredKey = key()] { m_store.erase(expiredKey); });
}

void ReplicaStandin::beSilent(Duration duration, bool startsInsideBytes)
{
    if (!isLeavingOrDown() && m_timers.now() > m_behavior.silence.end + timeBetweenSilences)
        m_behavior.silence = { m_timers.now() + duration, startsInsideBytes };
}

void ReplicaStandin::shed(Duration duration)
{
    m_shedsUntil = m_timers.now() + duration;
}

void ReplicaStandin::refuse(Duration duration)
{
    m_refusesUntil = m_timers.now() + duration;
}

void ReplicaStandin::stop()
{
    ++m_starts;
    m_isDown = true;
    if (faults.resetsWhenDown)
        m_link->setFault(LinkFault::ResetNew);
    else
        m_link->stopListening();
    m_link->resetAll();
}

asio::awaitable<void> ReplicaStandin::handle(HttpRequest request, HttpResponseWriter& connection)
{
    StandinWriter writer(connection, m_timers, m_notices.limits(), m_id, m_behavior);
    auto expected = request.headers.value(names::expectedReplica);
    if (!expected.empty() && expected != m_id.value()) {
        (void)co_await writer.send(withRequestId(request, { 421, { { std::string(names::respondingReplica), m_id.value() } }, {} }));
        co_return;
    }
    if (request.path().starts_with("/v1/")) {
        co_await handleControl(request, writer);
        co_return;
    }
    co_await run(request, writer);
}

asio::awaitable<void> ReplicaStandin::handleControl(const HttpRequest& request, HttpResponseWriter& writer)
{
    if (request.path() == "/v1/report") {
        (void)co_await writer.send(jsonResponse(200, { { "stage", nameOf(m_placement.stage) }, { "busy", m_isChangingStage }, { "seq_no", m_acceptedOrders }, { "waiting", 0 }, { "running", m_running } }));
        co_return;
    }
    if (request.path() == "/v1/order") {
        auto order = json::parse(request.body, nullptr, false);
        (void)co_await writer.send(order.is_object() ? handleOrder(order) : jsonResponse(400, json::object()));
        co_return;
    }
    (void)co_await writer.send({ 200, {}, {} });
}

HttpResponse ReplicaStandin::handleOrder(const json& order)
{
    auto holder = order.at("holder").get<std::string>();
    auto fencing = order.at("fencing_token").get<uint64_t>();
    m_notices.checkArrival(holder, m_id);
    if (fencing < m_highestFencingNumber)
        m_ledger.reportViolation("ONE", m_id.value() + " received an order with fencing number " + std::to_string(fencing) + " after " + std::to_string(m_highestFencingNumber));
    if (fencing == m_highestFencingNumber && holder != m_holder)
        m_ledger.reportViolation("ONE", m_id.value() + " received orders of " + holder + " and " + m_holder + " with the same fencing number " + std::to_string(fencing));
    m_highestFencingNumber = std::max(m_highestFencingNumber, fencing);
    m_holder = holder;
    if (m_isChangingStage || (order.contains("expected") && order["expected"].get<uint64_t>() != m_acceptedOrders))
        return jsonResponse(409, json::object());
    auto stage = order.at("stage").get<std::string>() == "prefill" ? EngineStage::Prefill : EngineStage::Decode;
    if (stage == m_placement.stage)
        return jsonResponse(200, json::object());
    ++m_acceptedOrders;
    asio::co_spawn(m_context, changeStage(stage), asio::detached);
    return jsonResponse(202, json::object());
}

asio::awaitable<void> ReplicaStandin::changeStage(EngineStage stage)
{
    auto start = m_starts;
    m_isChangingStage = true;
    while (m_running > 0)
        co_await m_timers.sleep(eventInterval);
    co_await m_timers.sleep(stageChangeTime);
    if (start != m_starts)
        co_return;
    m_isChangingStage = false;
    m_placement.stage = stage;
    writeEntry();
}

void ReplicaStandin::checkDrain(const HttpRequest& request, const std::string& id)
{
    std::string daemon(request.headers.value(daemonHeader));
    if (!m_drainingSince || m_timers.now() - *m_drainingSince <= drainTime || !m_isStableSince(daemon, *m_drainingSince))
        return;
    m_ledger.reportViolation("DRAIN", id + " reached " + m_id.value() + " from " + daemon + " " + std::to_string(toSeconds(m_timers.now() - *m_drainingSince)) + " s after the replica announced its departure");
}

void ReplicaStandin::checkHandle(const HttpRequest& request, const std::string& id)
{
    auto source = request.headers.value(names::cacheSource);
    if (!source.empty() && source.find("/" + id + "-") == std::string_view::npos)
        m_ledger.reportViolation("MIXED", id + " continues from the handle of another request: " + std::string(source));
}

HttpHeaders ReplicaStandin::sealedHeaders(const std::string& id)
{
    if (m_behavior.announcesDeparture)
        m_notices.recordLeaving(RequestId(id), m_id);
    return { { std::string(names::requestId), id }, { std::string(names::seal), "seal-" + toHex(digestOf(id)) + "@" + m_id.value() } };
}

asio::awaitable<void> ReplicaStandin::refuseForTime(HttpResponseWriter& writer, const std::string& daemon, const std::string& id)
{
    auto tenths = std::uniform_int_distribution<int>(shortestPauseTenths, longestPauseTenths)(m_random);
    HttpHeaders headers;
    headers.set(names::requestId, id);
    headers.set(names::notExecuted, "1");
    headers.set("Retry-After", std::to_string(tenths / 10) + "." + std::to_string(tenths % 10));
    if (co_await writer.send({ 503, std::move(headers), {} }))
        m_notices.recordShedding(daemon, m_id, std::chrono::milliseconds(tenths * 100));
}

asio::awaitable<void> ReplicaStandin::run(const HttpRequest& request, HttpResponseWriter& writer)
{
    std::string id(request.headers.value(names::requestId));
    std::string daemon(request.headers.value(daemonHeader));
    checkDrain(request, id);
    m_notices.checkRequest(daemon, RequestId(id), m_id);
    if (m_timers.now() < m_shedsUntil) {
        co_await refuseForTime(writer, daemon, id);
        co_return;
    }
    auto isRefused = faults.refuseShare > 0 && chance(faults.refuseShare);
    if (isRefused || m_timers.now() < m_refusesUntil || m_isChangingStage || m_running >= slots + queueLength) {
        (void)co_await writer.send({ 503, { { std::string(names::requestId), id }, { std::string(names::notExecuted), "1" } }, {} });
        co_return;
    }
    auto isPrefill = request.headers.value(names::stage) == "prefill";
    if (isEngine() && isPrefill != (m_placement.stage == EngineStage::Prefill)) {
        (void)co_await writer.send(withRequestId(request, { 421, { { std::string(names::respondingReplica), m_id.value() } }, {} }));
        co_return;
    }
    if (isPrefill) {
        co_await m_timers.sleep(prefillTime);
        (void)co_await writer.send(withRequestId(request, jsonResponse(200, { { "kv_handle", id + "-" + std::to_string(++m_handles) }, { "tokens", 2000 }, { "version", 1 } })));
        co_return;
    }
    checkHandle(request, id);
    RunningRequest running(m_running);
    m_ledger.recordExecution(RequestId(id), m_id);
    if (chance(faults.failShare)) {
        (void)co_await writer.send({ 500, sealedHeaders(id), "failed" });
        co_return;
    }
    if (isEngine())
        co_await runStream(request, writer, id);
    else
        co_await runPlain(writer, id);
}

asio::awaitable<void> ReplicaStandin::runPlain(HttpResponseWriter& writer, const std::string& id)
{
    auto start = m_starts;
    co_await m_timers.sleep(std::chrono::milliseconds(std::uniform_int_distribution<int>(minimumWorkMilliseconds, maximumWorkMilliseconds)(m_random)));
    if (start != m_starts) {
        writer.abort();
        co_return;
    }
    auto body = expectedBody(id);
    if (!chance(faults.truncateShare)) {
        (void)co_await writer.send({ 200, sealedHeaders(id), std::move(body) });
        co_return;
    }
    if (co_await writer.begin(200, sealedHeaders(id)))
        (void)co_await writer.write(body.substr(0, body.size() / 2));
    writer.abort();
}

asio::awaitable<void> ReplicaStandin::runStream(const HttpRequest& request, HttpResponseWriter& writer, const std::string& id)
{
    auto start = m_starts;
    auto headers = sealedHeaders(id);
    headers.set("Content-Type", "text/event-stream");
    auto resumed = request.headers.value(names::lastEventId);
    auto next = resumed.empty() ? 1 : std::stoull(std::string(resumed)) + 1;
    auto isTruncated = chance(faults.truncateShare);
    auto last = expectedEventCount(id);
    // A resumed stream that is cut off has gone on for at least one event.
    auto lastWhole = m_placement.namesVersion ? (next + last) / 2 : last / 2;
    auto suffix = m_placement.namesVersion ? versionSeparator + m_placement.version : std::string();
    if (!co_await writer.begin(200, std::move(headers)))
        co_return;
    for (auto number = next; number <= last; ++number) {
        co_await m_timers.sleep(eventInterval);
        auto text = "id: " + std::to_string(number) + "\ndata: " + expectedEventData(id, number) + suffix + "\n\n";
        auto isCutOff = isTruncated && number > lastWhole;
        auto sent = co_await writer.write(isCutOff ? text.substr(0, text.size() / 2) : text);
        if (start != m_starts || isCutOff || !sent) {
            writer.abort();
            co_return;
        }
    }
    (void)co_await writer.finish();
}

} // namespace chestnut::soak
