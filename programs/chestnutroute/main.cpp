#include "operations/cli/OperatorCommand.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>

ABSL_FLAG(std::string, daemon, "127.0.0.1:8001", "operators' addresses of daemons, ip:port[,ip:port]; the next one is tried after a failure");
ABSL_FLAG(bool, json, false, "print the daemon's response as JSON");
ABSL_FLAG(std::string, timeout, "10s", "time limit of one call to one daemon, such as 500ms or 10s");
ABSL_FLAG(std::string, follow_timeout, "15m", "longest time that the command follow waits");

namespace {

using namespace chestnut;

constexpr auto version = "chestnutroute 0.1.0\n";
constexpr auto help = R"(Usage: chestnutroute [flags] <command> [argument]

Submits change tickets and shows the state of a chestnutroute deployment.

Commands:
  submit FILE       submits the ticket in the JSON file ('-' reads standard input)
  validate FILE     checks a ticket without submitting it
  show NUMBER       shows a ticket: accepted, in force on k of n daemons, running
  follow NUMBER     shows a ticket each time it changes, until it is running
  list              lists the newest accepted tickets
  fleet             lists daemons and backend servers
  engines           lists engines with their group's holder, phase and problem
  explain REQUEST   lists the decisions about a request, by its X-Request-Id

Flags:
  --daemon=ip:port[,ip:port]  operators' addresses of daemons; the next one is tried after a failure
                              (default 127.0.0.1:8001)
  --json                      print the daemon's response as JSON
  --timeout=10s               time limit of one call to one daemon
  --follow_timeout=15m        longest time that 'follow' waits
  --help, --version

Exit codes:
  0  done
  1  refused: a daemon rejected the call; nothing was changed
  2  usage: the command line or the file is wrong
  3  unreachable: no daemon responded, or none reached the key-value service; nothing was changed
  4  unknown outcome: the ticket may have been accepted (submit the same ticket again to find out),
     or 'follow' ended before the ticket was running
)";

int usageError(const std::string& message)
{
    std::cerr << "chestnutroute: " << message << "; see chestnutroute --help\n";
    return static_cast<int>(ExitCode::Usage);
}

/** The first flag that does not exist or lacks its value. Abseil would exit with code 1, which means refused here. */
std::optional<std::string> findInvalidFlag(const std::vector<std::string>& arguments)
{
    constexpr std::array<std::string_view, 3> valueFlags { "--daemon", "--timeout", "--follow_timeout" };
    for (size_t i = 0; i < arguments.size() && arguments[i] != "--"; ++i) {
        const auto& argument = arguments[i];
        if (argument == "-" || !argument.starts_with('-') || argument == "--json")
            continue;
        auto name = argument.substr(0, argument.find('='));
        bool hasValue = name.size() < argument.size();
        bool isKnown = std::ranges::find(valueFlags, name) != valueFlags.end();
        if (!isKnown || (!hasValue && i + 1 == arguments.size()))
            return argument;
        i += hasValue ? 0 : 1;
    }
    return std::nullopt;
}

std::vector<Endpoint> parseDaemons(const std::string& list)
{
    std::vector<Endpoint> daemons;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        auto endpoint = parseEndpoint(item);
        if (!endpoint)
            return {};
        daemons.push_back(*endpoint);
    }
    return daemons;
}

std::optional<std::string> readAll(const std::string& file)
{
    std::ifstream stream;
    if (file != "-") {
        stream.open(file, std::ios::binary);
        if (!stream)
            return std::nullopt;
    }
    std::istream& input = file == "-" ? std::cin : stream;
    return std::string(std::istreambuf_iterator<char>(input), {});
}

bool isPlainArgument(const std::string& text)
{
    return std::ranges::all_of(text, [](char c) { return c > ' ' && c != '/' && c != '?' && c != '#' && c < 0x7f; });
}

int runMain(const std::vector<char*>& positional)
{
    OperatorCommand command;
    command.daemons = parseDaemons(absl::GetFlag(FLAGS_daemon));
    command.printsJson = absl::GetFlag(FLAGS_json);
    auto timeout = parseDuration(absl::GetFlag(FLAGS_timeout));
    auto followTimeout = parseDuration(absl::GetFlag(FLAGS_follow_timeout));
    if (command.daemons.empty())
        return usageError("--daemon takes IP addresses with ports");
    if (!timeout || !followTimeout || *timeout <= Duration::zero())
        return usageError("--timeout and --follow_timeout take a duration such as 10s");
    command.timeout = *timeout;
    command.followTimeout = *followTimeout;
    if (positional.size() < 2)
        return usageError("no command given");
    command.name = positional[1];
    if (!isOperatorCommand(command.name))
        return usageError("there is no command " + command.name);
    if (positional.size() != (takesArgument(command.name) ? 3U : 2U))
        return usageError("wrong number of arguments for " + command.name);
    if (takesArgument(command.name))
        command.argument = positional[2];
    if (command.name == "submit" || command.name == "validate") {
        auto text = readAll(command.argument);
        if (!text)
            return usageError("cannot read " + command.argument);
        command.argument = std::move(*text);
    } else if (!isPlainArgument(command.argument)) {
        return usageError("the argument has characters that are not allowed");
    }
    return static_cast<int>(runOperatorCommand(command, std::cout, std::cerr));
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (std::ranges::find(arguments, "--help") != arguments.end()) {
        std::cout << help;
        return 0;
    }
    if (std::ranges::find(arguments, "--version") != arguments.end()) {
        std::cout << version;
        return 0;
    }
    if (auto flag = findInvalidFlag(arguments))
        return usageError("unknown flag, or a flag without its value: " + *flag);
    absl::SetProgramUsageMessage(help);
    return runMain(absl::ParseCommandLine(argc, argv));
}
