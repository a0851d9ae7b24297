#pragma once

#include "kernel/timers/VirtualTimerService.h"
#include "peers/service/NngPeerService.h"

#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <thread>

namespace chestnut {

/** Peer services on loopback ports in one process. Each has its own io_context; a node is paused by not running it. */
class PeerFleet {
public:
    struct Node {
        asio::io_context context;
        VirtualTimerService timers { context };
        MemoryLog log;
        Metrics metrics;
        std::set<std::string> blockedAddresses; /**< requests to these addresses are not sent */
        bool isPaused = false;
        std::unique_ptr<NngPeerService> service;
    };

    explicit PeerFleet(std::vector<Endpoint> seeds = {})
        : m_seeds(std::move(seeds))
    {
    }

    Node& add(const std::string& id, Incarnation incarnation = 1000, const std::string& deployment = "test", ProtocolVersion version = {})
    {
        auto& node = *nodes.emplace_back(std::make_unique<Node>());
        open(node, id, incarnation, deployment, version);
        return node;
    }

    void open(Node& node, const std::string& id, Incarnation incarnation, const std::string& deployment = "test", ProtocolVersion version = {})
    {
        NngPeerOptions options { deployment, DaemonId(id), AvailabilityZone("a"), Region("r"), "127.0.0.1:1", { "127.0.0.1", 0 }, {}, incarnation, nodes.size(), version };
        node.service = std::make_unique<NngPeerService>(
            node.context, node.timers, node.log, node.metrics, options, [this] { return m_seeds; },
            [&node](const std::string& address) { return !node.blockedAddresses.contains(address); });
        node.service->start();
        m_seeds.push_back(*parseEndpoint(addressOf(node)));
    }

    static std::string addressOf(const Node& node) { return node.service->member(node.service->self())->peerAddress; }

    /** Runs all nodes until the condition holds, for at most 60 s. Virtual time passes ten times as fast as real time. */
    bool runUntil(const std::function<bool()>& condition)
    {
        for (auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60); std::chrono::steady_clock::now() < end;) {
            if (condition())
                return true;
            for (auto& node : nodes) {
                if (!node->isPaused)
                    node->timers.advance(std::chrono::milliseconds(10));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return false;
    }

    bool runUntilMemberCount(size_t count)
    {
        return runUntil([&] {
            return std::ranges::all_of(nodes, [&](const auto& node) { return !node->service || node->service->members().size() == count; });
        });
    }

    std::optional<Result<nlohmann::json>> call(Node& node, const std::string& receiver, const std::string& type, nlohmann::json body)
    {
        auto result = std::make_shared<std::optional<Result<nlohmann::json>>>();
        asio::co_spawn(node.context, node.service->call(DaemonId(receiver), type, std::move(body), std::chrono::seconds(2)),
            [result](const std::exception_ptr&, Result<nlohmann::json> value) { *result = std::move(value); });
        runUntil([&] { return result->has_value(); });
        return *result;
    }

    std::vector<std::unique_ptr<Node>> nodes;

private:
    std::vector<Endpoint> m_seeds;
};

} // namespace chestnut
