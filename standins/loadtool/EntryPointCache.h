#pragma once

#include "http/client/HttpClient.h"
#include "kernel/timers/TimerService.h"

#include <map>

namespace chestnut {

bool isLoopback(const Endpoint&);

/** Addresses from discovery, kept for their validity, for each account. */
class EntryPointCache {
public:
    EntryPointCache(HttpClient&, TimerService&, std::vector<Endpoint> seeds, std::string zone);

    struct Answer {
        std::vector<Endpoint> addresses;
        std::string keyPrefix;
        TimePoint validUntil;
    };

    /** Asks the known addresses and then the seeds, each once. Falls back to the seeds when none answers. */
    asio::awaitable<Answer> lookUp(std::string account);

private:
    asio::awaitable<std::optional<Answer>> ask(Endpoint, std::string account);

    HttpClient& m_client;
    TimerService& m_timers;
    std::vector<Endpoint> m_seeds;
    std::string m_zone;
    std::map<std::string, Answer> m_answers;
};

} // namespace chestnut
