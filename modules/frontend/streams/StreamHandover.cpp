#include "frontend/streams/StreamHandover.h"

#include "base/errors/MakeResult.h"

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr auto takeStreamMessage = "takeStream";
    constexpr Duration takeStreamTimeout = std::chrono::seconds(1);
    constexpr int maximumRedirects = 1;

    json toJson(const StreamRecord& stream, TimePoint now)
    {
        auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(stream.caller.deadline - now);
        return {
            { "target", stream.target },
            { "body", stream.body },
            { "account", stream.caller.account.value() },
            { "batch", stream.caller.priorityClass == PriorityClass::Batch },
            { "remaining_ms", remaining.count() },
            { "content", toHex(stream.caller.content) },
            { "first", stream.firstIndex },
            { "tokens", stream.tokens },
            { "finish_reason", stream.finishReason },
        };
    }

    /** Throws json::exception when the message is malformed. */
    std::optional<StreamHandover> fromJson(const json& message)
    {
        auto content = digestFromHex(message.at("content").get<std::string>());
        if (!content)
            return std::nullopt;
        StreamHandover handover;
        handover.target = message.at("target").get<std::string>();
        handover.body = message.at("body").get<std::string>();
        handover.account = AccountId(message.at("account").get<std::string>());
        handover.priorityClass = message.at("batch").get<bool>() ? PriorityClass::Batch : PriorityClass::Live;
        handover.remaining = std::chrono::milliseconds(message.at("remaining_ms").get<int64_t>());
        handover.content = *content;
        handover.firstIndex = message.at("first").get<uint64_t>();
        handover.tokens = message.at("tokens").get<std::vector<std::string>>();
        handover.finishReason = message.at("finish_reason").get<std::string>();
        return handover;
    }

    json handOver(const FrontendStatePointer& state, const StreamStore& streamStore, const DaemonId& receiver, const std::string& streamId)
    {
        auto stream = streamStore.find(streamId);
        // Without the request's body the receiver can do no more than resume the stream at the engine.
        if (!stream || stream->body.empty())
            return json::object();
        if (!stream->movedTo.empty() && stream->movedTo != receiver)
            return { { "moved_to", stream->movedTo.value() } };
        stream->movedTo = receiver;
        if (stream->stopSession)
            stream->stopSession();
        state->services.log.write(EventId::StreamHandedOver, { { "request", stream->caller.id }, { "stream", streamId }, { "to", receiver }, { "tokens", stream->lastIndex() } });
        return toJson(*stream, state->now());
    }

    asio::awaitable<Result<json>> handleTakeStream(FrontendStatePointer state, std::shared_ptr<StreamStore> streamStore, DaemonId sender, json body)
    {
        try {
            co_return makeResult(handOver(state, *streamStore, sender, body.at("stream").get<std::string>()));
        } catch (const json::exception& exception) {
            co_return makeError(ErrorKind::ProtocolError, std::string("malformed message: ") + exception.what());
        }
    }

} // namespace

void serveStreamHandovers(const FrontendStatePointer& state, const std::shared_ptr<StreamStore>& streamStore)
{
    std::weak_ptr<FrontendState> weak = state;
    state->services.peers.handle(takeStreamMessage, [weak, streamStore](DaemonId sender, json body) -> asio::awaitable<Result<json>> {
        auto locked = weak.lock();
        if (!locked)
            return []() -> asio::awaitable<Result<json>> { co_return makeResult(json::object()); }();
        return handleTakeStream(std::move(locked), streamStore, std::move(sender), std::move(body));
    });
}

asio::awaitable<std::optional<StreamHandover>> requestStreamHandover(FrontendStatePointer state, DaemonId holder, std::string streamId)
{
    for (int redirects = 0; redirects <= maximumRedirects; ++redirects) {
        if (holder == state->services.peers.self() || !state->services.peers.member(holder))
            co_return std::nullopt;
        json request { { "stream", streamId } };
        auto reply = co_await state->services.peers.call(holder, takeStreamMessage, std::move(request), takeStreamTimeout);
        try {
            if (!reply || !reply->is_object() || reply->empty())
                co_return std::nullopt;
            if (!reply->contains("moved_to"))
                co_return fromJson(*reply);
            holder = DaemonId(reply->at("moved_to").get<std::string>());
        } catch (const json::exception&) {
            co_return std::nullopt;
        }
    }
    co_return std::nullopt;
}

} // namespace chestnut
