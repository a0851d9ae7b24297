#include "frontend/streams/StreamHandover.h"

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr auto takeStreamMessage = "takeStream";
    constexpr Duration takeStreamTimeout = std::chrono::seconds(1);
    constexpr int maximumMoves = 1;

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

    json handOut(const FrontendStatePointer& state, const StreamStore& held, const DaemonId& receiver, const std::string& streamId)
    {
        auto stream = held.find(streamId);
        // Without the request's body the receiver can do no more than join the stream at the engine.
        if (!stream || stream->body.empty())
            return json::object();
        if (!stream->movedTo.empty() && stream->movedTo != receiver)
            return { { "moved_to", stream->movedTo.value() } };
        stream->movedTo = receiver;
        if (stream->displace)
            stream->displace();
        state->services.log.write(EventId::StreamHandedOver, { { "request", stream->caller.id }, { "stream", streamId }, { "to", receiver }, { "tokens", stream->lastIndex() } });
        return toJson(*stream, state->now());
    }

    asio::awaitable<Result<json>> answer(FrontendStatePointer state, std::shared_ptr<StreamStore> held, DaemonId sender, json body)
    {
        try {
            co_return handOut(state, *held, sender, body.at("stream").get<std::string>());
        } catch (const json::exception& exception) {
            co_return makeError(ErrorKind::ProtocolError, std::string("unreadable message: ") + exception.what());
        }
    }

} // namespace

void offerStreams(const FrontendStatePointer& state, const std::shared_ptr<StreamStore>& held)
{
    std::weak_ptr<FrontendState> weak = state;
    state->services.peers.handle(takeStreamMessage, [weak, held](DaemonId sender, json body) -> asio::awaitable<Result<json>> {
        auto locked = weak.lock();
        if (!locked)
            return []() -> asio::awaitable<Result<json>> { co_return json::object(); }();
        return answer(std::move(locked), held, std::move(sender), std::move(body));
    });
}

asio::awaitable<std::optional<StreamHandover>> takeStream(FrontendStatePointer state, DaemonId holder, std::string streamId)
{
    for (int moves = 0; moves <= maximumMoves; ++moves) {
        if (holder == state->services.peers.self() || !state->services.peers.member(holder))
            co_return std::nullopt;
        json question { { "stream", streamId } };
        auto reply = co_await state->services.peers.call(holder, takeStreamMessage, std::move(question), takeStreamTimeout);
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
