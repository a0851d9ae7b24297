#pragma once

#include "backends/backends.h"
#include "control/control.h"
#include "DaemonSettings.h"
#include "frontend/frontend.h"
#include "http/http.h"
#include "infrastructure/infrastructure.h"
#include "kernel/kernel.h"

#include <boost/asio/signal_set.hpp>
#include <memory>

namespace chestnut {

/** Assembles the services of one daemon and runs them until a termination signal. */
class Daemon {
public:
    Daemon(asio::io_context&, DaemonSettings);

    /** Opens the listeners. Throws when an address cannot be bound. */
    void start();
    /** Returns when the daemon has stopped. */
    void run();

private:
    void addPlatform();
    void addPeers();
    void addControl();
    void addFrontend();
    void openCallerListener();

    /** Peer addresses of the live VMs, from the last VM list. */
    std::vector<Endpoint> peersFromVmList() const;
    static asio::awaitable<void> refreshVmList(Daemon&);
    static asio::awaitable<void> shutDown(Daemon&);
    /** Answers the requests in progress with an error and ends the process. */
    void exitAtOnce();
    bool isReady() const;
    void updateReadiness();

    template <typename T>
    T& service() const
    {
        return m_serviceRegistry.require<T>(T::serviceName);
    }

    asio::io_context& m_context;
    DaemonSettings m_settings;
    Incarnation m_incarnation;
    ServiceRegistry m_serviceRegistry;
    HttpClient m_client;
    std::unique_ptr<HttpServer> m_callerListener;
    asio::signal_set m_signals;
    std::vector<Endpoint> m_vmPeers;
    TimerSubscription m_readinessTimer;
    TimerSubscription m_vmListTimer;
    bool m_isReadyAnnounced = false;
    bool m_isLeaving = false;
};

} // namespace chestnut
