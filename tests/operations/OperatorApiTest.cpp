#include "control/FleetFixture.h"
#include "operations/operations.h"

#include <sstream>
#include <thread>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** The operators' interface of one daemon of a fleet in virtual time. */
struct ApiFixture {
    ApiFixture()
    {
        status.start();
        fleet.timers.advance(10s);
    }

    HttpResponse send(const std::string& method, const std::string& target, const std::string& body = "")
    {
        auto response = std::make_shared<std::optional<HttpResponse>>();
        asio::co_spawn(fleet.context, api.handle({ method, target, {}, body }), [response](std::exception_ptr, HttpResponse result) { *response = std::move(result); });
        fleet.timers.advance(3s);
        REQUIRE(response->has_value());
        return **response;
    }

    nlohmann::json json(const std::string& target) { return nlohmann::json::parse(send("GET", target).body); }

    FleetFixture fleet;
    ControlDaemon& daemon = fleet.addDaemon("d1");
    Metrics metrics;
    FleetStatusService status { fleet.context, daemon.orders, daemon.peers, fleet.timers };
    OperatorApi api { { fleet.tickets, daemon.configuration, status, daemon.fleet, daemon.peers, daemon.log, metrics, [this] { return daemon.configuration.isReady(); } } };
};

std::string roleTicket(int number, const std::string& role)
{
    return nlohmann::json { { "number", number }, { "engines", { { "e1", FleetFixture::engine(1, role) } } } }.dump();
}

} // namespace

// Guards against reporting a ticket as running before its engines have changed, or as stuck without a reason.
TEST_CASE("a ticket is accepted, in force and running in turn, and shows why it is not running yet")
{
    ApiFixture fixture;
    CHECK(fixture.send("POST", "/tickets/validate", roleTicket(2, "decode")).status == 200);
    fixture.fleet.engineAt(1).running = 1;
    CHECK(fixture.send("POST", "/tickets", roleTicket(2, "decode")).status == 200);
    auto ticket = fixture.json("/tickets/2");
    CHECK(ticket["state"] == "in_force");
    CHECK(ticket["in_force"]["on"] == 1);
    CHECK(ticket["pending"][0]["object"] == "engine/e1");
    CHECK(ticket["pending"][0]["reason"].get<std::string>().starts_with("draining"));
    fixture.fleet.engineAt(1).running = 0;
    fixture.fleet.timers.advance(30s);
    CHECK(fixture.json("/tickets/2")["state"] == "running");
    CHECK(fixture.send("POST", "/tickets", roleTicket(3, "prefill")).status == 200);
    CHECK(fixture.json("/tickets/2")["superseded"][0]["reason"] == "set by ticket 3");
    CHECK(fixture.json("/tickets")["tickets"].size() == 3);
}

// Guards against rejections from which an operator cannot see whether the ticket took effect.
TEST_CASE("rejections have the kind, the status and the outcome of the error table")
{
    ApiFixture fixture;
    CHECK(fixture.send("POST", "/tickets", "{").status == 400);
    CHECK(fixture.send("POST", "/tickets", roleTicket(2, "x")).status == 400);
    CHECK(fixture.send("POST", "/tickets", roleTicket(1, "decode")).status == 409);
    CHECK(fixture.send("GET", "/tickets/77").status == 404);
    CHECK(fixture.send("DELETE", "/tickets/1").status == 404);
    fixture.fleet.store.isDown = true;
    auto response = fixture.send("POST", "/tickets", roleTicket(2, "decode"));
    CHECK(response.status == 503);
    CHECK(nlohmann::json::parse(response.body)["error"]["outcome"] == "not_run");
}

// Guards against paths of the operators' interface that do not respond.
TEST_CASE("fleet, engines, explain, metrics and health are served")
{
    ApiFixture fixture;
    CHECK(fixture.json("/fleet")["members"].size() == 1);
    auto engines = fixture.json("/engines")["engines"];
    REQUIRE(engines.size() == 3);
    CHECK(engines[0]["phase"] == "running");
    CHECK(engines[0]["holder"] == "d1");
    CHECK(fixture.send("GET", "/explain/r1").status == 404);
    fixture.daemon.log.write(EventId::RequestRouted, { { "request", "r1" }, { "replica", "e1" } });
    CHECK(fixture.json("/explain/r1")["entries"].size() == 1);
    CHECK(fixture.send("GET", "/metrics").status == 200);
    CHECK(fixture.send("GET", "/ready").status == 200);
    CHECK(fixture.send("GET", "/live").status == 200);
}

// Guards against reporting "refused" or "done" to the operator when the outcome is unknown.
TEST_CASE("the operators' program tries the next daemon and reports an unknown outcome as such")
{
    asio::io_context context;
    MemoryLog log;
    int status = 200;
    std::string body = R"({"number": 2, "state": "accepted", "revision": 5})";
    auto handler = [&](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> { co_await writer.send({ status, {}, body }); };
    HttpServer server(context, log, { "127.0.0.1", 0 }, {}, handler, [](const Error& error) { return OperatorApi::makeErrorResponse(error); });
    server.start();
    std::thread thread([&context] { context.run(); });
    Endpoint closed { "127.0.0.1", 1 };
    OperatorCommand command { "submit", "{}", { closed, server.endpoint() }, false, 2s, 2s };
    std::ostringstream output;
    std::ostringstream errors;
    CHECK(runOperatorCommand(command, output, errors) == ExitCode::Done);
    CHECK(output.str() == "ticket 2: accepted at revision 5\n");
    auto refuse = [&](ErrorKind kind) {
        auto response = OperatorApi::makeErrorResponse(makeError(kind, "why"));
        status = response.status;
        body = response.body;
        return runOperatorCommand(command, output, errors);
    };
    CHECK(refuse(ErrorKind::TicketConflict) == ExitCode::Refused);
    CHECK(refuse(ErrorKind::PlatformUnavailable) == ExitCode::Unreachable);
    CHECK(refuse(ErrorKind::TicketUnknown) == ExitCode::UnknownOutcome);
    command.daemons = { server.endpoint(), closed };
    CHECK(refuse(ErrorKind::TicketUnknown) == ExitCode::UnknownOutcome);
    command.daemons = { closed };
    CHECK(runOperatorCommand(command, output, errors) == ExitCode::Unreachable);
    context.stop();
    thread.join();
}

// Guards against an interface and a program whose formats differ.
TEST_CASE("the listener serves the operators' program")
{
    ApiFixture fixture;
    fixture.api.listen(fixture.fleet.context, { "127.0.0.1", 0 });
    fixture.fleet.context.restart();
    std::thread thread([&fixture] { fixture.fleet.context.run(); });
    std::ostringstream output;
    std::ostringstream errors;
    OperatorCommand command { "fleet", "", { fixture.api.endpoint() }, false, 2s, 2s };
    CHECK(runOperatorCommand(command, output, errors) == ExitCode::Done);
    CHECK(output.str().starts_with("revision 1\ndaemon"));
    command.name = "explain";
    command.argument = "r9";
    CHECK(runOperatorCommand(command, output, errors) == ExitCode::Refused);
    CHECK(errors.str().find("has no record of decisions") != std::string::npos);
    fixture.fleet.context.stop();
    thread.join();
}
