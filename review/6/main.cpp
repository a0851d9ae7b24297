#include "../standins-2/Case.h"
#include "../standins-2/Daemons.h"
#include "../standins-2/ServerStandin.h"

#include <iostream>
#include <set>

using namespace review;

namespace {

constexpr int serverCount = 4;
constexpr int clientThreads = 18;
constexpr double spoiltShare = 0.02;
constexpr int64_t warmUp = 4'000; /**< milliseconds */
constexpr int64_t disturbance = 5'500;
constexpr int64_t recovery = 3'000;
constexpr int64_t restartDelay = 500;
constexpr int timeLimit = 1'500;
/** More unanswered requests than this break the rule. */
constexpr int allowedUnanswered = 3;

struct Outcome {
    std::mutex mutex;
    std::set<std::string> unanswered; /**< sent on a kept channel that was then closed without an answer */
    int sent = 0;
    int served = 0;
};

/** Keeps one channel to a daemon as long as it answers. */
void sendBookings(const Daemons& daemons, Record& record, Outcome& outcome, int client, int64_t until)
{
    int number = 0;
    for (size_t next = static_cast<size_t>(client); nowMilliseconds() < until; ++next) {
        const auto& daemon = daemons.at(next);
        KeptChannel channel(daemon.frontPort);
        for (int calls = 0; channel.isOpen() && nowMilliseconds() < until; ++calls) {
            auto id = requestId(client, ++number);
            record.write("client sends " + id + " to " + daemon.id);
            auto sentAt = nowMilliseconds();
            auto response = channel.call(requestText("/book/" + id, id, timeLimit, {}, "booking"), timeLimit);
            record.write("client receives " + id + " status " + std::to_string(response.status));
            std::lock_guard lock(outcome.mutex);
            ++outcome.sent;
            outcome.served += response.status == 200 ? 1 : 0;
            if (response.status == 0 && calls > 0 && nowMilliseconds() - sentAt < timeLimit)
                outcome.unanswered.insert(id);
        }
        sleepMilliseconds(20);
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
    store->put("op/config", bookingManifest());
    std::vector<ServerStandin*> servers;
    servers.reserve(serverCount);
    for (int i = 0; i < serverCount; ++i)
        servers.push_back(new ServerStandin({ "i-7f3a91c" + std::to_string(i), "desk", "z" + std::to_string(i % 3) }, *store, record));
    auto* spoiling = servers.front();
    Outcome outcome;
    int ended = 0;
    {
        Daemons daemons({ repository, files.path(), store->address() });
        if (!daemons.waitUntilReady(20'000)) {
            std::cerr << "the daemons are not ready\n";
            return 2;
        }
        auto until = nowMilliseconds() + warmUp + disturbance + recovery;
        Clients clients(clientThreads, [&](int client) { sendBookings(daemons, record, outcome, client, until); });
        sleepMilliseconds(warmUp);
        if (isDisturbed())
            spoiling->spoilLengths(spoiltShare);
        auto disturbedUntil = nowMilliseconds() + disturbance;
        while (nowMilliseconds() < until) {
            sleepMilliseconds(restartDelay);
            if (nowMilliseconds() > disturbedUntil)
                spoiling->spoilLengths(0);
            if (auto restarted = daemons.restartEnded(); restarted > 0) {
                record.write(std::to_string(restarted) + " daemons have ended by themselves and are started again");
                ended += restarted;
            }
        }
        clients.join();
    }
    // A request counts if a sound server had begun it.
    auto runs = ServerStandin::soundRuns(spoiling->id());
    int lost = 0;
    for (const auto& id : outcome.unanswered) {
        if (!runs.contains(id))
            continue;
        ++lost;
        record.write("LOST: " + id + " was run by a sound server, and its kept channel was closed without an answer");
    }
    auto summary = "sent " + std::to_string(outcome.sent) + ", served " + std::to_string(outcome.served) + ", daemons that ended by themselves " + std::to_string(ended) + ", lost on kept channels " + std::to_string(lost);
    record.write(summary);
    std::cout << summary << "\n";
    if (outcome.served == 0)
        return 2;
    return lost > allowedUnanswered ? 1 : 0;
}
