#pragma once

#include "frontend/completions/RequestSession.h"
#include "frontend/streams/StreamId.h"
#include "frontend/streams/StreamStore.h"
#include "http/server/HttpServer.h"

namespace chestnut {

/** Serves completions and the resumption of their streams.

    A caller can resume a stream with its last event's id, at any daemon:
    - The caller's connection broke and the daemon that accepted the stream is up: that daemon keeps the request and the
      tokens for a minute after the connection ended. It sends the missed tokens and continues the stream on any engine.
      Another daemon first fetches the request and the tokens from it (see StreamHandover) and does the same.
    - The daemon crashed: the engine continues the request and buffers its tokens. Every daemon can resume the stream
      there. If that engine crashes too, the request's body is lost and the stream fails with StreamLost.
    - The engine crashed: the daemon that accepted the stream continues it on another engine; the caller does nothing. */
class CompletionHandler {
public:
    CompletionHandler(FrontendStatePointer, std::shared_ptr<Dispatcher>, std::shared_ptr<StreamStore>);

    asio::awaitable<void> complete(CallerRequest, HttpRequest, HttpResponseWriter&);

    /** Sends the tokens of a stream that follow the given one. Refuses ids and token indexes that cannot be parsed. */
    asio::awaitable<void> resume(CallerRequest, std::string streamId, std::string afterToken, HttpResponseWriter&);

private:
    asio::awaitable<void> runSession(std::shared_ptr<StreamRecord>, CompletionSink&, HttpResponseWriter&, uint64_t afterToken);
    asio::awaitable<std::shared_ptr<StreamRecord>> fetchStream(CallerRequest, DaemonId holder, std::string streamId);
    asio::awaitable<void> resumeAtEngine(CallerRequest, StreamId, uint64_t afterToken, HttpResponseWriter&);
    Result<std::shared_ptr<StreamRecord>> makeRecord(CallerRequest, std::string target, std::string body, bool& isStreamed) const;
    void countArrival(const StreamRecord&);

    FrontendStatePointer m_state;
    std::shared_ptr<Dispatcher> m_dispatcher;
    std::shared_ptr<StreamStore> m_streamStore;
};

} // namespace chestnut
