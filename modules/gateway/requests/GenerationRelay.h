#pragma once

#include "gateway/requests/EventSplitter.h"
#include "gateway/requests/RelayContext.h"

namespace chestnut {

/** Relays a generation: runs the prefill on one engine, then the decode on another one and relays its events. If the route
    allows it, a broken stream is resumed on another engine within the same response. */
class GenerationRelay {
public:
    GenerationRelay(RelayPointer, HttpResponseWriter&);

    asio::awaitable<void> run();

private:
    /** How a decode attempt ended. */
    enum class StreamEnd : uint8_t {
        Complete,
        Broken, /**< the connection failed or stalled, or an event was too long */
        ClientDisconnected,
    };

    // The steps in the order in which they run.

    /** Runs decode attempts until one succeeds or no more are allowed. */
    asio::awaitable<Result<void>> generate();
    /** Chooses the decode engine, after running the prefill if needed. */
    asio::awaitable<Result<ReplicaEntry>> prepareDecode(bool mayPrefill);
    /** The engine for the next decode call, or an error if there is none. */
    Result<ReplicaEntry> chooseDecodeEngine();
    /** Whether a prefill engine should process the prompt; decode engines process short ones themselves. */
    bool needsPrefill() const;
    /** Runs the prefill. Fails when no engine can complete it in time. */
    asio::awaitable<Result<void>> prefillPrompt();
    std::optional<std::pair<ReplicaEntry, PrefillChoice>> findPrefillEngine();
    asio::awaitable<Result<PrefillResponse>> prefillAt(const ReplicaEntry&, const PrefillChoice&);

    /** Runs one decode attempt. Succeeds when the client has received the complete response. */
    asio::awaitable<Result<void>> decodeAt(const ReplicaEntry&);
    asio::awaitable<Result<ReplicaResponse>> openDecodeStream(const ReplicaEntry&);
    asio::awaitable<StreamEnd> relayEvents(const ReplicaId& engine, ReplicaResponse&);
    asio::awaitable<bool> writeEvents(ReplicaResponse&, EventBatch);
    /** Relays a response that is not a stream, such as an error from the engine. */
    asio::awaitable<Result<void>> relayWholeResponse(ReplicaResponse&);
    TimerSubscription startStallTimer(const ReplicaId&) const;

    asio::awaitable<void> sendFailure(Error);
    void releaseHandle();
    void logCompletion(int status) const;
    void logRefusal(const Error&) const;

    RelayPointer m_relay;
    HttpResponseWriter& m_writer;
    const PromptShape* m_prompt;
    std::optional<CacheHandle> m_handle;
    std::string m_lastEventId;
    std::optional<uint32_t> m_priority;
    TimePoint m_firstEventAt;
    std::chrono::milliseconds m_prefillTime { 0 };
    bool m_isFirstPrefillCall = true; /**< the retry budget counts later calls as retries */
};

} // namespace chestnut
