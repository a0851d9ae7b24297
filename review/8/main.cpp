#include "../standins-2/Case.h"
#include "../standins-2/Daemons.h"
#include "../standins-2/EngineStandin.h"

#include <algorithm>
#include <iostream>

using namespace review;
using nlohmann::json;

namespace {

constexpr int engineCount = 8;
constexpr int prefillEngines = 2;
constexpr int clientThreads = 36;
constexpr int64_t spread = 37; /**< milliseconds between the first requests of two clients */
constexpr int64_t warmUp = 6'000; /**< milliseconds */
constexpr int64_t hangTime = 5'000;
constexpr int64_t recovery = 4'000;
constexpr double hangingShare = 0.45;
constexpr int timeLimit = 15'000;

/** Streams of which a client was told that they are complete. */
struct Outcome {
    std::atomic<int> sent = 0;
    std::atomic<int> complete = 0;
    std::atomic<int> brokenOff = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> truncated = 0; /**< ended as complete before the last event, or events missing or repeated */
};

json manifest()
{
    json route { { "name", "r-live" }, { "host", "review.example" }, { "prefix", "/live/" }, { "kind", "streaming" }, { "timeout_ms", timeLimit }, { "target_latency_ms", 120 }, { "priority", 1 }, { "service", "lm" }, { "max_attempts", 2 }, { "sticky", true }, { "resumable", true }, { "target_gap_ms", 150 } };
    json engine { { "slots", 12 }, { "kv_capacity", 1'000'000 }, { "kv_bytes", 163'840 }, { "moves", true }, { "kv_hold_s", 5.0 }, { "switch_s", 3.0 } };
    json service { { "name", "lm" }, { "health_path", "/health" }, { "max_conns", 290 }, { "protocol", "h1" }, { "tls", false }, { "engine", engine } };
    return manifestOf(route, service);
}

/** Whether the body holds all events of the stream once, in their order. */
bool isWhole(const std::string& body, const std::string& id)
{
    std::string expected;
    for (uint64_t number = 1; number <= EngineStandin::eventsOfStream; ++number)
        expected += EngineStandin::eventText(id, number);
    return body == expected;
}

void requestStreams(const Daemons& daemons, Record& record, Outcome& outcome, int client, int64_t until)
{
    sleepMilliseconds(client * spread);
    for (int number = 0; nowMilliseconds() < until; ++number) {
        auto id = requestId(client, number);
        const auto& daemon = daemons.at(static_cast<size_t>(client) + static_cast<size_t>(number));
        Headers prompt { { "X-Chestnutroute-Model", "m" }, { "X-Chestnutroute-Token-Count", "220,90" }, { "X-Chestnutroute-Prompt-Prefix", "a1:79," + id.substr(1) + ":141" } };
        auto request = requestText("/live/" + id, id, timeLimit, prompt, "prompt");
        ++outcome.sent;
        record.write("client sends " + id + " to " + daemon.id);
        auto response = call(daemon.frontPort, request, timeLimit);
        auto events = std::to_string(std::ranges::count(response.body, '\n') / 3);
        auto end = response.isComplete ? " complete" : " broken off";
        auto status = std::to_string(response.status);
        record.write(std::string("client receives ").append(id).append(" status ").append(status).append(" events ").append(events).append(end));
        if (response.status != 200)
            ++outcome.refused;
        else if (!response.isComplete)
            ++outcome.brokenOff;
        else if (isWhole(response.body, id))
            ++outcome.complete;
        else {
            ++outcome.truncated;
            record.write(std::string("ORDER broken: ").append(id).append(" ended as complete after ").append(events).append(" events"));
        }
    }
}

} // namespace

int main(int, char** arguments)
{
    std::string folder = arguments[1];
    std::string repository = arguments[2];
    Record record(folder + "/record.txt");
    TemporaryFolder files;
    auto* store = new StoreStandin; // Threads use it until the end of the process.
    store->put("op/config", manifest());
    std::vector<EngineStandin*> engines;
    engines.reserve(engineCount);
    for (int i = 0; i < engineCount; ++i)
        engines.push_back(new EngineStandin({ "i-" + std::to_string(i), "lm", "z" + std::to_string(i % 3), i >= engineCount - prefillEngines }, *store, record));
    Outcome outcome;
    {
        Daemons daemons({ repository, files.path(), store->address() });
        if (!daemons.waitUntilReady(20'000)) {
            std::cerr << "the daemons are not ready\n";
            return 2;
        }
        auto until = nowMilliseconds() + warmUp + hangTime + recovery;
        Clients clients(clientThreads, [&](int client) { requestStreams(daemons, record, outcome, client, until); });
        sleepMilliseconds(warmUp);
        if (isDisturbed())
            (*std::ranges::max_element(engines, {}, [](auto* engine) { return engine->runs(); }))->hangStreams(hangingShare, hangTime);
        clients.join();
    }
    auto summary = "sent " + std::to_string(outcome.sent) + ", whole " + std::to_string(outcome.complete) + ", refused or failed " + std::to_string(outcome.refused) + ", broken off " + std::to_string(outcome.brokenOff) + ", ended as complete too early " + std::to_string(outcome.truncated);
    record.write(summary);
    std::cout << summary << "\n";
    if (outcome.complete == 0)
        return 2;
    return outcome.truncated > 0 ? 1 : 0;
}
