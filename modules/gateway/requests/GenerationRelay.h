#pragma once

#include "gateway/requests/AttemptBody.h"
#include "gateway/requests/EngineDeparture.h"
#include "gateway/requests/EventSplitter.h"
#include "gateway/requests/GenerationTurns.h"
#include "gateway/requests/PromptPrefill.h"
#include "gateway/requests/SilenceWatch.h"
#include "gateway/requests/VersionBinding.h"

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
        Broken, /**< the connection failed or was interrupted, the body ended inside an event, or an event was too long */
        Mismatch, /**< its events do not continue those that the client has received */
        ClientDisconnected,
        Leaving, /**< the engine leaves soon, and the stream can be continued elsewhere */
    };

    // The steps in the order in which they run.

    /** Runs decode attempts until one succeeds or no more are allowed. */
    asio::awaitable<Result<void>> generate();
    /** Chooses the decode engine, after running the prefill if needed. */
    asio::awaitable<Result<ReplicaEntry>> prepareDecode(bool mayPrefill);
    GenerationProgress progress() const;
    /** Gives the KV cache up if no decode engine is left that can read it. */
    void releaseUnreadableCache();
    /** Position of the decode at the engines. */
    EnginePosition order() const;
    /** Whether prefill engines should process the prompt; decode engines process short ones themselves. */
    bool needsPrefill() const;
    /** Whether the next decode attempt needs a prefill, unless it has a handle to the KV cache of an earlier one. */
    bool mustReadPrompt() const;
    /** Runs one decode attempt. Succeeds when the client has received the complete response. */
    asio::awaitable<Result<void>> decodeAt(const ReplicaEntry&);
    asio::awaitable<Result<ReplicaResponse>> openDecodeStream(const ReplicaEntry&);
    asio::awaitable<Result<ReplicaResponse>> sendDecode(const ReplicaEntry&);
    /** What is known when the connection of the present decode attempt ends. */
    ConnectionEnd connectionEnd(const ReplicaId& engine) const;
    asio::awaitable<StreamEnd> relayEvents(const ReplicaEntry& engine, ReplicaResponse&, TimePoint sentAt);
    asio::awaitable<bool> writeEvents(const ReplicaEntry& engine, ReplicaResponse&, EventBatch);
    /** Whether another run may continue what the client has received. */
    bool mayContinue() const;
    /** Relays a response that is not a stream, such as an error from the engine. */
    asio::awaitable<Result<void>> relayWholeResponse(ReplicaResponse&);
    /** Waits for the next complete event; bytes of an incomplete one are no progress. */
    void watchSilence(const ReplicaEntry&, std::optional<Duration> limit);
    SilenceWatch::Callbacks silenceCallbacks();
    /** Another engine than the silent one for its stream. */
    std::optional<ReplicaEntry> findSuccessor(const ReplicaId& silent);
    std::shared_ptr<StreamMove> openMove(const ReplicaEntry&);
    /** Whether another engine than this one is free for the rest of the work. */
    bool canContinueElsewhere(const ReplicaId&) const;
    void recordEventTime(TimePoint sentAt);
    /** Records the time of the event that has arrived, before recordEventTime(). */
    void recordCapacity(const ReplicaEntry&, TimePoint sentAt);

    void logRouted(const ReplicaEntry&) const;
    asio::awaitable<void> sendFailure(Error);
    void logCompletion(int status) const;
    void logRefusal(const Error&) const;

    RelayPointer m_relay;
    HttpResponseWriter& m_writer;
    const PromptShape* m_prompt;
    std::optional<CacheHandle> m_handle;
    TimePoint m_handleAt; /**< when it was received */
    std::string m_lastEventId;
    StreamPosition m_position;
    bool m_hasEvents = false; /**< of the present decode attempt */
    bool m_isContinuation = false; /**< the client had received events before the present decode attempt */
    std::optional<PromptPrefill> m_prefill; /**< present for requests with a prompt */
    VersionBinding m_versionBinding;
    RunStops m_stops;
    EngineDeparture m_departure;
    SilenceWatch m_silenceWatch;
    std::shared_ptr<StreamMove> m_move; /**< the response of the next decode attempt, which has been requested already */
    uint32_t m_decodeCalls = 0;
    TimePoint m_firstEventAt;
    std::optional<TimePoint> m_lastEventAt; /**< of the present decode attempt */
};

} // namespace chestnut
