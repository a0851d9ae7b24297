#include "processes/ClusterSteps.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace {

/** Connections that have sent a part of a request and stay open. */
class HalfOpenConnections {
public:
    HalfOpenConnections(const Endpoint& endpoint, size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            open(endpoint, i % 2 == 0 ? "POST /v1/compl" : "POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{\"mod");
    }
    HalfOpenConnections(const HalfOpenConnections&) = delete;
    HalfOpenConnections& operator=(const HalfOpenConnections&) = delete;
    ~HalfOpenConnections()
    {
        for (int descriptor : m_descriptors)
            close(descriptor);
    }

    size_t count() const { return m_descriptors.size(); }

    /** Whether the server has answered or closed each connection. */
    bool areAllEnded() const
    {
        char buffer = 0;
        for (int descriptor : m_descriptors) {
            if (recv(descriptor, &buffer, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return false;
        }
        return true;
    }

private:
    void open(const Endpoint& endpoint, std::string_view part)
    {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        bool isSent = connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0
            && send(descriptor, part.data(), part.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(part.size());
        if (isSent)
            m_descriptors.push_back(descriptor);
        else
            close(descriptor);
    }

    std::vector<int> m_descriptors;
};

Result<HttpResponse> post(ProcessCluster& cluster, const std::string& target, std::string body)
{
    return cluster.send(cluster.callers(0), { "POST", target, { { "Content-Type", "application/json" } }, std::move(body) });
}

} // namespace

// Guards against requests that are lost, answered twice or answered wrongly while nothing fails (H4), and against bad
// input and slow connections of some callers that keep others from being served.
TEST_CASE("requests through discovery are answered once, also during bad input and half-open connections")
{
    ProcessCluster cluster(fastShape("traffic"));
    REQUIRE(cluster.start());
    BackgroundLoad load(cluster);

    constexpr size_t connectionsPerDaemon = 100;
    std::vector<std::unique_ptr<HalfOpenConnections>> halfOpen;
    for (size_t i = 0; i < 3; ++i) {
        halfOpen.push_back(std::make_unique<HalfOpenConnections>(cluster.callers(i), connectionsPerDaemon));
        CHECK(halfOpen.back()->count() == connectionsPerDaemon);
    }

    auto broken = post(cluster, "/v1/completions", "{\"model\":");
    REQUIRE(broken.has_value());
    CHECK(broken->status == 400);
    CHECK(kindOf(*broken) == "bad_json");
    CHECK(outcomeOf(*broken) == "not_run");

    auto unknown = post(cluster, "/v1/completions", R"({"model":"none","prompt":"a","max_tokens":4})");
    REQUIRE(unknown.has_value());
    CHECK(unknown->status == 404);
    CHECK(kindOf(*unknown) == "unknown_model");
    CHECK(outcomeOf(*unknown) == "not_run");

    constexpr size_t oversized = 5 << 20;
    auto large = post(cluster, "/v1/completions", std::string(oversized, 'x'));
    REQUIRE(large.has_value());
    CHECK(large->status == 413);
    CHECK(kindOf(*large) == "body_too_large");

    auto keyless = post(cluster, "/services/orders/book", "{}");
    REQUIRE(keyless.has_value());
    CHECK(keyless->status == 400);
    CHECK(outcomeOf(*keyless) == "not_run");

    for (size_t i = 0; i < cluster.daemonCount(); ++i) {
        CHECK(complete(cluster, i, "beside half-open connections " + std::to_string(i)).isExpectedText);
        CHECK(book(cluster, i, newKey()).kind == "answered");
    }
    CHECK(eventually([&] { return halfOpen[0]->areAllEnded() && halfOpen[1]->areAllEnded() && halfOpen[2]->areAllEnded(); }));

    auto summary = load.finish();
    INFO(summary.dump(1));
    CHECK(summary.value("sent", 0) > 20);
    CHECK(summary["answered_once"] == summary["sent"]);
    CHECK(summary["wrong_answers"] == 0);
    CHECK(summary["duplicate_tokens"] == 0);
    CHECK(findContradictions(cluster, {}) == "");
}

// Guards against a daemon that starts with invalid settings or reports only some of the faults.
TEST_CASE("a check of the settings lists all faults and exits 2")
{
    ClusterShape shape;
    shape.name = "settings";
    ProcessCluster cluster(shape);
    auto path = cluster.folder() + "/bad.ini";
    std::ofstream(path) << "[daemon]\nid = d 0\ndeployment = demo\nzone = a\nshutdown_timeout = soon\n"
                        << "[listen]\ncallers = nowhere\noperators = 127.0.0.1:1\npeers = 127.0.0.1:2\n[limits]\nmaximum_connections = 0\nno_such = 1\n";
    for (const auto& flags : { std::vector<std::string> { "--config=" + path, "--check_config" }, { "--config=" + path } }) {
        auto run = cluster.runProgram("programs/chestnutrouted/chestnutrouted", flags);
        INFO(run.output);
        CHECK(run.exitCode == 2);
        for (const auto* setting : { "daemon.id", "daemon.region", "daemon.shutdown_timeout", "listen.callers", "limits.maximum_connections", "limits.no_such" })
            CHECK_MESSAGE(run.output.find(setting) != std::string::npos, setting);
    }
}
