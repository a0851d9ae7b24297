#pragma once

#include "http/http.h"
#include "kernel/timers/TimerService.h"

namespace chestnut::soak {

/** Silence of a replica that is sound: it delays the bytes of all its responses and then goes on. */
struct ReplicaSilence {
    TimePoint end;
    bool startsInsideBytes = false; /**< half of an event or a body is sent before it, otherwise whole ones */
};

/** Writes the responses of a replica stand-in, delayed by its silence. */
class StandinWriter final : public HttpResponseWriter {
public:
    StandinWriter(HttpResponseWriter& writer, TimerService& timers, const ReplicaSilence& silence)
        : m_writer(writer)
        , m_timers(timers)
        , m_silence(silence)
    {
    }

    asio::awaitable<Result<void>> send(HttpResponse) override;
    asio::awaitable<Result<void>> begin(int status, HttpHeaders) override;
    asio::awaitable<Result<void>> write(std::string chunk) override;
    asio::awaitable<Result<void>> finish() override;
    void abort() override { m_writer.abort(); }
    void onCallerDisconnect(std::function<void()> callback) override { m_writer.onCallerDisconnect(std::move(callback)); }
    bool hasBegun() const override { return m_writer.hasBegun(); }

private:
    bool isSilent() const { return m_timers.now() < m_silence.end; }
    asio::awaitable<void> waitForSilence();

    HttpResponseWriter& m_writer;
    TimerService& m_timers;
    const ReplicaSilence& m_silence;
};

} // namespace chestnut::soak
