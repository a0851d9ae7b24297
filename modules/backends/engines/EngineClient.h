#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/tickets/Configuration.h"
#include "kernel/registry/Service.h"
#include "kernel/settings/SettingsReader.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnut {

/** A load report of an engine. `age` is the time since its measurement. */
struct EngineLoad {
    double queuedPrefillTokens = 0;
    double queuedDecodeTokens = 0;
    uint32_t running = 0;
    uint32_t slots = 0;
    uint32_t freeBlocks = 0; /**< blocks of 2,048 tokens */
    uint32_t totalBlocks = 0;
    Duration age {};

    auto operator<=>(const EngineLoad&) const = default;
};

struct CacheEvent {
    uint64_t sequence = 0;
    bool isStored = true; /**< false: evicted */
    std::vector<uint64_t> blockHashes;

    auto operator<=>(const CacheEvent&) const = default;
};

/** One token of a stream. */
struct TokenEvent {
    uint64_t index = 0; /**< counts from 1 in the whole stream */
    std::string chunk; /**< the OpenAI-style JSON chunk */
    bool isLast = false;
};

struct CompletionCall {
    RequestId request;
    std::string target = "/v1/completions";
    std::string body; /**< JSON */
    int priority = 0; /**< 0 is most urgent */
    Duration timeout = std::chrono::seconds(30);
};

/** A completion in progress at an engine. Its destruction only closes the connection; cancel() stops the engine's work. */
class CompletionStream {
public:
    virtual ~CompletionStream() = default;

    /** The next token, or nothing after the last one. Errors: BackendFailed, DeadlineExceeded, ProtocolError. */
    virtual asio::awaitable<Result<std::optional<TokenEvent>>> next() = 0;
};

/** An order to an engine: the complete state that the engine must take on. */
struct EngineOrder {
    FencingNumber fencingNumber = 0;
    uint64_t sequence = 0; /**< increases with each order of one lease holder */
    Revision revision = 0;
    EngineRole role = EngineRole::Mixed;
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;

    auto operator<=>(const EngineOrder&) const = default;
};

/** The state that an engine reports. */
struct EngineState {
    EngineOrder order;
    bool isReady = false; /**< false while it loads or changes role */

    auto operator<=>(const EngineState&) const = default;
};

/** Calls engines by their address. The error ConnectFailed guarantees that no byte was sent. */
class EngineClient : public Service {
public:
    static constexpr std::string_view serviceName = "engines";
    std::string_view name() const final { return serviceName; }

    virtual asio::awaitable<Result<std::unique_ptr<CompletionStream>>> complete(Endpoint, CompletionCall) = 0;
    /** Resumes a stream after the given token. Fails with NotFound when the engine no longer buffers the stream. */
    virtual asio::awaitable<Result<std::unique_ptr<CompletionStream>>> resume(Endpoint, RequestId, uint64_t afterToken) = 0;
    virtual asio::awaitable<Result<void>> cancel(Endpoint, RequestId) = 0;
    virtual asio::awaitable<Result<EngineLoad>> load(Endpoint) = 0;
    virtual asio::awaitable<Result<std::vector<CacheEvent>>> cacheEvents(Endpoint, uint64_t afterSequence) = 0;

    /** Errors: StaleAuthority when the engine rejects the fencing number as outdated; OutcomeUnknown when no response
        arrived before the timeout. */
    virtual asio::awaitable<Result<void>> order(Endpoint, EngineOrder, Duration timeout) = 0;
    virtual asio::awaitable<Result<EngineState>> state(Endpoint) = 0;
};

} // namespace chestnut
