#include "EngineStandin.h"

#include <chrono>
#include <sstream>

namespace review {

using nlohmann::json;

namespace {

    constexpr double heartbeatPeriod = 1.2;
    /** Time in which an engine reads a short prompt. */
    constexpr double promptTime = 0.02;

    int64_t wallClockMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string chunkOf(const std::string& bytes)
    {
        std::ostringstream text;
        text << std::hex << bytes.size() << "\r\n"
             << bytes << "\r\n";
        return text.str();
    }

} // namespace

std::string CacheHandles::add()
{
    std::scoped_lock lock(m_mutex);
    return *m_handles.insert(randomName()).first;
}

bool CacheHandles::take(const std::string& handle)
{
    std::scoped_lock lock(m_mutex);
    return m_handles.erase(handle) > 0;
}

EngineStandin::EngineStandin(StoreStandin& store, CacheHandles& handles, EnginePlace place)
    : m_store(store)
    , m_handles(handles)
    , m_place(std::move(place))
    , m_port(findFreePort())
{
}

void EngineStandin::start(const std::string& version)
{
    m_version = version;
    m_stage = m_place.stage;
    m_startedAt = wallClockMilliseconds();
    m_heartbeats = 0;
    m_orders = 0;
    m_isStopped = false;
    m_server = std::make_unique<Server>(m_port, [this](const Message& request, Connection& connection) { return handle(request, connection); });
    writeEntry();
    m_heartbeatThread = std::thread([this] { sendHeartbeats(); });
}

void EngineStandin::stop()
{
    if (m_isStopped.exchange(true))
        return;
    m_server->stop();
    m_heartbeatThread.join();
}

void EngineStandin::sendHeartbeats()
{
    for (auto next = now() + heartbeatPeriod; !m_isStopped; sleepFor(0.02)) {
        if (now() < next)
            continue;
        next += heartbeatPeriod;
        writeEntry();
    }
}

void EngineStandin::writeEntry()
{
    std::scoped_lock lock(m_mutex);
    json entry { { "service", m_place.service }, { "address", "127.0.0.1:" + std::to_string(m_port) }, { "zone", "zone-a" }, { "version", m_version }, { "slots", m_place.slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "stage", m_stage }, { "models", json::array({ { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } }) }, { "seq_no", ++m_heartbeats }, { "born", m_startedAt } };
    m_store.put("servers/" + m_place.id, entry.dump());
}

std::map<std::string, std::string> EngineStandin::sealedHeaders(const Message& request) const
{
    return { { "X-Chestnutroute-Request-Id", request.header("x-chestnutroute-request-id") }, { "X-Chestnutroute-Server-Seal", m_place.id + "." + m_version }, { "X-Chestnutroute-Instance-Id", m_place.id }, { "X-Chestnutroute-Weight-Versions", "1" } };
}

bool EngineStandin::refuse(Connection& connection, const Message& request, int status)
{
    return connection.write(encodeResponse(status, { { "X-Chestnutroute-Request-Id", request.header("x-chestnutroute-request-id") }, { "X-Chestnutroute-Instance-Id", m_place.id }, { "X-Chestnutroute-Not-Executed", "1" } }, ""));
}

bool EngineStandin::handle(const Message& request, Connection& connection)
{
    auto expected = request.header("x-chestnutroute-expect-instance");
    if (!expected.empty() && expected != m_place.id)
        return refuse(connection, request, 421);
    if (request.target().starts_with("/v1/"))
        return handleControl(request, connection);
    if (m_running >= m_place.slots)
        return refuse(connection, request, 503);
    if (request.header("x-chestnutroute-stage") == "prefill") {
        sleepFor(promptTime);
        auto headers = sealedHeaders(request);
        headers["Content-Type"] = "application/json";
        return connection.write(encodeResponse(200, headers, json { { "kv_handle", m_handles.add() }, { "tokens", 220 }, { "version", 1 } }.dump()));
    }
    auto source = request.header("x-chestnutroute-kv-source");
    if (!source.empty() && !m_handles.take(source.substr(source.find('/') + 1)))
        return refuse(connection, request, 503);
    ++m_running;
    auto isOpen = stream(request, connection);
    --m_running;
    return isOpen;
}

bool EngineStandin::stream(const Message& request, Connection& connection)
{
    std::string header = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : sealedHeaders(request))
        header.append(name).append(": ").append(value).append("\r\n");
    sleepFor(promptTime);
    if (!connection.write(header + "\r\n"))
        return false;
    auto first = std::strtoull(request.header("last-event-id").c_str(), nullptr, 10) + 1;
    for (auto number = first; number <= eventsOfStream; ++number) {
        std::ostringstream event;
        event << "id: " << number << "\ndata: " << m_place.id << " " << m_version << "\n\n";
        if (m_isStopped || !connection.write(chunkOf(event.str())))
            return false;
        sleepFor(pauseBetweenEvents);
    }
    return connection.write("0\r\n\r\n");
}

bool EngineStandin::handleControl(const Message& request, Connection& connection)
{
    const std::map<std::string, std::string> headers { { "Content-Type", "application/json" } };
    if (request.target() == "/v1/report") {
        std::scoped_lock lock(m_mutex);
        json report { { "stage", m_stage }, { "models", json::array() }, { "busy", false }, { "seq_no", m_orders }, { "waiting", 0 }, { "running", m_running.load() }, { "kv_used", 0 }, { "kv_total", 1000000 }, { "kv_handles", 0 }, { "born", m_startedAt } };
        return connection.write(encodeResponse(200, headers, report.dump()));
    }
    if (request.target() == "/v1/order") {
        auto order = json::parse(request.body);
        {
            std::scoped_lock lock(m_mutex);
            if (order.at("expected").get<uint64_t>() != m_orders)
                return connection.write(encodeResponse(409, headers, "{}"));
            ++m_orders;
            m_stage = order.at("stage").get<std::string>();
        }
        writeEntry();
        return connection.write(encodeResponse(202, headers, "{}"));
    }
    if (request.target().starts_with("/v1/kv-handle/")) {
        (void)m_handles.take(request.target().substr(request.target().rfind('/') + 1));
        return connection.write(encodeResponse(200, headers, "{}"));
    }
    ++m_otherCalls;
    return connection.write(encodeResponse(404, headers, "{}"));
}

} // namespace review
