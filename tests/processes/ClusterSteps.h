#pragma once

#include "processes/ProcessCluster.h"

#include <functional>
#include <map>
#include <set>

namespace chestnut::test {

/** A shape with fast engines and backend servers whose output lists their executions. */
ClusterShape fastShape(const std::string& name);

/** Runs the load generator in the background, with the workloads of both client accounts, through discovery. */
class BackgroundLoad {
public:
    /** Sends requests until finish() is called, for at most 180 s. */
    explicit BackgroundLoad(ProcessCluster&, double requestsPerSecond = 10, std::vector<std::string> flags = {});

    /** Stops sending, waits for all responses and returns the summary; an empty object if the generator hangs. */
    nlohmann::json finish();

private:
    std::unique_ptr<ChildProcess> m_process;
};

/** Returns the refusals in a summary whose pair of kind and outcome is not in the allowed set, one line each. */
std::string findUnexpectedRefusals(const nlohmann::json& summary, const std::set<std::string>& allowed);

/** One call of the orders service with an idempotency key, sent once. */
struct KeyedCall {
    std::string key;
    int status = 0; /**< 0 without a response */
    std::string kind; /**< "answered", or the error kind of the refusal */
    std::string outcome;
    bool isExpectedBody = false;
};

std::string newKey();
KeyedCall book(ProcessCluster&, size_t daemon, const std::string& key);

/** Sends calls with new keys from several threads to all daemons in turn, and runs `meanwhile` at the same time. */
std::vector<KeyedCall> bookConcurrently(ProcessCluster&, size_t calls, size_t threads, const std::function<void()>& meanwhile);

/** Counts the executions of each key on all backend servers, including those before a restart. */
std::map<std::string, int> countExecutions(ProcessCluster&);
/** Counts the calls that the backend servers have served since their last start. */
uint64_t countServedCalls(ProcessCluster&);

/** Returns the calls whose response contradicts their number of executions, one line each (H4, H5, H6). */
std::string findContradictions(ProcessCluster&, const std::vector<KeyedCall>&);

/** Result of a completion that is not streamed. Its text is compared with the output of the engine stand-in. */
struct CompletionResult {
    int status = 0;
    std::string kind;
    std::string outcome;
    bool isExpectedText = false;
};
CompletionResult complete(ProcessCluster&, size_t daemon, const std::string& prompt, uint32_t tokens = 20);

std::string kindOf(const HttpResponse&);
std::string outcomeOf(const HttpResponse&);

/** Returns the orders that an engine received, in the order of their arrival. */
std::vector<nlohmann::json> ordersOf(ProcessCluster&, size_t engine);
/** Returns the pairs of accepted orders that conflict: an older fencing number, sequence or revision after a newer one,
    or different contents under the same fencing number and sequence (H1, H3). */
std::string findConflictingOrders(ProcessCluster&, size_t engine);
bool isReadyInRole(ProcessCluster&, size_t engine, const std::string& role);
/** Returns the index of the daemon that holds the lease of the engine's group. */
std::optional<size_t> leaseHolderOf(ProcessCluster&, size_t engine, size_t queriedDaemon = 0);

/** Revision of the configuration that is in force on a daemon; 0 when it does not respond. */
uint64_t revisionOf(ProcessCluster&, size_t daemon);
bool allHaveRevision(ProcessCluster&, uint64_t revision);

bool setFaults(ProcessCluster&, const Endpoint&, const nlohmann::json&);

} // namespace chestnut::test
