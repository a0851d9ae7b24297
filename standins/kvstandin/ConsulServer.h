#pragma once

#include "Faults.h"
#include "http/server/HttpServer.h"
#include "infrastructure/testing/KeyValueModel.h"
#include "kernel/timers/TimerService.h"
#include "NodeList.h"

#include <map>

namespace chestnut::standin {

/** Implements the part of Consul's HTTP API that the daemon uses, and `/control` paths for tests. */
class ConsulServer {
public:
    ConsulServer(TimerService&, Faults, uint64_t seed);

    /** The handler for an HttpServer; this object must outlive the server. */
    HttpHandler handler();

    /** Sets the initial VM list. */
    void setNodes(std::vector<Vm>);

private:
    using Response = asio::awaitable<HttpResponse>;

    asio::awaitable<void> serve(HttpRequest, HttpResponseWriter&);
    Response route(HttpRequest);
    HttpResponse handleControl(const HttpRequest&);
    Response readKey(HttpRequest);
    HttpResponse writeKey(const HttpRequest&);
    HttpResponse removeKey(const HttpRequest&);
    HttpResponse transact(const HttpRequest&);
    HttpResponse session(const HttpRequest&);

    TimerService& m_timers;
    Faults m_faults;
    std::mt19937_64 m_rng;
    KeyValueModel m_model;
    NodeList m_nodes;
    std::map<std::string, uint64_t> m_counts;
};

} // namespace chestnut::standin
