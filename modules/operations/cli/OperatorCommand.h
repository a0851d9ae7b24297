#pragma once

#include "http/client/HttpClient.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace chestnut {

/** Exit codes of the operators' command-line program. */
enum class ExitCode : int {
    Done = 0,
    Refused = 1, /**< a daemon rejected the call; nothing was changed */
    Usage = 2,
    Unreachable = 3, /**< no daemon responded, or none could reach the key-value service; nothing was changed */
    UnknownOutcome = 4, /**< the ticket may have been accepted; submit it again to find out */
};

/** A parsed command line of the operators' program. */
struct OperatorCommand {
    std::string name;
    std::string argument; /**< ticket text, ticket number or request id */
    std::vector<Endpoint> daemons;
    bool printsJson = false;
    Duration timeout = std::chrono::seconds(10); /**< of one call to one daemon */
    Duration followTimeout = std::chrono::seconds(900);
};

/** Whether the command exists, and whether it takes an argument. */
bool isOperatorCommand(const std::string& name);
bool takesArgument(const std::string& name);

/** Runs one command. The daemons are tried in order. After a failure, the next one is tried for calls that change nothing
    and also for a ticket, because submitting a ticket is idempotent. */
ExitCode runOperatorCommand(const OperatorCommand&, std::ostream& output, std::ostream& errors);

/** Formats a JSON response of the operators' interface for the terminal. */
std::string formatResponse(const std::string& command, const std::string& json);

} // namespace chestnut
