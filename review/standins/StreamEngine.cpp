#include "review/standins/StreamEngine.h"

#include "platform/Names.h"
#include "soak/StandinResponses.h"

#include <charconv>

namespace chestnut::review {

namespace names = platform::names;
using nlohmann::json;

namespace {

    constexpr uint32_t slots = 48;
    constexpr Duration eventInterval = std::chrono::milliseconds(20);
    constexpr Duration silenceCheckPeriod = std::chrono::milliseconds(5);

    uint64_t numberOf(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    std::string eventOf(const std::string& request, const std::string& number)
    {
        std::string event = "id: " + number;
        event += "\ndata: " + request;
        event += "/" + number;
        event += "\n\n";
        return event;
    }

} // namespace

StreamEngine::StreamEngine(ReviewFleet& fleet, std::string stage, std::string zone, int number, bool keepsRequests)
    : m_fleet(fleet)
    , m_stage(std::move(stage))
    , m_id("e-" + std::to_string(number))
    , m_keepsRequests(keepsRequests)
    , m_server(
          fleet.context, fleet.log, { "127.0.0.1", test::freePort() }, {}, [this](HttpRequest request, HttpResponseWriter& writer) { return handle(std::move(request), writer); }, soak::makeErrorResponse)
{
    m_server.start();
    json entry {
        { "service", ReviewFleet::engineService },
        { "address", formatEndpoint(m_server.endpoint()) },
        { "zone", zone },
        { "version", "v1" },
        { "slots", slots },
        { "cold_left_ms", 0 },
        { "state", "ready" },
        { "stage", m_stage },
        { "seq_no", 1 },
        { "born", fleet.timers.wallClock().count() * 1000 },
    };
    fleet.store.put(std::string(names::replicaPrefix) + m_id, entry.dump());
}

void StreamEngine::fallSilent(Duration time)
{
    m_silentUntil = m_fleet.timers.now() + time;
    m_fleet.record.write("engine " + m_id + " falls silent with " + std::to_string(m_running) + " requests running");
}

void StreamEngine::beFull(Duration time)
{
    m_fullUntil = m_fleet.timers.now() + time;
    m_fleet.record.write("engine " + m_id + " is full with " + std::to_string(m_running) + " requests running");
}

asio::awaitable<void> StreamEngine::handle(HttpRequest request, HttpResponseWriter& writer)
{
    auto id = std::string(request.headers.value(names::requestId));
    HttpHeaders headers { { std::string(names::respondingReplica), m_id }, { std::string(names::requestId), id } };
    auto expected = request.headers.value(names::expectedReplica);
    auto isPrefill = request.headers.value(names::stage) == "prefill";
    auto isControlCall = request.path().starts_with("/v1/");
    if ((!expected.empty() && expected != m_id) || (!isControlCall && isPrefill != (m_stage == "prefill"))) {
        (void)co_await writer.send({ 421, headers, {} });
        co_return;
    }
    if (request.path() == "/v1/report") {
        (void)co_await writer.send(soak::jsonResponse(200, { { "stage", m_stage }, { "busy", false }, { "seq_no", 0 }, { "waiting", 0 }, { "running", m_running } }));
        co_return;
    }
    if (request.path() == "/v1/order") {
        // The number of accepted orders differs from the expected one, so the stage stays as it is.
        m_fleet.record.write("engine " + m_id + " refuses an order");
        (void)co_await writer.send(soak::jsonResponse(409, json::object()));
        co_return;
    }
    if (isControlCall) {
        (void)co_await writer.send({ 200, {}, {} });
        co_return;
    }
    if (isPrefill) {
        headers.set("Content-Type", "application/json");
        json body { { "kv_handle", m_id + "-" + std::to_string(++m_handles) }, { "tokens", 1 }, { "version", 1 } };
        (void)co_await writer.send({ 200, headers, body.dump() });
        co_return;
    }
    if (m_fleet.timers.now() < m_fullUntil) {
        m_fleet.record.write("engine " + m_id + " refuses request " + id + " with 503, not run");
        headers.set(names::notExecuted, "1");
        (void)co_await writer.send({ 503, headers, {} });
        co_return;
    }
    co_await stream(id, numberOf(request.headers.value(names::lastEventId)), writer);
}

asio::awaitable<void> StreamEngine::stream(const std::string& request, uint64_t resumedAfter, HttpResponseWriter& writer)
{
    ++m_running;
    m_fleet.record.write("engine " + m_id + " runs request " + request + (resumedAfter > 0 ? " after event " + std::to_string(resumedAfter) : ""));
    if (onBegin)
        onBegin(request, resumedAfter);
    HttpHeaders headers { { "Content-Type", "text/event-stream" }, { std::string(names::respondingReplica), m_id }, { std::string(names::requestId), request }, { std::string(names::seal), "seal." + request } };
    auto isConnected = static_cast<bool>(co_await writer.begin(200, headers));
    for (uint64_t number = resumedAfter + 1; number <= eventsOfRequest; ++number) {
        co_await m_fleet.timers.sleep(eventInterval);
        while (m_fleet.timers.now() < m_silentUntil)
            co_await m_fleet.timers.sleep(silenceCheckPeriod);
        if (onEvent)
            onEvent(request, number);
        auto text = std::to_string(number);
        if (!isConnected)
            continue;
        isConnected = static_cast<bool>(co_await writer.write(eventOf(request, text)));
        if (isConnected)
            continue;
        std::string line = "engine " + m_id + " has lost the channel of request " + request;
        line += m_keepsRequests ? " and goes on with event " : " and drops it at event ";
        line += text;
        m_fleet.record.write(line);
        if (!m_keepsRequests)
            break;
    }
    if (isConnected)
        (void)co_await writer.finish();
    --m_running;
    m_fleet.record.write("engine " + m_id + " ends its work on request " + request);
}

} // namespace chestnut::review
