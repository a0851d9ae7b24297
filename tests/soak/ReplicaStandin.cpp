#include "soak/ReplicaStandin.h"

#include "base/digest/Digest.h"
#include "platform/Names.h"
#include "soak/StandinAnswers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut::soak {

namespace names = platform::names;
using nlohmann::json;

namespace {

    constexpr uint32_t slots = 12;
    constexpr uint32_t queueLength = 24;
    constexpr Duration heartbeatPeriod = std::chrono::milliseconds(1200);
    /** A replica goes on serving so long after it announced its leaving; the platform says drain_ms and a little longer. */
    constexpr Duration drainTime = std::chrono::milliseconds(2000);
    constexpr Duration serviceAfterDrain = std::chrono::milliseconds(3500);
    /** Of an entry whose replica is silent: three heartbeats. */
    constexpr Duration lapseTime = heartbeatPeriod * 3;
    constexpr Duration stageChangeTime = std::chrono::milliseconds(300);
    constexpr Duration prefillTime = std::chrono::milliseconds(8);
    constexpr Duration eventPause = std::chrono::milliseconds(25);
    constexpr int shortestWork = 5; /**< milliseconds */
    constexpr int longestWork = 60;

    HttpHeaders sealedHeaders(const std::string& id)
    {
        return { { std::string(names::requestId), id }, { std::string(names::seal), "seal-" + toHex(digestOf(id)) } };
    }

    /** Counts a running request. */
    class Running {
    public:
        explicit Running(uint32_t& count)
            : m_count(count)
        {
            ++m_count;
        }
        Running(const Running&) = delete;
        Running& operator=(const Running&) = delete;
        ~Running() { --m_count; }

    private:
        uint32_t& m_count;
    };

} // namespace

std::string bodyFor(const std::string& requestId)
{
    constexpr int copies = 40;
    std::string body;
    for (int i = 0; i < copies; ++i)
        body += requestId + ":";
    return body;
}

std::string eventFor(const std::string& requestId, uint64_t number)
{
    return requestId + "/" + std::to_string(number);
}

uint64_t eventsFor(const std::string& requestId)
{
    constexpr uint64_t fewest = 2;
    constexpr uint64_t variety = 40;
    return fewest + hash64(requestId) % variety;
}

ReplicaStandin::ReplicaStandin(asio::io_context& context, TimerService& timers, Log& log, PlatformStore& store, Ledger& ledger, ReplicaPlace place, LinkPointer link, uint32_t seed)
    : m_context(context)
    , m_timers(timers)
    , m_store(store)
    , m_ledger(ledger)
    , m_place(std::move(place))
    , m_link(std::move(link))
    , m_random(seed)
    , m_server(
          context, log, { "127.0.0.1", m_place.serverPort }, {}, [this](HttpRequest request, HttpResponseWriter& writer) { return answer(std::move(request), writer); }, makeErrorResponse)
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
    m_id = ReplicaId("i-" + std::to_string(m_place.serverPort) + "-" + std::to_string(m_starts));
    m_startedAt = (m_timers.wallClock().count() * 1000) + std::chrono::duration_cast<std::chrono::milliseconds>(clockError).count();
    m_heartbeat = 0;
    m_acceptedOrders = 0;
    m_highestFencing = 0;
    m_holder.clear();
    m_isBusy = false;
    m_isDown = false;
    m_drainingSince.reset();
    m_endTimer.cancel();
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
    if (m_store.faults.isDown || m_store.faults.isSilent)
        return;
    json entry {
        { "service", m_place.service },
        { "address", formatEndpoint(m_link->endpoint()) },
        { "zone", m_place.zone },
        { "slots", slots },
        { "state", m_drainingSince ? "draining" : "ready" },
        { "seq_no", ++m_heartbeat },
        { "born", m_startedAt },
    };
    if (m_place.stage != EngineStage::None)
        entry["stage"] = nameOf(m_place.stage);
    m_store.put(key(), entry.dump());
}

void ReplicaStandin::drain(std::function<bool(const std::string&, TimePoint)> isInTouch)
{
    m_isInTouch = std::move(isInTouch);
    m_drainingSince = m_timers.now();
    writeEntry();
    m_endTimer = m_timers.once(serviceAfterDrain, [this] {
        end();
        m_store.erase(key());
    });
}

void ReplicaStandin::crash()
{
    end();
    m_lapseTimer = m_timers.once(lapseTime, [this, lapsing = key()] { m_store.erase(lapsing); });
}

void ReplicaStandin::end()
{
    ++m_starts;
    m_isDown = true;
    if (faults.resetsWhenDown)
        m_link->setFault(LinkFault::ResetNew);
    else
        m_link->stopListening();
    m_link->resetAll();
}

asio::awaitable<void> ReplicaStandin::answer(HttpRequest request, HttpResponseWriter& writer)
{
    auto expected = request.headers.value(names::expectedReplica);
    if (!expected.empty() && expected != m_id.value()) {
        (void)co_await writer.send({ 421, { { std::string(names::answeringReplica), m_id.value() } }, {} });
        co_return;
    }
    if (request.path().starts_with("/v1/")) {
        co_await answerControl(request, writer);
        co_return;
    }
    co_await run(request, writer);
}

asio::awaitable<void> ReplicaStandin::answerControl(const HttpRequest& request, HttpResponseWriter& writer)
{
    if (request.path() == "/v1/report") {
        (void)co_await writer.send(jsonResponse(200, { { "stage", nameOf(m_place.stage) }, { "busy", m_isBusy }, { "seq_no", m_acceptedOrders }, { "waiting", 0 }, { "running", m_running } }));
        co_return;
    }
    if (request.path() == "/v1/order") {
        auto order = json::parse(request.body, nullptr, false);
        (void)co_await writer.send(order.is_object() ? takeOrder(order) : jsonResponse(400, json::object()));
        co_return;
    }
    (void)co_await writer.send({ 200, {}, {} });
}

HttpResponse ReplicaStandin::takeOrder(const json& order)
{
    auto holder = order.at("holder").get<std::string>();
    auto fencing = order.at("fencing_token").get<uint64_t>();
    if (fencing < m_highestFencing)
        m_ledger.violate("ONE", m_id.value() + " got an order with fencing number " + std::to_string(fencing) + " after " + std::to_string(m_highestFencing));
    if (fencing == m_highestFencing && holder != m_holder)
        m_ledger.violate("ONE", m_id.value() + " got orders of " + holder + " and " + m_holder + " with fencing number " + std::to_string(fencing));
    m_highestFencing = std::max(m_highestFencing, fencing);
    m_holder = holder;
    if (m_isBusy || (order.contains("expected") && order["expected"].get<uint64_t>() != m_acceptedOrders))
        return jsonResponse(409, json::object());
    auto stage = order.at("stage").get<std::string>() == "prefill" ? EngineStage::Prefill : EngineStage::Decode;
    if (stage == m_place.stage)
        return jsonResponse(200, json::object());
    ++m_acceptedOrders;
    asio::co_spawn(m_context, changeStage(stage), asio::detached);
    return jsonResponse(202, json::object());
}

asio::awaitable<void> ReplicaStandin::changeStage(EngineStage stage)
{
    auto start = m_starts;
    m_isBusy = true;
    while (m_running > 0)
        co_await m_timers.sleep(eventPause);
    co_await m_timers.sleep(stageChangeTime);
    if (start != m_starts)
        co_return;
    m_isBusy = false;
    m_place.stage = stage;
    writeEntry();
}

void ReplicaStandin::checkDrain(const HttpRequest& request, const std::string& id)
{
    std::string daemon(request.headers.value(daemonHeader));
    if (!m_drainingSince || m_timers.now() - *m_drainingSince <= drainTime || !m_isInTouch(daemon, *m_drainingSince))
        return;
    m_ledger.violate("DRAIN", id + " reached " + m_id.value() + " from " + daemon + " " + std::to_string(toSeconds(m_timers.now() - *m_drainingSince)) + " s after it announced its leaving");
}

void ReplicaStandin::checkHandle(const HttpRequest& request, const std::string& id)
{
    auto source = request.headers.value(names::cacheSource);
    if (!source.empty() && source.find("/" + id + "-") == std::string_view::npos)
        m_ledger.violate("MIXED", id + " goes on from the handle " + std::string(source));
}

asio::awaitable<void> ReplicaStandin::run(const HttpRequest& request, HttpResponseWriter& writer)
{
    std::string id(request.headers.value(names::requestId));
    checkDrain(request, id);
    if (m_isBusy || m_running >= slots + queueLength) {
        (void)co_await writer.send({ 503, { { std::string(names::notExecuted), "1" } }, {} });
        co_return;
    }
    auto readsPrompt = request.headers.value(names::stage) == "prefill";
    auto isEngine = m_place.stage != EngineStage::None;
    if (isEngine && readsPrompt != (m_place.stage == EngineStage::Prefill)) {
        (void)co_await writer.send({ 421, { { std::string(names::answeringReplica), m_id.value() } }, {} });
        co_return;
    }
    if (readsPrompt) {
        co_await m_timers.sleep(prefillTime);
        (void)co_await writer.send(jsonResponse(200, { { "kv_handle", id + "-" + std::to_string(++m_handles) }, { "tokens", 2000 }, { "version", 1 } }));
        co_return;
    }
    checkHandle(request, id);
    Running running(m_running);
    m_ledger.noteRun(RequestId(id), m_id);
    if (chance(faults.failShare)) {
        (void)co_await writer.send({ 500, sealedHeaders(id), "failed" });
        co_return;
    }
    if (isEngine)
        co_await runStream(request, writer, id);
    else
        co_await runPlain(writer, id);
}

asio::awaitable<void> ReplicaStandin::runPlain(HttpResponseWriter& writer, const std::string& id)
{
    auto start = m_starts;
    co_await m_timers.sleep(std::chrono::milliseconds(std::uniform_int_distribution<int>(shortestWork, longestWork)(m_random)));
    if (start != m_starts) {
        writer.abort();
        co_return;
    }
    auto body = bodyFor(id);
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
    auto breaksOff = chance(faults.truncateShare);
    auto last = eventsFor(id);
    if (!co_await writer.begin(200, std::move(headers)))
        co_return;
    for (auto number = next; number <= last; ++number) {
        co_await m_timers.sleep(eventPause);
        auto text = "id: " + std::to_string(number) + "\ndata: " + eventFor(id, number) + "\n\n";
        auto isCut = breaksOff && number > last / 2;
        auto sent = co_await writer.write(isCut ? text.substr(0, text.size() / 2) : text);
        if (start != m_starts || isCut || !sent) {
            writer.abort();
            co_return;
        }
    }
    (void)co_await writer.finish();
}

} // namespace chestnut::soak
