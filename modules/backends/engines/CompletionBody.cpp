#include "backends/engines/CompletionBody.h"

#include "base/text/JsonNesting.h"

#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    /** Longest output that a request may ask for; bounds the memory of a response that is not streamed. */
    constexpr uint32_t maximumOutputTokens = 131072;

    std::string contentOf(const json& content)
    {
        if (content.is_string())
            return content.get<std::string>();
        std::string text;
        if (!content.is_array())
            return text;
        for (const auto& part : content) {
            if (part.is_object() && part.contains("text") && part["text"].is_string())
                text += part["text"].get<std::string>();
        }
        return text;
    }

    std::string joinMessages(const json& messages)
    {
        std::string prompt;
        for (const auto& message : messages) {
            if (message.is_object())
                prompt.append(message.value("role", "user")).append(": ").append(contentOf(message.value("content", json()))).append("\n");
        }
        return prompt;
    }

    Result<CompletionBody> readBody(const json& document)
    {
        CompletionBody body;
        body.model = ModelId(document.at("model").get<std::string>());
        if (document.contains("messages"))
            body.prompt = joinMessages(document.at("messages"));
        else
            body.prompt = document.at("prompt").get<std::string>();
        auto limit = document.contains("max_completion_tokens") ? document.at("max_completion_tokens") : document.value("max_tokens", json(body.maximumTokens));
        auto maximumTokens = limit.get<int64_t>();
        if (maximumTokens < 1 || maximumTokens > maximumOutputTokens)
            return makeError(ErrorKind::BadJson, "max_tokens is out of range");
        body.maximumTokens = static_cast<uint32_t>(maximumTokens);
        body.isStreamed = document.value("stream", false);
        body.resumeText = document.value("resume_text", "");
        body.resumeAfter = document.value("resume_after", uint64_t { 0 });
        return body;
    }

    Result<CompletionChunk> readChunk(const json& document)
    {
        CompletionChunk chunk;
        chunk.id = document.at("id").get<std::string>();
        const auto& choice = document.at("choices").at(0);
        if (choice.contains("delta"))
            chunk.text = choice.at("delta").value("content", "");
        else
            chunk.text = choice.at("text").get<std::string>();
        if (choice.contains("finish_reason") && choice.at("finish_reason").is_string())
            chunk.finishReason = choice.at("finish_reason").get<std::string>();
        return chunk;
    }

} // namespace

Result<CompletionBody> parseCompletionBody(std::string_view text)
{
    if (isNestedTooDeep(text))
        return makeError(ErrorKind::BadJson, "the body is nested too deeply");
    try {
        return readBody(json::parse(text));
    } catch (const json::exception& exception) {
        return makeError(ErrorKind::BadJson, exception.what());
    }
}

std::string engineRequestBody(std::string_view callerBody, std::string_view resumeText, uint64_t resumeAfter)
{
    auto document = json::parse(callerBody);
    document["stream"] = true;
    if (resumeAfter > 0) {
        document["resume_text"] = resumeText;
        document["resume_after"] = resumeAfter;
    }
    return document.dump();
}

Result<CompletionChunk> parseCompletionChunk(std::string_view text)
{
    if (isNestedTooDeep(text))
        return makeError(ErrorKind::ProtocolError, "invalid completion chunk: nested too deeply");
    try {
        return readChunk(json::parse(text));
    } catch (const json::exception& exception) {
        return makeError(ErrorKind::ProtocolError, std::string("invalid completion chunk: ") + exception.what());
    }
}

std::string formatCompletionChunk(const CompletionChunk& chunk, const ModelId& model, bool isChat)
{
    json choice { { "index", 0 }, { "finish_reason", chunk.finishReason.empty() ? json() : json(chunk.finishReason) } };
    if (isChat)
        choice["delta"] = { { "content", chunk.text } };
    else
        choice["text"] = chunk.text;
    json document {
        { "id", chunk.id },
        { "object", isChat ? "chat.completion.chunk" : "text_completion" },
        { "model", model.value() },
        { "choices", json::array({ choice }) },
    };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace chestnut
