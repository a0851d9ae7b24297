#pragma once

#include "http/client/HttpClient.h"
#include "kernel/timers/TimerService.h"

#include <map>

namespace chestnut {

bool isLoopback(const Endpoint&);

/** Caches the addresses from discovery for each account as long as they are valid. */
class EntryPointCache {
public:
    EntryPointCache(HttpClient&, TimerService&, std::vector<Endpoint> seeds, std::string zone);

    struct EntryPoints {
        std::vector<Endpoint> addresses;
        std::string keyPrefix;
        TimePoint validUntil;
    };

    /** Queries the cached addresses and then the seeds, each once. Returns the seeds when none responds. */
    asio::awaitable<EntryPoints> lookUp(std::string account);

private:
    asio::awaitable<std::optional<EntryPoints>> fetch(Endpoint, std::string account);

    HttpClient& m_client;
    TimerService& m_timers;
    std::vector<Endpoint> m_seeds;
    std::string m_zone;
    std::map<std::string, EntryPoints> m_cache;
};

} // namespace chestnut
