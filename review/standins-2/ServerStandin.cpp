#include "ServerStandin.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

    constexpr int64_t heartbeatPeriod = 1200; /**< milliseconds */

    std::mutex runsMutex;

    /** The servers at which each request has run. */
    std::map<std::string, std::vector<std::string>>& allRuns()
    {
        static std::map<std::string, std::vector<std::string>> runs;
        return runs;
    }

    void recordRun(const std::string& request, const std::string& server)
    {
        std::lock_guard lock(runsMutex);
        allRuns()[request].push_back(server);
    }

} // namespace

ServerStandin::ServerStandin(ServerSettings settings, StoreStandin& store, Record& record)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_record(record)
    , m_startedAt(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    m_listener = std::make_unique<Listener>([this](Socket& socket) { serve(socket); });
    std::thread([this] { sendHeartbeats(); }).detach();
}

std::map<std::string, int> ServerStandin::runs()
{
    std::lock_guard lock(runsMutex);
    std::map<std::string, int> counts;
    for (const auto& [request, servers] : allRuns())
        counts[request] = static_cast<int>(servers.size());
    return counts;
}

std::set<std::string> ServerStandin::soundRuns(const std::string& except)
{
    std::lock_guard lock(runsMutex);
    std::set<std::string> requests;
    for (const auto& [request, servers] : allRuns()) {
        if (std::ranges::any_of(servers, [&except](const auto& server) { return server != except; }))
            requests.insert(request);
    }
    return requests;
}

void ServerStandin::sendHeartbeats()
{
    for (uint64_t heartbeat = 1;; ++heartbeat) {
        m_store.put("servers/" + m_settings.id, { { "service", m_settings.service }, { "address", m_listener->address() }, { "zone", m_settings.zone }, { "version", "v1" }, { "slots", m_settings.slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq_no", heartbeat }, { "born", m_startedAt } });
        sleepMilliseconds(heartbeatPeriod);
    }
}

void ServerStandin::serve(Socket& socket)
{
    std::string buffer;
    std::string lateBytes;
    while (auto request = readRequest(socket, buffer)) {
        auto text = answer(*request);
        if (chance(m_spoiltShare)) {
            text = withSpoiltLength(text);
            m_record.write(m_settings.id + " spoils the length of its answer to " + request->header("x-chestnutroute-request-id"));
        }
        if (!lateBytes.empty())
            m_record.write(m_settings.id + " sends " + std::to_string(lateBytes.size()) + " bytes of an earlier answer once more, before its answer to " + request->header("x-chestnutroute-request-id"));
        if (!socket.send(lateBytes + text))
            return;
        lateBytes = incompleteCopyOf(text);
    }
}

std::string ServerStandin::incompleteCopyOf(const std::string& answer)
{
    if (!chance(m_copyShare))
        return {};
    ++m_copies;
    std::lock_guard lock(m_mutex);
    auto headerSize = answer.find("\r\n\r\n");
    return answer.substr(0, std::uniform_int_distribution<size_t>(1, headerSize)(m_random));
}

bool ServerStandin::chance(double share)
{
    std::lock_guard lock(m_mutex);
    return std::bernoulli_distribution(share)(m_random);
}

std::string ServerStandin::withSpoiltLength(const std::string& answer) const
{
    constexpr int repetitions = 4;
    constexpr std::string_view name = "Content-Length: ";
    auto spoilt = answer;
    auto start = spoilt.find(name) + name.size();
    auto digits = spoilt.substr(start, spoilt.find("\r\n", start) - start);
    for (int i = 0; i < repetitions; ++i)
        spoilt.insert(start, digits);
    return spoilt;
}

std::string ServerStandin::answer(const Request& request)
{
    auto id = request.header("x-chestnutroute-request-id");
    Headers headers { { "X-Chestnutroute-Request-Id", id }, { "X-Chestnutroute-Instance-Id", m_settings.id } };
    auto expected = request.header("x-chestnutroute-expect-instance");
    if (!expected.empty() && expected != m_settings.id)
        return responseText(421, headers, {});
    if (++m_accepted > m_settings.slots + m_settings.queue) {
        --m_accepted;
        headers["X-Chestnutroute-Not-Executed"] = "1";
        m_record.write(m_settings.id + " refuses " + id);
        return responseText(503, headers, {});
    }
    {
        std::unique_lock lock(m_mutex);
        m_slotFreed.wait(lock, [this] { return m_running < m_settings.slots; });
        ++m_running;
    }
    recordRun(id, m_settings.id);
    m_record.write(m_settings.id + " runs " + id);
    sleepMilliseconds(m_settings.workTime);
    {
        std::lock_guard lock(m_mutex);
        --m_running;
    }
    --m_accepted;
    m_slotFreed.notify_one();
    headers["X-Chestnutroute-Server-Seal"] = m_settings.id + "." + id;
    constexpr size_t bodySize = 800;
    auto body = "booked " + id + " ";
    return responseText(200, headers, body.append(bodySize - body.size(), '.'));
}

} // namespace review
