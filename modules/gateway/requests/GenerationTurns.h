#pragma once

#include "gateway/requests/PromptPrefill.h"

namespace chestnut {

/** How far a generation has come. */
struct GenerationProgress {
    EnginePosition order = 0; /**< of the decode at the engines */
    uint32_t decodeCalls = 0; /**< made so far */
    std::optional<TimePoint> handleAt; /**< when the prefill was completed, if its KV cache waits for the decode */
    std::optional<SoftwareVersion> cacheVersion; /**< of that KV cache */
};

/** Waits until a prefill engine takes the prompt and a slot for its decode is in view. Fails with Overloaded or NoBackend when that is
    not expected in time. The prefill has to begin before the request suspends. */
asio::awaitable<Result<void>> awaitPrefillTurn(RelayContext&, const PromptPrefill&, GenerationProgress);

/** Waits until a decode engine has room; fails like awaitPrefillTurn(). The decode has to begin before the request suspends. */
asio::awaitable<Result<ReplicaEntry>> awaitDecodeEngine(RelayContext&, GenerationProgress);

} // namespace chestnut
