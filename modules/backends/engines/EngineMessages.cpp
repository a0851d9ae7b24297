#include "backends/engines/EngineMessages.h"

#include "base/text/JsonNesting.h"

namespace chestnut {

using nlohmann::json;

namespace {

    /** Parses a JSON document, applies the reader to it and converts exceptions to ProtocolError. */
    template <typename T, typename Reader>
    Result<T> parseWith(std::string_view text, Reader reader)
    {
        if (isNestedTooDeep(text))
            return makeError(ErrorKind::ProtocolError, "the document is nested too deeply");
        try {
            return reader(json::parse(text));
        } catch (const std::exception& exception) {
            return makeError(ErrorKind::ProtocolError, exception.what());
        }
    }

    EngineRole roleFromName(const std::string& name)
    {
        for (auto role : { EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode }) {
            if (wireName(role) == name)
                return role;
        }
        throw std::invalid_argument("unknown role " + name);
    }

    EngineOrder readOrder(const json& document)
    {
        EngineOrder order;
        order.fencingNumber = document.at("fencing_number").get<FencingNumber>();
        order.sequence = document.at("sequence").get<uint64_t>();
        order.revision = document.at("revision").get<Revision>();
        order.role = roleFromName(document.at("role").get<std::string>());
        if (const auto& models = document.at("models"); !models.empty()) {
            order.model = ModelId(models.at(0).at("name").get<std::string>());
            order.version = models.at(0).value("version", "");
        }
        order.adapters = document.value("adapters", std::vector<std::string>());
        return order;
    }

    EngineLoad readLoad(const json& document)
    {
        EngineLoad load;
        load.queuedPrefillTokens = document.at("queued_prefill_tokens").get<double>();
        load.queuedDecodeTokens = document.at("queued_decode_tokens").get<double>();
        load.running = document.at("running").get<uint32_t>();
        load.slots = document.at("slots").get<uint32_t>();
        load.freeBlocks = document.at("kv_blocks_free").get<uint32_t>();
        load.totalBlocks = document.at("kv_blocks_total").get<uint32_t>();
        load.age = std::chrono::milliseconds(document.at("age_ms").get<int64_t>());
        return load;
    }

    std::vector<CacheEvent> readCacheEvents(const json& document)
    {
        std::vector<CacheEvent> events;
        for (const auto& item : document.at("events")) {
            auto type = item.at("type").get<std::string>();
            events.push_back({ item.at("sequence").get<uint64_t>(), type == "stored", item.at("block_hashes").get<std::vector<uint64_t>>() });
        }
        return events;
    }

} // namespace

std::string_view wireName(EngineRole role)
{
    switch (role) {
    case EngineRole::Mixed:
        return "mixed";
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    }
    return "mixed";
}

json toJson(const EngineLoad& load)
{
    return {
        { "queued_prefill_tokens", load.queuedPrefillTokens },
        { "queued_decode_tokens", load.queuedDecodeTokens },
        { "running", load.running },
        { "slots", load.slots },
        { "kv_blocks_free", load.freeBlocks },
        { "kv_blocks_total", load.totalBlocks },
        { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(load.age).count() },
    };
}

json toJson(const EngineOrder& order)
{
    auto models = json::array();
    if (!order.model.empty())
        models.push_back({ { "name", order.model.value() }, { "version", order.version } });
    return {
        { "fencing_number", order.fencingNumber },
        { "sequence", order.sequence },
        { "revision", order.revision },
        { "role", wireName(order.role) },
        { "models", models },
        { "adapters", order.adapters },
    };
}

json toJson(const EngineState& state)
{
    auto document = toJson(state.order);
    document["status"] = state.isReady ? "ready" : "changing";
    return document;
}

json toJson(const CacheEvent& event)
{
    return { { "sequence", event.sequence }, { "type", event.isStored ? "stored" : "evicted" }, { "block_hashes", event.blockHashes } };
}

Result<EngineLoad> parseEngineLoad(std::string_view text)
{
    return parseWith<EngineLoad>(text, readLoad);
}

Result<EngineOrder> parseEngineOrder(std::string_view text)
{
    return parseWith<EngineOrder>(text, readOrder);
}

Result<EngineState> parseEngineState(std::string_view text)
{
    return parseWith<EngineState>(text, [](const json& document) { return EngineState { readOrder(document), document.at("status").get<std::string>() == "ready" }; });
}

Result<std::vector<CacheEvent>> parseCacheEvents(std::string_view text)
{
    return parseWith<std::vector<CacheEvent>>(text, readCacheEvents);
}

} // namespace chestnut
