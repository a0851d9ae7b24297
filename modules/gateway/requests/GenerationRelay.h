#pragma once

#include "gateway/requests/EventSplitter.h"
#include "gateway/requests/RelayContext.h"

namespace chestnut {

/** Relays a generation: has the prompt read by a prefill engine, then has the tokens made by a decode engine and relays
    their events. Where the route allows it, a broken stream goes on at another engine within the same answer. */
class GenerationRelay {
public:
    GenerationRelay(RelayPointer, HttpResponseWriter&);

    asio::awaitable<void> run();

private:
    /** How a decode attempt ended. */
    enum class StreamEnd : uint8_t {
        Complete,
        Broken, /**< the engine broke off */
        ClientGone,
    };

    // The steps in the order in which they run.

    /** Repeats attempts as long as that is allowed. */
    asio::awaitable<Result<void>> generate();
    /** Finds a decode place and has the prompt read for it. */
    asio::awaitable<Result<ReplicaEntry>> prepareDecode(bool mayReadPrompt);
    /** The engine for the next decode call, or why there is none. */
    Result<ReplicaEntry> chooseDecode();
    /** Whether a prefill engine should read the prompt; the decode engine reads short ones itself. */
    bool needsPrefill() const;
    /** Has the prompt read. Fails when no engine can read it in time. */
    asio::awaitable<Result<void>> readPrompt();
    std::optional<std::pair<ReplicaEntry, PrefillChoice>> choosePrefill();
    asio::awaitable<Result<PrefillAnswer>> prefillAt(const ReplicaEntry&, const PrefillChoice&);

    /** One decode attempt. Succeeds when the client has its answer. */
    asio::awaitable<Result<void>> decodeAt(const ReplicaEntry&);
    asio::awaitable<Result<ReplicaResponse>> openDecode(const ReplicaEntry&);
    asio::awaitable<StreamEnd> relayEvents(const ReplicaId& engine, ReplicaResponse&);
    asio::awaitable<bool> writeEvents(ReplicaResponse&, EventBatch);
    /** Passes an answer on that is no stream, such as an error of the engine. */
    asio::awaitable<Result<void>> answerWhole(ReplicaResponse&);
    TimerSubscription watchStall(const ReplicaId&) const;

    asio::awaitable<void> finishWith(Error);
    void releaseHandle();
    void logCompletion(int status) const;
    void logRefusal(const Error&) const;

    RelayPointer m_relay;
    HttpResponseWriter& m_writer;
    const PromptShape* m_prompt;
    std::optional<CacheHandle> m_handle;
    std::string m_lastEventId;
    std::optional<uint32_t> m_urgency;
    TimePoint m_firstEventAt;
    std::chrono::milliseconds m_prefillTime { 0 };
    bool m_mayPrefill = true; /**< the first prefill call is not a repeat; further ones are */
};

} // namespace chestnut
