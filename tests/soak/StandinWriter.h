#pragma once

#include "http/http.h"
#include "soak/LimitChecks.h"

namespace chestnut::soak {

/** Silence of a replica that is sound: it delays the bytes of all its responses and then goes on. */
struct ReplicaSilence {
    TimePoint end;
    bool startsInsideBytes = false; /**< half of an event or a body is sent before it, otherwise whole ones */
};

/** What a replica stand-in does in all its responses. */
struct ResponseBehavior {
    ReplicaSilence silence;
    bool announcesDeparture = false;
    double requestsPerSecond = 0; /**< limit that it states; 0: none */
};

/** Writes the responses of a replica stand-in with its behavior. */
class StandinWriter final : public HttpResponseWriter {
public:
    StandinWriter(HttpResponseWriter& writer, TimerService& timers, LimitChecks& limits, ReplicaId replica, const ResponseBehavior& behavior)
        : m_writer(writer)
        , m_timers(timers)
        , m_limits(limits)
        , m_replica(std::move(replica))
        , m_behavior(behavior)
    {
    }

    asio::awaitable<Result<void>> send(HttpResponse) override;
    asio::awaitable<Result<void>> begin(int status, HttpHeaders) override;
    asio::awaitable<Result<void>> write(std::string chunk) override;
    asio::awaitable<Result<void>> finish() override;
    void abort() override { m_writer.abort(); }
    void onCallerDisconnect(std::function<void()> callback) override { m_writer.onCallerDisconnect(std::move(callback)); }
    bool isCallerDisconnected() const override { return m_writer.isCallerDisconnected(); }
    bool hasBegun() const override { return m_writer.hasBegun(); }

private:
    bool isSilent() const { return m_timers.now() < m_behavior.silence.end; }
    asio::awaitable<void> waitForSilence();
    void addNotices(HttpHeaders&) const;

    HttpResponseWriter& m_writer;
    TimerService& m_timers;
    LimitChecks& m_limits;
    ReplicaId m_replica;
    const ResponseBehavior& m_behavior;
};

} // namespace chestnut::soak
