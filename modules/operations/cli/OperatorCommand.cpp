#include "operations/cli/OperatorCommand.h"

#include "base/errors/ErrorKind.h"
#include "kernel/timers/AsioTimerService.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace chestnut {

namespace {

    using nlohmann::json;

    constexpr Duration followPeriod = std::chrono::seconds(1);

    struct CommandSpec {
        std::string_view name;
        std::string_view method;
        std::string_view path; /**< an argument is appended to a path that ends with a slash */
        bool takesArgument;
    };

    constexpr std::array<CommandSpec, 8> commands { {
        { "submit", "POST", "/tickets", true },
        { "validate", "POST", "/tickets/validate", true },
        { "show", "GET", "/tickets/", true },
        { "follow", "GET", "/tickets/", true },
        { "list", "GET", "/tickets", false },
        { "fleet", "GET", "/fleet", false },
        { "engines", "GET", "/engines", false },
        { "explain", "GET", "/explain/", true },
    } };

    const CommandSpec* findCommand(const std::string& name)
    {
        const auto* spec = std::ranges::find(commands, name, &CommandSpec::name);
        return spec == commands.end() ? nullptr : spec;
    }

    HttpRequest requestOf(const OperatorCommand& command)
    {
        const auto& spec = *findCommand(command.name);
        HttpRequest request;
        request.method = spec.method;
        request.target = spec.path;
        if (spec.path.ends_with('/'))
            request.target += command.argument;
        else if (spec.takesArgument)
            request.body = command.argument;
        if (!request.body.empty())
            request.headers.set("Content-Type", "application/json");
        return request;
    }

    /** The combined result of the calls to the daemons tried so far. */
    struct CommandOutcome {
        ExitCode code = ExitCode::Unreachable;
        std::string body;
        std::string message;
        bool isFinal = false;
    };

    json errorOf(const std::string& body)
    {
        auto document = json::parse(body, nullptr, false);
        if (!document.is_object() || !document.contains("error") || !document["error"].is_object())
            return json::object();
        return document["error"];
    }

    CommandOutcome outcomeFor(const OperatorCommand& command, const HttpResponse& response)
    {
        if (response.status == 200)
            return { ExitCode::Done, response.body, "", true };
        auto error = errorOf(response.body);
        auto message = error.value("kind", "status " + std::to_string(response.status)) + ": " + error.value("message", "");
        bool isUnknown = error.value("outcome", "") != "not_run" && command.name == "submit";
        // Another daemon may reach the key-value service, be ready, or have the request in its log.
        bool mayDifferElsewhere = response.status >= 500 || command.name == "explain";
        if (isUnknown)
            return { ExitCode::UnknownOutcome, response.body, message, false };
        if (response.status >= 500)
            return { ExitCode::Unreachable, response.body, message, false };
        return { ExitCode::Refused, response.body, message, !mayDifferElsewhere };
    }

    CommandOutcome outcomeFor(const OperatorCommand& command, const Error& error)
    {
        auto code = command.name == "submit" && error.kind != ErrorKind::ConnectFailed ? ExitCode::UnknownOutcome : ExitCode::Unreachable;
        return { code, "", std::string(describe(error.kind).name) + ": " + error.detail, false };
    }

    /** An unknown outcome is replaced only by a final one. */
    CommandOutcome combineOutcomes(CommandOutcome before, CommandOutcome next)
    {
        if (next.isFinal || before.message.empty())
            return next;
        next.message = before.message + "\n" + next.message;
        before.message = next.message;
        if (before.code == ExitCode::UnknownOutcome)
            return before;
        return next.code == ExitCode::Unreachable && before.code == ExitCode::Refused ? before : next;
    }

    asio::awaitable<CommandOutcome> tryDaemons(HttpClient& client, OperatorCommand command)
    {
        CommandOutcome outcome;
        HttpTimeouts timeouts;
        timeouts.read = command.timeout;
        for (const auto& daemon : command.daemons) {
            auto response = co_await client.exchange(daemon, requestOf(command), timeouts);
            auto next = response ? outcomeFor(command, *response) : outcomeFor(command, response.error());
            next.message = next.message.empty() ? "" : formatEndpoint(daemon) + ": " + next.message;
            outcome = combineOutcomes(std::move(outcome), std::move(next));
            if (outcome.isFinal)
                break;
        }
        co_return outcome;
    }

    bool isRunning(const CommandOutcome& outcome)
    {
        auto document = json::parse(outcome.body, nullptr, false);
        return document.is_object() && document.value("state", "") == "running";
    }

    asio::awaitable<CommandOutcome> runCommand(HttpClient& client, TimerService& timers, OperatorCommand command, std::ostream& output)
    {
        auto end = timers.now() + command.followTimeout;
        std::string lastPrinted;
        while (true) {
            auto outcome = co_await tryDaemons(client, command);
            bool isFollowing = command.name == "follow" && outcome.code != ExitCode::Refused && timers.now() < end;
            if (!isFollowing || (outcome.code == ExitCode::Done && isRunning(outcome)))
                co_return outcome;
            if (outcome.code == ExitCode::Done && outcome.body != lastPrinted) {
                lastPrinted = outcome.body;
                output << (command.printsJson ? lastPrinted : formatResponse(command.name, lastPrinted)) << std::flush;
            }
            co_await timers.sleep(followPeriod);
        }
    }

    std::string cell(const json& object, const char* key)
    {
        auto found = object.find(key);
        if (found == object.end() || found->is_null())
            return "-";
        if (found->is_string())
            return found->get_ref<const std::string&>().empty() ? "-" : found->get<std::string>();
        return found->dump();
    }

    /** A table with one row for each object; columns are as wide as their longest cell. */
    std::string table(const json& rows, const std::vector<const char*>& columns)
    {
        std::vector<std::vector<std::string>> cells;
        cells.emplace_back(columns.begin(), columns.end());
        for (const auto& row : rows) {
            auto& line = cells.emplace_back();
            for (const auto* column : columns)
                line.push_back(cell(row, column));
        }
        std::string text;
        for (const auto& line : cells) {
            for (size_t i = 0; i < line.size(); ++i) {
                size_t width = 0;
                for (const auto& other : cells)
                    width = std::max(width, other[i].size());
                text += line[i];
                text += i + 1 < line.size() ? std::string(width - line[i].size() + 2, ' ') : "\n";
            }
        }
        return text;
    }

    std::string ticketText(const json& ticket)
    {
        std::ostringstream text;
        text << "ticket " << cell(ticket, "number") << ": " << cell(ticket, "state") << " at revision " << cell(ticket, "revision");
        if (ticket.contains("in_force"))
            text << ", in force on " << cell(ticket["in_force"], "on") << " of " << cell(ticket["in_force"], "of") << " daemons";
        text << "\n";
        for (const auto* list : { "pending", "superseded" }) {
            for (const auto& object : ticket.value(list, json::array()))
                text << "  " << list << " " << cell(object, "object") << ": " << cell(object, "reason") << "\n";
        }
        return text.str();
    }

    std::string unreachableText(const json& document)
    {
        std::string text;
        for (const auto& member : document.value("unreachable", json::array()))
            text += "no response from daemon " + member.get<std::string>() + "\n";
        return text;
    }

} // namespace

bool isOperatorCommand(const std::string& name)
{
    return findCommand(name) != nullptr;
}

bool takesArgument(const std::string& name)
{
    const auto* spec = findCommand(name);
    return spec && spec->takesArgument;
}

std::string formatResponse(const std::string& command, const std::string& text)
{
    auto document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return text;
    if (command == "submit" || command == "show" || command == "follow")
        return ticketText(document);
    if (command == "validate")
        return "valid against revision " + cell(document, "revision") + "\n";
    if (command == "list") {
        std::string lines;
        for (const auto& ticket : document.value("tickets", json::array()))
            lines += "ticket " + cell(ticket, "number") + " at revision " + cell(ticket, "revision") + "\n";
        return lines;
    }
    if (command == "fleet") {
        return "revision " + cell(document, "revision") + "\n"
            + table(document.value("members", json::array()), { "daemon", "state", "zone", "region", "revision", "load_permille", "caller_address" })
            + table(document.value("backend_servers", json::array()), { "id", "service", "zone", "membership", "accepts_new_work", "address" });
    }
    if (command == "engines")
        return table(document.value("engines", json::array()), { "engine", "group", "holder", "phase", "accepts_new_work", "problem" }) + unreachableText(document);
    std::string lines;
    for (const auto& entry : document.value("entries", json::array()))
        lines += entry.dump() + "\n";
    return lines;
}

ExitCode runOperatorCommand(const OperatorCommand& command, std::ostream& output, std::ostream& errors)
{
    asio::io_context context;
    AsioTimerService timers(context);
    HttpClient client(context, timers);
    CommandOutcome outcome;
    asio::co_spawn(context, runCommand(client, timers, command, output), [&outcome, &context](std::exception_ptr exception, CommandOutcome result) {
        outcome = exception ? CommandOutcome { ExitCode::Unreachable, "", "internal error", true } : std::move(result);
        context.stop();
    });
    context.run();
    if (outcome.code == ExitCode::Done) {
        bool isUnfinished = command.name == "follow" && !isRunning(outcome);
        output << (command.printsJson ? outcome.body : formatResponse(command.name, outcome.body));
        if (isUnfinished)
            errors << "the ticket is not running yet\n";
        return isUnfinished ? ExitCode::UnknownOutcome : ExitCode::Done;
    }
    if (command.printsJson && !outcome.body.empty())
        output << outcome.body;
    errors << outcome.message << "\n";
    return outcome.code;
}

} // namespace chestnut
