#pragma once

#include "review/standins/ReviewFleet.h"

#include <functional>

namespace chestnut::review {

/** Stand-in of a model replica, with one fixed stage. A decode engine streams the events of a request; a prefill engine returns a
    handle. */
class StreamEngine {
public:
    static constexpr uint64_t eventsOfRequest = 90;

    /** Most replicas drop a request when its channel closes; `keepsRequests` is for the others. */
    StreamEngine(ReviewFleet&, std::string stage, std::string zone, int number, bool keepsRequests);

    /** Makes no events until the time has passed; then goes on with all its requests. */
    void fallSilent(Duration);

    /** Refuses new requests until the time has passed, as an engine does whose memory is full. Running ones go on. */
    void beFull(Duration);

    const std::string& id() const { return m_id; }
    uint32_t running() const { return m_running; }

    /** Called when a request begins to run; `resumedAfter` is the last event that the caller has, zero at the start of a stream. */
    std::function<void(const std::string& request, uint64_t resumedAfter)> onBegin;
    /** Called when an event of a request has been made. */
    std::function<void(const std::string& request, uint64_t number)> onEvent;

private:
    asio::awaitable<void> handle(HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> stream(const std::string& request, uint64_t resumedAfter, HttpResponseWriter&);

    ReviewFleet& m_fleet;
    std::string m_stage;
    std::string m_id;
    bool m_keepsRequests;
    HttpServer m_server;
    TimePoint m_silentUntil;
    TimePoint m_fullUntil;
    uint32_t m_running = 0;
    uint64_t m_handles = 0;
};

} // namespace chestnut::review
