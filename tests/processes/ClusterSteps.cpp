#include "processes/ClusterSteps.h"

#include "common/StandinText.h"

#include <atomic>
#include <csignal>
#include <sstream>

namespace chestnut::test {

using nlohmann::json;

namespace {

    constexpr const char* bookTarget = "/services/orders/book";
    constexpr std::chrono::seconds shortTimeout(5);

    std::string errorField(const HttpResponse& response, const char* field)
    {
        auto document = json::parse(response.body, nullptr, false);
        if (!document.is_object() || !document.contains("error") || !document["error"].is_object())
            return "";
        return document["error"].value(field, "");
    }

    std::string bookingBody(const std::string& key)
    {
        return "{\"carton\":\"" + key + "\"}";
    }

    std::string expectedText(const std::string& prompt, uint32_t tokens)
    {
        std::string text;
        for (uint64_t i = 1; i <= standinTokenCount(prompt, tokens); ++i)
            text += standinToken(prompt, i);
        return text;
    }

} // namespace

ClusterShape fastShape(const std::string& name)
{
    ClusterShape shape;
    shape.name = name;
    shape.engineFlags = { "--decode_tokens_per_second=200", "--prefill_tokens_per_second=40000", "--change_ms=1000" };
    shape.serviceFlags = { "--print_executions=true" };
    return shape;
}

BackgroundLoad::BackgroundLoad(ProcessCluster& cluster, double requestsPerSecond, std::vector<std::string> flags)
{
    flags.push_back("--entrypoints=" + cluster.callerList());
    flags.push_back("--rate=" + std::to_string(requestsPerSecond));
    flags.insert(flags.end(), { "--duration_s=180", "--seed=1", "--key_kind=mixed", "--straggler_share=0", "--json=true" });
    auto before = countServedCalls(cluster);
    m_process = cluster.startProgram("standins/loadtool/loadtool", std::move(flags));
    // Waits for traffic, so that faults injected afterwards affect requests in progress.
    eventually([&] { return countServedCalls(cluster) > before + 3; });
}

json BackgroundLoad::finish()
{
    constexpr double finishTimeout = 130;
    m_process->signal(SIGINT);
    m_process->wait(finishTimeout);
    auto summary = json::parse(fileContents(m_process->outputPath()), nullptr, false);
    return summary.is_object() ? summary : json::object();
}

std::string findUnexpectedRefusals(const json& summary, const std::set<std::string>& allowed)
{
    std::string unexpected;
    for (const auto& [refusal, count] : summary.value("refused", json::object()).items()) {
        if (!allowed.contains(refusal))
            unexpected += refusal + " " + count.dump() + "\n";
    }
    return unexpected;
}

std::string newKey()
{
    static std::atomic<uint64_t> last { 0 };
    static const auto start = std::chrono::steady_clock::now().time_since_epoch().count();
    auto now = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return std::to_string(now) + "-" + std::to_string(start) + "x" + std::to_string(++last);
}

KeyedCall book(ProcessCluster& cluster, size_t daemon, const std::string& key)
{
    HttpRequest request { "POST", bookTarget, { { "Idempotency-Key", key }, { "Content-Type", "application/json" } }, bookingBody(key) };
    auto response = cluster.send(cluster.callers(daemon), request, std::chrono::seconds(40));
    KeyedCall call { key };
    if (!response)
        return call;
    call.status = response->status;
    call.kind = response->status == 200 ? "answered" : kindOf(*response);
    call.outcome = outcomeOf(*response);
    call.isExpectedBody = response->body == standinServiceResponse("/book", bookingBody(key));
    return call;
}

std::vector<KeyedCall> bookConcurrently(ProcessCluster& cluster, size_t calls, size_t threads, const std::function<void()>& meanwhile)
{
    std::vector<KeyedCall> results(calls);
    std::atomic<size_t> next { 0 };
    auto work = [&] {
        for (size_t i = next++; i < calls; i = next++)
            results[i] = book(cluster, i % cluster.daemonCount(), newKey());
    };
    std::vector<std::thread> workers;
    for (size_t i = 0; i < threads; ++i)
        workers.emplace_back(work);
    meanwhile();
    for (auto& worker : workers)
        worker.join();
    return results;
}

std::map<std::string, int> countExecutions(ProcessCluster& cluster)
{
    constexpr std::string_view marker = "executed ";
    std::map<std::string, int> counts;
    for (size_t i = 0; i < cluster.serverCount(); ++i) {
        std::istringstream output(fileContents(cluster.backendServer(i).outputPath()));
        for (std::string line; std::getline(output, line);) {
            if (line.starts_with(marker))
                ++counts[line.substr(marker.size())];
        }
    }
    return counts;
}

uint64_t countServedCalls(ProcessCluster& cluster)
{
    uint64_t served = 0;
    for (size_t i = 0; i < cluster.serverCount(); ++i) {
        auto document = cluster.fetchJson(cluster.serverEndpoint(i), "/control/executions");
        if (!document.is_object())
            continue;
        served += document.value("without_key", uint64_t { 0 });
        for (const auto& [key, count] : document.value("by_key", json::object()).items())
            served += count.get<uint64_t>();
    }
    return served;
}

std::string findContradictions(ProcessCluster& cluster, const std::vector<KeyedCall>& calls)
{
    auto counts = countExecutions(cluster);
    std::string faults;
    for (const auto& call : calls) {
        auto count = counts[call.key];
        bool isWrong = count > 1 || (call.kind == "answered" && (count != 1 || !call.isExpectedBody)) || (call.outcome == "not_run" && count != 0);
        if (isWrong)
            faults += call.key + ": " + call.kind + "/" + call.outcome + " with " + std::to_string(count) + " executions\n";
    }
    for (const auto& [key, count] : counts) {
        if (count > 1)
            faults += key + ": " + std::to_string(count) + " executions\n";
    }
    return faults;
}

CompletionResult complete(ProcessCluster& cluster, size_t daemon, const std::string& prompt, uint32_t tokens)
{
    json body { { "model", "m1" }, { "prompt", prompt }, { "max_tokens", tokens } };
    HttpRequest request { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, body.dump() };
    auto response = cluster.send(cluster.callers(daemon), request, std::chrono::seconds(40));
    CompletionResult result;
    if (!response)
        return result;
    result.status = response->status;
    result.kind = kindOf(*response);
    result.outcome = outcomeOf(*response);
    auto document = json::parse(response->body, nullptr, false);
    result.isExpectedText = response->status == 200 && document.is_object() && document.contains("choices")
        && document["choices"][0].value("text", "") == expectedText(prompt, tokens);
    return result;
}

std::string kindOf(const HttpResponse& response)
{
    return errorField(response, "kind");
}

std::string outcomeOf(const HttpResponse& response)
{
    return errorField(response, "outcome");
}

std::vector<json> ordersOf(ProcessCluster& cluster, size_t engine)
{
    std::vector<json> orders;
    auto log = cluster.fetchJson(cluster.engineEndpoint(engine), "/control/log");
    if (!log.is_object())
        return orders;
    for (const auto& entry : log.value("entries", json::array())) {
        if (entry.value("kind", "") == "order")
            orders.push_back(entry);
    }
    return orders;
}

std::string findConflictingOrders(ProcessCluster& cluster, size_t engine)
{
    std::string conflicts;
    json newest;
    for (const auto& entry : ordersOf(cluster, engine)) {
        if (!entry.value("accepted", false))
            continue;
        const auto& order = entry["order"];
        auto position = [](const json& o) { return std::pair(o.value("fencing_number", uint64_t { 0 }), o.value("sequence", uint64_t { 0 })); };
        if (!newest.is_null()) {
            bool isOlder = position(order) < position(newest) || order.value("revision", uint64_t { 0 }) < newest.value("revision", uint64_t { 0 });
            bool isOther = position(order) == position(newest) && order != newest;
            if (isOlder || isOther)
                conflicts += newest.dump() + " then " + order.dump() + "\n";
        }
        newest = order;
    }
    return conflicts;
}

bool isReadyInRole(ProcessCluster& cluster, size_t engine, const std::string& role)
{
    auto state = cluster.fetchJson(cluster.engineEndpoint(engine), "/admin/state");
    return state.is_object() && state.value("status", "") == "ready" && state.value("role", "") == role;
}

std::optional<size_t> leaseHolderOf(ProcessCluster& cluster, size_t engine, size_t queriedDaemon)
{
    auto document = cluster.fetchJson(cluster.operators(queriedDaemon), "/engines");
    if (!document.is_object())
        return std::nullopt;
    for (const auto& row : document.value("engines", json::array())) {
        auto holder = row.value("holder", "");
        if (row.value("engine", "") == "e" + std::to_string(engine) && holder.starts_with("d"))
            return std::stoul(holder.substr(1));
    }
    return std::nullopt;
}

uint64_t revisionOf(ProcessCluster& cluster, size_t daemon)
{
    HttpRequest request;
    request.target = "/fleet";
    auto response = cluster.send(cluster.operators(daemon), request, shortTimeout);
    if (!response)
        return 0;
    auto document = json::parse(response->body, nullptr, false);
    return document.is_object() ? document.value("revision", uint64_t { 0 }) : 0;
}

bool allHaveRevision(ProcessCluster& cluster, uint64_t revision)
{
    for (size_t i = 0; i < cluster.daemonCount(); ++i) {
        if (revisionOf(cluster, i) < revision)
            return false;
    }
    return true;
}

bool setFaults(ProcessCluster& cluster, const Endpoint& endpoint, const json& faults)
{
    return cluster.postJson(endpoint, "/control/faults", faults);
}

} // namespace chestnut::test
