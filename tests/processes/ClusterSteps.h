#pragma once

#include "processes/ProcessCluster.h"

#include <functional>
#include <map>
#include <set>

namespace chestnut::test {

/** A shape with fast engines and backend servers whose output lists their executions. */
ClusterShape fastShape(const std::string& name);

/** The load generator in the background, with both customers' kinds of work through discovery. */
class BackgroundLoad {
public:
    /** Sends until finish is called, but for at most 180 s. */
    explicit BackgroundLoad(ProcessCluster&, double requestsPerSecond = 10, std::vector<std::string> flags = {});

    /** Ends the sending, waits for all answers and returns the summary; an empty object when the generator hangs. */
    nlohmann::json finish();

private:
    std::unique_ptr<ChildProcess> m_process;
};

/** Kind and outcome pairs of the refusals in a summary that are not in the allowed set. */
std::string otherRefusals(const nlohmann::json& summary, const std::set<std::string>& allowed);

/** One call of the orders service with an idempotency key, sent once. */
struct KeyedCall {
    std::string key;
    int status = 0; /**< 0 without an answer */
    std::string kind; /**< "answered", or of the refusal */
    std::string outcome;
    bool isRightBody = false;
};

std::string newKey();
KeyedCall book(ProcessCluster&, size_t daemon, const std::string& key);

/** Sends calls with new keys from several threads, spread over all daemons. */
std::vector<KeyedCall> bookMany(ProcessCluster&, size_t calls, size_t threads, const std::function<void()>& meanwhile);

/** Executions of each key over all backend servers and all their runs. */
std::map<std::string, int> executions(ProcessCluster&);
/** Calls served by all backend servers in their present run. */
uint64_t servedCalls(ProcessCluster&);

/** The calls whose answer and number of executions contradict each other, one line each (H4, H5, H6). */
std::string contradictions(ProcessCluster&, const std::vector<KeyedCall>&);

/** A completion that is not streamed; the text is checked against the engine double's. */
struct CompletionAnswer {
    int status = 0;
    std::string kind;
    std::string outcome;
    bool isRightText = false;
};
CompletionAnswer complete(ProcessCluster&, size_t daemon, const std::string& prompt, uint32_t tokens = 20);

std::string kindOf(const HttpResponse&);
std::string outcomeOf(const HttpResponse&);

/** Orders that an engine received, in the order of their arrival. */
std::vector<nlohmann::json> ordersOf(ProcessCluster&, size_t engine);
/** The pairs of accepted orders that conflict: an older authority or revision after a newer one, or different contents
    under the same fencing number and sequence (H1, H3). */
std::string conflictingOrders(ProcessCluster&, size_t engine);
/** Whether the engine is ready in a role. */
bool runsRole(ProcessCluster&, size_t engine, const std::string& role);
/** Index of the daemon that holds the engine's group. */
std::optional<size_t> holderOf(ProcessCluster&, size_t engine, size_t askedDaemon = 0);

/** Revision of the configuration that is in force on a daemon; 0 when it does not answer. */
uint64_t revisionOf(ProcessCluster&, size_t daemon);
bool allHaveRevision(ProcessCluster&, uint64_t revision);

bool setFaults(ProcessCluster&, const Endpoint&, const nlohmann::json&);

} // namespace chestnut::test
