#include "EngineStandin.h"

#include <chrono>
#include <cstdio>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

    constexpr int64_t heartbeatPeriod = 1200; /**< milliseconds */
    constexpr int64_t stageChangeTime = 3000;
    constexpr int64_t prefillTime = 20;

    int64_t unixMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    Headers headersFor(const Request& request, const std::string& engine)
    {
        auto id = request.header("x-chestnutroute-request-id");
        return { { "X-Chestnutroute-Request-Id", id }, { "X-Chestnutroute-Server-Seal", engine + "." + id }, { "X-Chestnutroute-Instance-Id", engine } };
    }

    /** A number between 0 and 1 that follows from the text. */
    double shareOf(const std::string& text)
    {
        constexpr size_t steps = 1000;
        return static_cast<double>(std::hash<std::string>()(text) % steps) / steps;
    }

    std::string chunkOf(const std::string& bytes)
    {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    }

    std::string jsonResponse(int status, const json& body, const std::string& engine)
    {
        return responseText(status, { { "Content-Type", "application/json" }, { "X-Chestnutroute-Instance-Id", engine } }, body.dump());
    }

} // namespace

std::string EngineStandin::eventText(const std::string& request, uint64_t number)
{
    auto digits = std::to_string(number);
    return "id: " + digits + "\ndata: " + request + "/" + digits + "\n\n";
}

EngineStandin::EngineStandin(EngineSettings settings, StoreStandin& store, Record& record)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_record(record)
    , m_startedAt(unixMilliseconds())
    , m_isPrefill(m_settings.isPrefill)
{
    m_listener = std::make_unique<Listener>([this](Socket& socket) { serve(socket); });
    std::thread([this] { sendHeartbeats(); }).detach();
}

void EngineStandin::writeEntry()
{
    if (!m_hasLeft)
        m_store.put("servers/" + m_settings.id, { { "service", m_settings.service }, { "address", m_listener->address() }, { "zone", m_settings.zone }, { "version", "v1" }, { "slots", m_settings.slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "stage", stage() }, { "seq_no", ++m_heartbeat }, { "born", m_startedAt } });
}

void EngineStandin::sendHeartbeats()
{
    while (!m_hasLeft) {
        writeEntry();
        sleepMilliseconds(heartbeatPeriod);
    }
}

void EngineStandin::leave()
{
    m_hasLeft = true;
    m_store.remove("servers/" + m_settings.id);
}

size_t EngineStandin::runs()
{
    std::lock_guard lock(m_mutex);
    return m_runs.size();
}

void EngineStandin::hangStreams(double share, int64_t milliseconds)
{
    m_hangingShare = share;
    m_hangsUntil = nowMilliseconds() + milliseconds;
    m_record.write(m_settings.id + " makes no events for " + std::to_string(milliseconds) + " ms in a part of its streams");
}

bool EngineStandin::isHanging(const Run& run) const
{
    return nowMilliseconds() < m_hangsUntil && run.position < m_hangingShare && run.made > 0;
}

void EngineStandin::serve(Socket& socket)
{
    std::string buffer;
    while (auto request = readRequest(socket, buffer)) {
        if (!answer(*request, socket))
            return;
    }
}

bool EngineStandin::answer(const Request& request, const Socket& socket)
{
    auto expected = request.header("x-chestnutroute-expect-instance");
    if (!expected.empty() && expected != m_settings.id)
        return socket.send(jsonResponse(421, json::object(), m_settings.id));
    auto path = request.path();
    if (path == "/v1/report")
        return socket.send(report());
    if (path == "/v1/kv-move")
        return socket.send(move(request));
    if (path == "/v1/order")
        return socket.send(order(request));
    if (path.starts_with("/v1/kv-handle/"))
        return socket.send(jsonResponse(404, json::object(), m_settings.id));
    auto isForPrefill = !request.header("x-chestnutroute-stage").empty();
    if (isForPrefill != m_isPrefill)
        return socket.send(responseText(421, headersFor(request, m_settings.id), {}));
    if (isForPrefill)
        return socket.send(prefill(request));
    stream(request, socket);
    return false;
}

void EngineStandin::stream(const Request& request, const Socket& socket)
{
    auto id = request.header("x-chestnutroute-request-id");
    auto resumed = request.header("last-event-id");
    auto first = resumed.empty() ? 1 : std::stoull(resumed) + 1;
    auto run = std::make_shared<Run>();
    run->position = shareOf("hang" + id);
    run->isChunked = shareOf("chunks" + id) >= m_settings.unframedShare;
    {
        std::lock_guard lock(m_mutex);
        m_runs[id] = run;
    }
    m_record.write(m_settings.id + " runs " + id + (run->isChunked ? " in chunks" : " without a length or chunks") + " from event " + std::to_string(first));
    auto text = std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n");
    if (run->isChunked)
        text += "Transfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : headersFor(request, m_settings.id))
        text.append(name).append(": ").append(value).append("\r\n");
    auto isOpen = socket.send(text + "\r\n");
    auto number = first;
    while (isOpen && number <= eventsOfStream && !run->isStopped) {
        sleepMilliseconds(m_settings.eventInterval);
        while (isHanging(*run) && !run->isStopped && !socket.isClosedByPeer())
            sleepMilliseconds(1);
        if (run->isStopped)
            break;
        auto event = eventText(id, number);
        isOpen = !socket.isClosedByPeer() && socket.send(run->isChunked ? chunkOf(event) : event);
        run->made = number++;
    }
    if (run->isChunked && number > eventsOfStream)
        isOpen = socket.send("0\r\n\r\n");
    auto end = run->isStopped ? " was stopped after event " : isOpen ? " ended after event "
                                                                     : " lost its caller after event ";
    m_record.write(m_settings.id + ": " + id + end + std::to_string(number - 1));
    std::lock_guard lock(m_mutex);
    if (auto own = m_runs.find(id); own != m_runs.end() && own->second == run)
        m_runs.erase(own);
    // The connection is closed by the caller of this function.
}

std::string EngineStandin::move(const Request& request)
{
    auto body = json::parse(request.body, nullptr, false);
    std::string id = body.at("id");
    std::shared_ptr<Run> run;
    {
        std::lock_guard lock(m_mutex);
        if (auto found = m_runs.find(id); found != m_runs.end())
            run = found->second;
    }
    m_record.write(m_settings.id + " is asked to move " + id + " to " + body.at("to").get<std::string>() + (run ? "" : ", which it does not run"));
    if (!run)
        return jsonResponse(404, json::object(), m_settings.id);
    // The run stops first, and its stream is closed without its end; then its memory is copied.
    if (body.value("last", false))
        run->isStopped = true;
    sleepMilliseconds(m_settings.copyTime);
    return jsonResponse(200, { { "kv_handle", "h-" + id }, { "create_revision", run->made.load() } }, m_settings.id);
}

std::string EngineStandin::order(const Request& request)
{
    auto body = json::parse(request.body, nullptr, false);
    auto wantsPrefill = body.at("stage") == "prefill";
    m_record.write(m_settings.id + " is ordered to become " + body.at("stage").get<std::string>() + " by " + body.at("holder").get<std::string>());
    if (wantsPrefill == m_isPrefill)
        return jsonResponse(200, json::object(), m_settings.id);
    if (m_isChanging || body.value("expected", m_orders.load()) != m_orders)
        return jsonResponse(409, json::object(), m_settings.id);
    ++m_orders;
    m_isChanging = true;
    std::thread([this, wantsPrefill] {
        sleepMilliseconds(stageChangeTime);
        m_isPrefill = wantsPrefill;
        m_isChanging = false;
        writeEntry();
    }).detach();
    return jsonResponse(202, json::object(), m_settings.id);
}

std::string EngineStandin::prefill(const Request& request)
{
    sleepMilliseconds(prefillTime);
    auto headers = headersFor(request, m_settings.id);
    headers["Content-Type"] = "application/json";
    json body { { "kv_handle", "p-" + request.header("x-chestnutroute-request-id") }, { "tokens", 220 }, { "version", 1 } };
    return responseText(200, headers, body.dump());
}

std::string EngineStandin::report()
{
    std::lock_guard lock(m_mutex);
    auto runs = json::array();
    for (const auto& [id, run] : m_runs)
        runs.push_back({ id, 300, run->made.load(), 5 });
    return jsonResponse(200, { { "stage", stage() }, { "models", { { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } } }, { "busy", m_isChanging.load() }, { "seq_no", m_orders.load() }, { "waiting", 0 }, { "running", m_runs.size() }, { "kv_used", 300 * m_runs.size() }, { "kv_total", 1000000 }, { "kv_handles", 0 }, { "state", "ready" }, { "next", 0 }, { "runs", runs } }, m_settings.id);
}

} // namespace review
