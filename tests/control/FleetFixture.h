#pragma once

#include "control/configuration/StoredConfigurationService.h"
#include "control/Fakes.h"
#include "control/orders/OrderService.h"
#include "control/tickets/TicketService.h"

#include <doctest/doctest.h>

namespace chestnut {

/** One daemon with all services of the control module. */
struct ControlDaemon {
    ControlDaemon(asio::io_context& context, MemoryKeyValueStore& sharedStore, FakeEngineClient& engines, FakeVmList& vms, PeerNetwork& network,
        VirtualTimerService& timers, const std::string& id)
        : store(sharedStore)
        , peers(network, { DaemonId(id), 1, 0, MemberState::Ready, AvailabilityZone("a"), Region("r"), "", "", 0, 0 })
        , configuration(context, store, peers, timers, log)
        , fleet(context, configuration, vms, store, peers, timers, log)
        , leases(context, store, peers, configuration, timers, log)
        , orders(context, { store, engines, peers, configuration, leases, fleet, timers, log })
    {
        configuration.start();
        fleet.start();
        leases.start();
        orders.start();
    }

    bool holds(const std::string& group) const { return leases.leaseOf(EngineGroupId(group)).has_value(); }

    MemoryLog log;
    KeyValueStore& store;
    FakePeerService peers;
    StoredConfigurationService configuration;
    ReplicaFleet fleet;
    LeaseService leases;
    OrderService orders;
};

/** A fleet of engines e1, e2, ... in zone a with two models and any number of daemons, in virtual time. */
struct FleetFixture {
    explicit FleetFixture(int engineCount = 3)
    {
        nlohmann::json ticket { { "number", 1 }, { "models", { { "m1", { { "version", "v1" } } }, { "m2", { { "version", "v1" } } } } } };
        for (int i = 1; i <= engineCount; ++i) {
            ticket["engines"]["e" + std::to_string(i)] = engine(i);
            auto& state = engineAt(i).state;
            state.model = ModelId("m1");
            state.version = "v1";
        }
        submit(ticket);
    }

    static std::string address(int i) { return "10.0.0." + std::to_string(i) + ":9000"; }

    static nlohmann::json engine(int i, const std::string& role = "mixed", const std::string& model = "m1")
    {
        return { { "address", address(i) }, { "zone", "a" }, { "region", "r" }, { "model", model }, { "role", role }, { "role_policy", "fixed" } };
    }

    FakeEngine& engineAt(int i) { return engines.engines[address(i)]; }

    ControlDaemon& addDaemon(const std::string& id)
    {
        daemons.push_back(std::make_unique<ControlDaemon>(context, store, engines, vms, network, timers, id));
        return *daemons.back();
    }

    void submit(const nlohmann::json& ticket)
    {
        auto isAccepted = std::make_shared<bool>(false);
        asio::co_spawn(context, tickets.submit(ticket.dump()), [isAccepted](std::exception_ptr, Result<TicketReceipt> receipt) { *isAccepted = receipt.has_value(); });
        timers.advance(std::chrono::seconds(1));
        REQUIRE(*isAccepted);
    }

    void setRole(int number, int i, const std::string& role, const std::string& model = "m1")
    {
        submit({ { "number", number }, { "engines", { { "e" + std::to_string(i), engine(i, role, model) } } } });
    }

    ControlDaemon* holderOf(const std::string& group)
    {
        for (const auto& daemon : daemons) {
            if (daemon->holds(group))
                return daemon.get();
        }
        return nullptr;
    }

    int conflicts()
    {
        int sum = 0;
        for (const auto& [address, engine] : engines.engines)
            sum += engine.conflicts;
        return sum;
    }

    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    MemoryKeyValueStore store { timers };
    FakeEngineClient engines { timers };
    FakeVmList vms;
    PeerNetwork network;
    TicketService tickets { store, timers, log, [](Configuration) {} };
    std::vector<std::unique_ptr<ControlDaemon>> daemons;
};

} // namespace chestnut
