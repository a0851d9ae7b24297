#include "review/standins/PlainReplica.h"

#include "platform/Names.h"
#include "soak/StandinResponses.h"

namespace chestnut::review {

namespace names = platform::names;
using nlohmann::json;

namespace {

    constexpr uint32_t slots = 6;
    constexpr uint32_t queueLength = 24;
    constexpr uint32_t shortestWorkMilliseconds = 30;
    constexpr uint32_t longestWorkMilliseconds = 90;
    constexpr Duration queueCheckPeriod = std::chrono::milliseconds(2);
    constexpr size_t responseBytes = 800;

    /** Increases a count while it exists. */
    class Counted {
    public:
        explicit Counted(uint32_t& count)
            : m_count(count)
        {
            ++m_count;
        }
        Counted(const Counted&) = delete;
        Counted& operator=(const Counted&) = delete;
        ~Counted() { --m_count; }

    private:
        uint32_t& m_count;
    };

} // namespace

PlainReplica::PlainReplica(ReviewFleet& fleet, std::string zone)
    : m_fleet(fleet)
    , m_zone(std::move(zone))
    , m_serverPort(test::freePort())
    , m_link(std::make_shared<soak::FaultyLink>(fleet.context, fleet.timers, test::freePort(), Endpoint { "127.0.0.1", m_serverPort }))
    , m_server(
          fleet.context, fleet.log, { "127.0.0.1", m_serverPort }, {}, [this](HttpRequest request, HttpResponseWriter& writer) { return handle(std::move(request), writer); }, soak::makeErrorResponse)
{
    m_server.start();
}

void PlainReplica::start()
{
    ++m_starts;
    m_id = "i-" + std::to_string(m_serverPort) + "-" + std::to_string(m_starts);
    m_startedAt = m_fleet.timers.wallClock().count() * 1000;
    m_isRunning = true;
    m_link->listen();
    writeEntry();
    m_fleet.record.write("replica " + m_id + " starts");
}

void PlainReplica::writeEntry()
{
    json entry {
        { "service", ReviewFleet::service },
        { "address", formatEndpoint(m_link->endpoint()) },
        { "zone", m_zone },
        { "version", "v1" },
        { "slots", slots },
        { "cold_left_ms", 0 },
        { "state", "ready" },
        { "seq_no", 1 },
        { "born", m_startedAt },
    };
    m_fleet.store.put(std::string(names::replicaPrefix) + m_id, entry.dump());
}

void PlainReplica::removeEntry()
{
    m_fleet.record.write("the store confirms the removal of the entry of replica " + m_id);
    m_fleet.store.erase(std::string(names::replicaPrefix) + m_id);
}

void PlainReplica::end()
{
    m_fleet.record.write("replica " + m_id + " ends with " + std::to_string(m_accepted) + " requests in progress");
    ++m_starts;
    m_isRunning = false;
    m_link->stopListening();
    m_link->resetAll();
    constexpr int missedHeartbeats = 3;
    m_expiryTimer = m_fleet.timers.once(ReviewFleet::heartbeatPeriod * missedHeartbeats, [this, key = std::string(names::replicaPrefix) + m_id] { m_fleet.store.erase(key); });
}

asio::awaitable<void> PlainReplica::handle(HttpRequest request, HttpResponseWriter& writer)
{
    HttpHeaders headers { { std::string(names::respondingReplica), m_id }, { std::string(names::requestId), std::string(request.headers.value(names::requestId)) } };
    auto expected = request.headers.value(names::expectedReplica);
    if (!expected.empty() && expected != m_id) {
        (void)co_await writer.send({ 421, headers, {} });
        co_return;
    }
    Arrival arrival { std::string(request.headers.value(names::requestId)), std::string(request.headers.value(daemonHeader)), request.body };
    m_fleet.record.write("request " + arrival.request + " reaches replica " + m_id + " from " + arrival.daemon);
    if (onArrival)
        onArrival(arrival);
    if (m_accepted >= slots + queueLength) {
        headers.set(names::notExecuted, "1");
        (void)co_await writer.send({ 503, headers, {} });
        co_return;
    }
    co_await run(arrival, writer);
}

asio::awaitable<void> PlainReplica::run(const Arrival& arrival, HttpResponseWriter& writer)
{
    auto start = m_starts;
    Counted accepted(m_accepted);
    while (m_running >= slots && start == m_starts)
        co_await m_fleet.timers.sleep(queueCheckPeriod);
    if (start != m_starts)
        co_return;
    Counted running(m_running);
    m_fleet.record.write("replica " + m_id + " runs request " + arrival.request);
    if (crashesOn && crashesOn(arrival)) {
        end();
        if (onCrash)
            onCrash();
        co_return;
    }
    co_await m_fleet.timers.sleep(std::chrono::milliseconds(m_fleet.random(shortestWorkMilliseconds, longestWorkMilliseconds)));
    if (start != m_starts)
        co_return;
    HttpHeaders headers { { std::string(names::respondingReplica), m_id }, { std::string(names::requestId), arrival.request }, { std::string(names::seal), "seal." + arrival.request } };
    auto sent = co_await writer.send({ 200, headers, std::string(responseBytes, 'b') });
    if (sent)
        m_fleet.record.write("replica " + m_id + " answers request " + arrival.request + " with 200");
}

} // namespace chestnut::review
