#include "operations/api/OperatorApi.h"

#include <array>
#include <charconv>

namespace chestnut {

namespace {

    using nlohmann::json;

    constexpr std::string_view ticketsPath = "/tickets/";
    constexpr std::string_view explainPath = "/explain/";
    constexpr int defaultRetryAfterSeconds = 1;

    HttpResponse jsonResponse(const json& body, int status = 200)
    {
        // Texts from engines and callers may contain invalid UTF-8, for which dump() would throw by default.
        return { status, { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n" };
    }

    std::string_view stateName(MemberState state)
    {
        constexpr std::array<std::string_view, 5> names { "joining", "ready", "leaving", "suspected", "dropped" };
        return names[static_cast<size_t>(state)];
    }

    json memberToJson(const MemberRecord& member)
    {
        return { { "daemon", member.id.value() }, { "incarnation", member.incarnation }, { "state", stateName(member.state) }, { "zone", member.zone.value() },
            { "region", member.region.value() }, { "caller_address", member.callerAddress }, { "peer_address", member.peerAddress },
            { "revision", member.revision }, { "load_permille", member.loadPermille } };
    }

    json pendingToJson(const std::vector<PendingObject>& objects)
    {
        auto list = json::array();
        for (const auto& object : objects)
            list.push_back({ { "object", object.object }, { "reason", object.reason } });
        return list;
    }

    json progressToJson(const TicketProgress& progress)
    {
        return { { "state", progress.state() }, { "in_force", { { "on", progress.inForce }, { "of", progress.members } } },
            { "pending", pendingToJson(progress.pending) }, { "superseded", pendingToJson(progress.superseded) } };
    }

    std::optional<TicketNumber> parseNumber(const std::string& text)
    {
        TicketNumber number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

} // namespace

OperatorApi::OperatorApi(OperatorDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void OperatorApi::listen(asio::io_context& context, Endpoint endpoint)
{
    auto handler = [this](HttpRequest request, HttpResponseWriter& writer) { return serve(std::move(request), writer); };
    m_server = std::make_unique<HttpServer>(context, m_dependencies.log, std::move(endpoint), HttpServerLimits {}, handler, [](const Error& error) { return makeErrorResponse(error); });
    m_server->start();
}

asio::awaitable<void> OperatorApi::stop()
{
    if (m_server)
        m_server->stopAccepting();
    co_return;
}

HttpResponse OperatorApi::makeErrorResponse(const Error& error, std::string_view requestId)
{
    const auto& description = describe(error.kind);
    json body { { "error", { { "kind", description.name }, { "outcome", nameOf(description.outcome) }, { "message", error.detail }, { "request_id", requestId } } } };
    auto response = jsonResponse(body, description.status);
    if (description.sendsRetryAfter) {
        auto seconds = std::max<int64_t>(defaultRetryAfterSeconds, error.retryAfter.count() / 1000);
        response.headers.set("Retry-After", std::to_string(seconds));
    }
    return response;
}

asio::awaitable<void> OperatorApi::serve(HttpRequest request, HttpResponseWriter& writer)
{
    auto response = co_await handle(std::move(request));
    co_await writer.send(std::move(response));
}

asio::awaitable<HttpResponse> OperatorApi::handle(HttpRequest request)
{
    std::string requestId(request.headers.value("X-Request-Id"));
    auto method = request.method;
    std::string path(request.path());
    auto result = co_await dispatch(std::move(request));
    auto response = result ? std::move(*result) : makeErrorResponse(result.error(), requestId);
    m_dependencies.log.write(EventId::OperatorCallAnswered, { { "method", method }, { "path", path }, { "status", response.status } });
    co_return response;
}

asio::awaitable<Result<HttpResponse>> OperatorApi::dispatch(HttpRequest request)
{
    std::string path(request.path());
    if (request.method == "POST" && path == "/tickets")
        co_return co_await submit(std::move(request.body));
    if (request.method == "POST" && path == "/tickets/validate")
        co_return co_await validate(std::move(request.body));
    if (request.method != "GET")
        co_return makeError(ErrorKind::NotFound, "there is no " + request.method + " " + path);
    if (path == "/tickets")
        co_return co_await listTickets();
    if (path.starts_with(ticketsPath))
        co_return co_await showTicket(path.substr(ticketsPath.size()));
    if (path == "/fleet")
        co_return showFleet();
    if (path == "/engines")
        co_return co_await showEngines();
    if (path.starts_with(explainPath))
        co_return explain(path.substr(explainPath.size()));
    if (path == "/metrics")
        co_return HttpResponse { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_dependencies.metrics.expose() };
    if (path == "/live")
        co_return jsonResponse({ { "live", true } });
    if (path == "/ready" && m_dependencies.isReady())
        co_return jsonResponse({ { "ready", true } });
    if (path == "/ready")
        co_return makeError(ErrorKind::NotReady, "the daemon has no configuration to serve, or it is shutting down");
    co_return makeError(ErrorKind::NotFound, "there is no " + path);
}

asio::awaitable<Result<HttpResponse>> OperatorApi::submit(std::string body)
{
    auto receipt = co_await m_dependencies.tickets.submit(std::move(body));
    if (!receipt)
        co_return receipt.error();
    co_return jsonResponse({ { "number", receipt->number }, { "state", "accepted" }, { "revision", receipt->revision }, { "repeat", receipt->wasAlreadyAccepted } });
}

asio::awaitable<Result<HttpResponse>> OperatorApi::validate(std::string body)
{
    auto revision = co_await m_dependencies.tickets.validate(std::move(body));
    if (!revision)
        co_return revision.error();
    co_return jsonResponse({ { "valid", true }, { "revision", *revision } });
}

asio::awaitable<Result<HttpResponse>> OperatorApi::listTickets()
{
    auto current = m_dependencies.configuration.current();
    if (!current)
        co_return makeError(ErrorKind::NotReady, "this daemon has no configuration");
    auto members = m_dependencies.peers.members();
    auto list = json::array();
    for (const auto& ticket : current->recentTickets) {
        auto progress = ticketProgress(*current, {}, ticket.revision, members, {});
        list.push_back({ { "number", ticket.number }, { "revision", ticket.revision }, { "content", toHex(ticket.content) },
            { "in_force", { { "on", progress.inForce }, { "of", progress.members } } } });
    }
    co_return jsonResponse({ { "revision", current->revision }, { "tickets", list } });
}

asio::awaitable<Result<HttpResponse>> OperatorApi::showTicket(std::string number)
{
    auto parsed = parseNumber(number);
    if (!parsed)
        co_return makeError(ErrorKind::BadRequest, "the ticket number must be a whole number");
    auto stored = co_await m_dependencies.tickets.find(*parsed);
    if (!stored)
        co_return stored.error();
    auto status = co_await m_dependencies.status.collect();
    auto current = m_dependencies.configuration.current();
    if (!current)
        co_return makeError(ErrorKind::NotReady, "this daemon has no configuration");
    auto body = progressToJson(ticketProgress(*current, stored->ticket, stored->revision, m_dependencies.peers.members(), status.reported()));
    body["number"] = *parsed;
    body["revision"] = stored->revision;
    body["ticket"] = ticketToJson(stored->ticket);
    body["unreachable"] = status.unreachable;
    co_return jsonResponse(body);
}

HttpResponse OperatorApi::showFleet() const
{
    auto current = m_dependencies.configuration.current();
    auto members = json::array();
    for (const auto& member : m_dependencies.peers.members())
        members.push_back(memberToJson(member));
    auto replicas = json::array();
    if (current) {
        for (const auto& [id, server] : current->backendServers) {
            auto object = backendServerToJson(server);
            object["id"] = id;
            object["accepts_new_work"] = m_dependencies.fleet.acceptsNewWork(ReplicaId(id));
            replicas.push_back(std::move(object));
        }
    }
    return jsonResponse({ { "daemon", m_dependencies.peers.self().value() }, { "revision", current ? current->revision : 0 }, { "members", members }, { "backend_servers", replicas } });
}

asio::awaitable<Result<HttpResponse>> OperatorApi::showEngines()
{
    auto status = co_await m_dependencies.status.collect();
    auto current = m_dependencies.configuration.current();
    if (!current)
        co_return makeError(ErrorKind::NotReady, "this daemon has no configuration");
    std::map<std::string, json> reported;
    for (auto& engine : status.engines)
        reported[engine.value("engine", "")] = engine;
    auto list = json::array();
    for (const auto& [id, engine] : current->engines) {
        json object { { "engine", id }, { "group", groupOf(engine).value() }, { "holder", "" }, { "phase", "unknown" }, { "problem", "no reachable daemon holds the lease of its group" } };
        if (auto found = reported.find(id); found != reported.end())
            object = found->second;
        object["membership"] = nameOf(engine.membership);
        object["accepts_new_work"] = m_dependencies.fleet.acceptsNewWork(ReplicaId(id));
        object["slow_start_share"] = m_dependencies.fleet.slowStartShare(ReplicaId(id));
        list.push_back(std::move(object));
    }
    co_return jsonResponse({ { "revision", current->revision }, { "engines", list }, { "unreachable", status.unreachable } });
}

Result<HttpResponse> OperatorApi::explain(const std::string& request) const
{
    auto entries = m_dependencies.log.recent("request", request);
    if (entries.empty())
        return makeError(ErrorKind::NotFound, "this daemon has no record of decisions about request " + request);
    auto list = json::array();
    for (const auto& entry : entries)
        list.push_back(json::parse(formatJson(entry), nullptr, false));
    return jsonResponse({ { "daemon", m_dependencies.peers.self().value() }, { "request", request }, { "entries", list } });
}

} // namespace chestnut
