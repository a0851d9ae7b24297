#pragma once

#include "decisions/membership/HeartbeatBudget.h"
#include "peers/service/NngPeerService.h"
#include "peers/transport/NngTransport.h"

#include <set>

namespace chestnut {

/** The implementation of the peer service: membership in NngPeerHeartbeats.cpp, messages in NngPeerMessages.cpp. */
class NngPeerService::State : public std::enable_shared_from_this<State> {
public:
    State(asio::io_context& context, TimerService& timers, Log& log, Metrics& metrics, NngPeerOptions options, Bootstrap bootstrap, LinkFilter linkFilter)
        : context(context)
        , timers(timers)
        , log(log)
        , metrics(metrics)
        , options(std::move(options))
        , bootstrap(std::move(bootstrap))
        , linkFilter(std::move(linkFilter))
        , m_transport(context, timers)
        , m_random(this->options.randomSeed)
    {
        table.self.id = this->options.id;
        table.self.incarnation = this->options.incarnation;
        table.self.counter = 1;
        table.self.zone = this->options.zone;
        table.self.region = this->options.region;
        table.self.callerAddress = this->options.callerAddress;
        table.self.peerAddress = formatEndpoint(this->options.listenAddress);
    }

    void start();
    void close();
    asio::awaitable<void> announceDeparture();
    void announceChange();
    asio::awaitable<Result<nlohmann::json>> call(DaemonId receiver, std::string type, nlohmann::json body, Duration timeout);

    asio::io_context& context;
    TimerService& timers;
    Log& log;
    Metrics& metrics;
    NngPeerOptions options;
    Bootstrap bootstrap;
    LinkFilter linkFilter;
    MemberTable table;
    std::map<std::string, PeerHandler> handlers;
    std::vector<HeartbeatExtension> extensions;
    std::vector<std::function<void(const MemberRecord&)>> subscribers;

private:
    static constexpr auto heartbeatType = "heartbeat";
    static constexpr Duration rejectionLogPeriod = std::chrono::minutes(1);

    void sendHeartbeats();
    void closeIdleSockets();
    void spawnHeartbeat(std::string address, std::optional<MemberRecord> removed = {});
    asio::awaitable<void> sendHeartbeat(std::string address, std::optional<MemberRecord> removed);
    /** Returns the seeds, bootstrap addresses and addresses of removed members, which may have returned, but no address of a
        current member. */
    std::vector<std::string> nonMemberAddresses() const;
    void contactNonMembers(size_t maximumContacts);
    nlohmann::json composeHeartbeatBody(const HeartbeatPayload* request);
    nlohmann::json composeExtensions(size_t& bytes);
    Result<void> acceptHeartbeat(const DaemonId& sender, const nlohmann::json& body, HeartbeatPayload& received);
    void resolveConflict(const MergeOutcome&);
    void publish(const std::vector<MemberRecord>& changes);
    asio::awaitable<Result<nlohmann::json>> exchange(std::string address, DaemonId receiver, std::string type, nlohmann::json body, Duration timeout);
    asio::awaitable<std::string> handleRequest(std::string request);
    asio::awaitable<Result<nlohmann::json>> dispatch(DaemonId sender, std::string type, nlohmann::json body);
    asio::awaitable<Result<nlohmann::json>> runHandler(DaemonId sender, std::string type, nlohmann::json body);
    std::optional<Error> rejectionReason(const PeerMessage&) const;
    void logRejection(const std::string& sender, const Error&);
    std::string encode(DaemonId receiver, std::string type, nlohmann::json body) const;
    std::string encodeReply(DaemonId receiver, Result<nlohmann::json> result) const;
    void countMessage(const char* direction, size_t bytes);

    NngTransport m_transport;
    std::mt19937_64 m_random;
    TimerSubscription m_heartbeats;
    HeartbeatBudget m_budget;
    std::set<std::string> m_heartbeatsInFlight;
    std::map<std::string, TimePoint> m_loggedRejections;
    uint32_t m_roundsWithStalledCloses = 0; /**< in a row */
    std::vector<TimePoint> m_renewals;
    size_t m_handledRequests = 0;
    uint64_t m_heartbeatRounds = 0;
    bool m_isClosed = false;
};

} // namespace chestnut
