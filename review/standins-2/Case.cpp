#include "Case.h"

#include <cstdio>
#include <cstdlib>

namespace review {

using nlohmann::json;

bool isDisturbed()
{
    const auto* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

std::string requestId(int client, int number)
{
    constexpr unsigned prefix = 0xa0000000U;
    char text[17];
    std::snprintf(text, sizeof(text), "%08x%08x", prefix + static_cast<unsigned>(client), static_cast<unsigned>(number));
    return text;
}

std::string requestText(const std::string& target, const std::string& id, int timeLimitMilliseconds, const Headers& headers, const std::string& body)
{
    auto text = "POST " + target + " HTTP/1.1\r\nHost: review.example\r\nX-Chestnutroute-Request-Id: " + id + "\r\nX-Chestnutroute-Deadline-Ms: " + std::to_string(timeLimitMilliseconds) + "\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

json manifestOf(const json& route, const json& service)
{
    json limits { { "max_header_bytes", 16'384 }, { "max_body_bytes", 4'194'304 }, { "header_timeout_ms", 3'000 }, { "idle_timeout_ms", 15'000 } };
    return { { "version", 1 }, { "routes", json::array({ route }) }, { "services", json::array({ service }) }, { "limits", limits } };
}

json bookingManifest()
{
    json route { { "name", "r-book" }, { "host", "review.example" }, { "prefix", "/book/" }, { "kind", "non_idempotent" }, { "timeout_ms", 800 }, { "target_latency_ms", 300 }, { "priority", 2 }, { "service", "desk" }, { "max_attempts", 1 } };
    json service { { "name", "desk" }, { "health_path", "/health" }, { "max_conns", 290 }, { "protocol", "h1" }, { "tls", false } };
    return manifestOf(route, service);
}

Clients::Clients(int count, const std::function<void(int)>& run)
{
    m_threads.reserve(static_cast<size_t>(count));
    for (int client = 0; client < count; ++client)
        m_threads.emplace_back(run, client);
}

void Clients::join()
{
    for (auto& thread : m_threads)
        thread.join();
}

} // namespace review
