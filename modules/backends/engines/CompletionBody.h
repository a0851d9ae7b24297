#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chestnut {

/** The fields of a completion request's body that routing needs. */
struct CompletionBody {
    ModelId model;
    std::string prompt; /**< chat messages are joined as `role: content` lines */
    uint32_t maximumTokens = 256;
    bool isStreamed = false;
    std::string resumeText; /**< the output that was already generated; the engine continues after it */
    uint64_t resumeAfter = 0; /**< index of the last token of resumeText */
};

/** Parses the body of a completion or chat completion. Fails with BadJson. */
Result<CompletionBody> parseCompletionBody(std::string_view json);

/** The body of a request to an engine: always streamed, and resumed after the given token unless that is 0. */
std::string engineRequestBody(std::string_view callerBody, std::string_view resumeText, uint64_t resumeAfter);

/** The content of one chunk of a streamed completion. */
struct CompletionChunk {
    std::string id;
    std::string text;
    std::string finishReason; /**< empty until the last token */
};

/** Fails with ProtocolError when the text is not a chunk of a completion. */
Result<CompletionChunk> parseCompletionChunk(std::string_view json);

/** Formats one token as an OpenAI-style chunk of a completion, or of a chat completion. */
std::string formatCompletionChunk(const CompletionChunk&, const ModelId&, bool isChat);

} // namespace chestnut
