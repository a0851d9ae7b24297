#pragma once

#include "Http.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace review {

/** False with TROUBLE=0 in the environment: the case then runs without its disruption. */
bool isDisturbed();

/** The id of a client attempt: sixteen hexadecimal digits. */
std::string requestId(int client, int number);

/** A POST request to the host of the manifests. */
std::string requestText(const std::string& target, const std::string& id, int timeLimitMilliseconds, const Headers&, const std::string& body);

/** A manifest with these routes and services, and the limits of a small deployment. */
nlohmann::json manifestOf(const nlohmann::json& route, const nlohmann::json& service);

/** A manifest with one route, /book/, whose requests may run once at most, to the plain service "desk". */
nlohmann::json bookingManifest();

/** Runs a function for each client in a thread of its own. */
class Clients {
public:
    Clients(int count, const std::function<void(int)>& run);
    void join();

private:
    std::vector<std::thread> m_threads;
};

} // namespace review
