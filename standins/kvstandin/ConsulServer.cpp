#include "ConsulServer.h"

#include "base/text/PercentEncoding.h"

#include <absl/strings/escaping.h>
#include <charconv>

namespace chestnut::standin {

using nlohmann::json;

namespace {

    constexpr std::string_view kvPath = "/v1/kv/";
    constexpr std::string_view sessionPath = "/v1/session/";
    constexpr std::chrono::milliseconds waitPollPeriod(10);
    constexpr std::chrono::minutes defaultWait(5);
    constexpr size_t maximumValue = KeyValueStore::maximumValue;

    /** Whether the query contains the parameter, with or without a value. */
    bool hasQuery(const HttpRequest& request, std::string_view name)
    {
        auto question = request.target.find('?');
        if (question == std::string::npos)
            return false;
        auto query = "&" + request.target.substr(question + 1) + "&";
        auto parameter = "&" + std::string(name);
        return query.find(parameter + "&") != std::string::npos || query.find(parameter + "=") != std::string::npos;
    }

    uint64_t parseNumber(const std::string& text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    std::string keyOf(const HttpRequest& request)
    {
        return percentDecode(request.path().substr(kvPath.size()));
    }

    HttpResponse jsonResponse(int status, const json& body)
    {
        return { status, { { "Content-Type", "application/json" } }, body.dump() };
    }

    json rowOf(const KeyValueEntry& entry)
    {
        json row { { "Key", entry.key }, { "Value", absl::Base64Escape(entry.value) }, { "Flags", 0 } };
        row["ModifyIndex"] = entry.modifyIndex;
        row["CreateIndex"] = entry.modifyIndex;
        row["LockIndex"] = entry.lockIndex;
        if (!entry.session.empty())
            row["Session"] = entry.session;
        return row;
    }

    HttpResponse entriesResponse(const std::vector<KeyValueEntry>& entries, uint64_t index)
    {
        auto rows = json::array();
        for (const auto& entry : entries)
            rows.push_back(rowOf(entry));
        auto response = entries.empty() ? HttpResponse { 404, {}, "" } : jsonResponse(200, rows);
        response.headers.set("X-Consul-Index", std::to_string(index));
        return response;
    }

    KeyValueOperation operationOf(const json& row)
    {
        const auto& kv = row.at("KV");
        auto verb = kv.at("Verb").get<std::string>();
        KeyValueOperation operation;
        operation.key = kv.at("Key").get<std::string>();
        operation.expectedModifyIndex = kv.value("Index", uint64_t(0));
        operation.isCheckOnly = verb != "cas";
        absl::Base64Unescape(kv.value("Value", std::string()), &operation.value);
        return operation;
    }

    /** The kind under which /control/counts counts a call. */
    std::string kindOf(const HttpRequest& request)
    {
        auto path = request.path();
        if (path.starts_with(kvPath) && request.method == "GET")
            return hasQuery(request, "recurse") ? "kv_list" : hasQuery(request, "index") ? "kv_wait"
                                                                                         : "kv_read";
        if (path.starts_with(kvPath) && request.method == "DELETE")
            return "kv_delete";
        if (path.starts_with(kvPath))
            return hasQuery(request, "acquire") ? "kv_acquire" : hasQuery(request, "release") ? "kv_release"
                                                                                              : "kv_cas";
        if (path.starts_with(sessionPath))
            return "session_" + std::string(path.substr(sessionPath.size(), path.find('/', sessionPath.size()) - sessionPath.size()));
        if (path == "/v1/txn")
            return "txn";
        return path == "/v1/catalog/nodes" ? "vm_list" : "other";
    }

} // namespace

ConsulServer::ConsulServer(TimerService& timers, Faults faults, uint64_t seed)
    : m_timers(timers)
    , m_faults(faults)
    , m_rng(seed)
{
}

HttpHandler ConsulServer::handler()
{
    return [this](HttpRequest request, HttpResponseWriter& writer) { return serve(std::move(request), writer); };
}

void ConsulServer::setNodes(std::vector<Vm> vms)
{
    m_nodes.set(std::move(vms), m_timers.now() - std::chrono::hours(1));
}

asio::awaitable<void> ConsulServer::serve(HttpRequest request, HttpResponseWriter& writer)
{
    if (request.path().starts_with("/control/")) {
        co_await writer.send(handleControl(request));
        co_return;
    }
    ++m_counts[kindOf(request)];
    if (m_faults.latency > Duration::zero())
        co_await m_timers.sleep(m_faults.latency);
    if (m_faults.isOutage) {
        writer.abort();
        co_return;
    }
    bool isWrite = request.method != "GET";
    auto response = co_await route(std::move(request));
    if (m_faults.isOutage || (isWrite && takeLostResponse(m_faults, m_rng))) {
        writer.abort();
        co_return;
    }
    co_await writer.send(std::move(response));
}

asio::awaitable<HttpResponse> ConsulServer::route(HttpRequest request)
{
    m_model.expireSessions(m_timers.now());
    auto path = request.path();
    try {
        if (path.starts_with(kvPath) && request.method == "GET")
            co_return co_await readKey(std::move(request));
        if (path.starts_with(kvPath))
            co_return request.method == "DELETE" ? removeKey(request) : writeKey(request);
        if (path == "/v1/txn")
            co_return transact(request);
        if (path.starts_with(sessionPath))
            co_return session(request);
        if (path == "/v1/catalog/nodes")
            co_return jsonResponse(200, catalogOf(m_nodes.at(m_timers.now(), m_faults.vmListLag)));
        if (path == "/v1/status/leader")
            co_return jsonResponse(200, "127.0.0.1:8300");
    } catch (const json::exception& exception) {
        co_return HttpResponse { 400, {}, exception.what() };
    }
    co_return HttpResponse { 404, {}, "no such path" };
}

asio::awaitable<HttpResponse> ConsulServer::readKey(HttpRequest request)
{
    auto key = keyOf(request);
    if (hasQuery(request, "recurse"))
        co_return entriesResponse(m_model.list(key), 1);
    auto index = parseNumber(request.queryValue("index"));
    auto wait = parseDuration(request.queryValue("wait")).value_or(defaultWait);
    auto end = m_timers.now() + wait;
    while (hasQuery(request, "index") && m_model.read(key).index <= index && m_timers.now() < end && !m_faults.isOutage) {
        co_await m_timers.sleep(waitPollPeriod);
        m_model.expireSessions(m_timers.now());
    }
    auto read = m_model.read(key);
    std::vector<KeyValueEntry> entries;
    if (read.entry)
        entries.push_back(*read.entry);
    co_return entriesResponse(entries, read.index);
}

HttpResponse ConsulServer::writeKey(const HttpRequest& request)
{
    auto key = keyOf(request);
    if (request.body.size() > maximumValue)
        return { 413, {}, "the value exceeds the size limit" };
    bool isDone = true;
    if (hasQuery(request, "acquire"))
        isDone = m_model.acquire(key, request.body, request.queryValue("acquire"));
    else if (hasQuery(request, "release"))
        isDone = m_model.release(key, request.body, request.queryValue("release"));
    else if (hasQuery(request, "cas"))
        isDone = m_model.compareAndSwap(key, request.body, parseNumber(request.queryValue("cas")));
    else
        m_model.put(key, request.body);
    return jsonResponse(200, isDone);
}

HttpResponse ConsulServer::removeKey(const HttpRequest& request)
{
    if (hasQuery(request, "cas"))
        return jsonResponse(200, m_model.removeIf(keyOf(request), parseNumber(request.queryValue("cas"))));
    if (hasQuery(request, "recurse"))
        m_model.removePrefix(keyOf(request));
    else
        m_model.remove(keyOf(request));
    return jsonResponse(200, true);
}

HttpResponse ConsulServer::transact(const HttpRequest& request)
{
    std::vector<KeyValueOperation> operations;
    auto rows = json::parse(request.body);
    for (const auto& row : rows)
        operations.push_back(operationOf(row));
    if (!m_model.transact(operations))
        return jsonResponse(409, { { "Errors", json::array({ { { "OpIndex", 0 }, { "What", "a condition does not hold" } } }) } });
    return jsonResponse(200, { { "Results", json::array() }, { "Errors", nullptr } });
}

HttpResponse ConsulServer::session(const HttpRequest& request)
{
    auto rest = std::string(request.path().substr(sessionPath.size()));
    if (rest == "create") {
        auto timeToLive = parseDuration(json::parse(request.body).value("TTL", std::string("10s")));
        return jsonResponse(200, { { "ID", m_model.createSession(timeToLive.value_or(std::chrono::seconds(10)), m_timers.now()) } });
    }
    auto id = rest.substr(rest.find('/') + 1);
    if (rest.starts_with("renew/")) {
        bool isAlive = m_model.renewSession(id, m_timers.now());
        return isAlive ? jsonResponse(200, json::array({ { { "ID", id } } })) : HttpResponse { 404, {}, "no such session" };
    }
    m_model.destroySession(id);
    return jsonResponse(200, true);
}

HttpResponse ConsulServer::handleControl(const HttpRequest& request)
{
    try {
        if (request.path() == "/control/counts")
            return jsonResponse(200, m_counts);
        if (request.path() == "/control/faults" && request.method == "POST") {
            applyFaults(m_faults, json::parse(request.body));
            return jsonResponse(200, json::object());
        }
        if (request.path() == "/control/nodes" && request.method == "POST") {
            m_nodes.set(parseNodes(json::parse(request.body)), m_timers.now());
            return jsonResponse(200, json::object());
        }
    } catch (const json::exception& exception) {
        return { 400, {}, exception.what() };
    }
    return { 404, {}, "no such path" };
}

} // namespace chestnut::standin
