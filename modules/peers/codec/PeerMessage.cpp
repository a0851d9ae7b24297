#include "peers/codec/PeerMessage.h"

#include <algorithm>

namespace chestnut {

namespace {

    using nlohmann::json;

    constexpr size_t keyBytes = 4;
    constexpr uint8_t senderRevisionFlag = 0x80;
    /** Maximum length of ids, zones and addresses. */
    constexpr size_t maximumTextBytes = 128;

    /** Checks that a document is not nested deeper than maximumPeerMessageDepth. */
    class DepthCheck final : public nlohmann::json_sax<json> {
    public:
        bool null() override { return true; }
        bool boolean(bool /*value*/) override { return true; }
        bool number_integer(number_integer_t /*value*/) override { return true; }
        bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
        bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
        bool string(string_t& /*value*/) override { return true; }
        bool binary(binary_t& /*value*/) override { return true; }
        bool start_object(size_t /*elements*/) override { return ++m_depth <= maximumPeerMessageDepth; }
        bool key(string_t& /*value*/) override { return true; }
        bool end_object() override { return endContainer(); }
        bool start_array(size_t /*elements*/) override { return ++m_depth <= maximumPeerMessageDepth; }
        bool end_array() override { return endContainer(); }
        bool parse_error(size_t /*position*/, const std::string& /*token*/, const json::exception& /*error*/) override { return false; }

    private:
        bool endContainer()
        {
            --m_depth;
            return true;
        }

        size_t m_depth = 0;
    };

    const json* field(const json& object, const char* key)
    {
        auto found = object.find(key);
        return found == object.end() ? nullptr : &*found;
    }

    template <typename Number>
    bool readNumber(const json& object, const char* key, Number& target)
    {
        const auto* value = field(object, key);
        if (!value || !value->is_number_unsigned())
            return false;
        auto number = value->get<uint64_t>();
        target = static_cast<Number>(number);
        return static_cast<uint64_t>(target) == number;
    }

    bool readText(const json& object, const char* key, std::string& target)
    {
        const auto* value = field(object, key);
        if (!value || !value->is_string() || value->get_ref<const std::string&>().size() > maximumTextBytes)
            return false;
        target = value->get<std::string>();
        return true;
    }

    template <typename Id>
    bool readId(const json& object, const char* key, Id& target)
    {
        std::string text;
        if (!readText(object, key, text))
            return false;
        target = Id(std::move(text));
        return true;
    }

    bool readVersion(const json& object, ProtocolVersion& version)
    {
        const auto* value = field(object, "version");
        return value && value->is_object() && readNumber(*value, "major", version.major) && readNumber(*value, "minor", version.minor);
    }

    void putNumber(std::vector<uint8_t>& bytes, uint64_t number, size_t width)
    {
        for (size_t i = width; i-- > 0;)
            bytes.push_back(static_cast<uint8_t>(number >> (8 * i)));
    }

    uint64_t takeNumber(std::span<const uint8_t>& bytes, size_t width)
    {
        uint64_t number = 0;
        for (size_t i = 0; i < width; ++i)
            number = number << 8 | bytes[i];
        bytes = bytes.subspan(width);
        return number;
    }

    // The keys have one letter because up to 16 records make up most of the bytes of a heartbeat.
    json encodeRecord(const MemberRecord& record)
    {
        return { { "i", record.id.value() }, { "n", record.incarnation }, { "c", record.counter },
            { "s", static_cast<uint8_t>(record.state) }, { "z", record.zone.value() }, { "g", record.region.value() },
            { "a", record.callerAddress }, { "p", record.peerAddress }, { "r", record.revision }, { "l", record.loadPermille } };
    }

    bool decodeRecord(const json& object, MemberRecord& record)
    {
        uint8_t state = 0;
        if (!object.is_object() || !readNumber(object, "s", state) || state > static_cast<uint8_t>(MemberState::Dropped))
            return false;
        record.state = static_cast<MemberState>(state);
        return readId(object, "i", record.id) && !record.id.empty() && readNumber(object, "n", record.incarnation)
            && readNumber(object, "c", record.counter) && readId(object, "z", record.zone) && readId(object, "g", record.region)
            && readText(object, "a", record.callerAddress) && readText(object, "p", record.peerAddress)
            && readNumber(object, "r", record.revision) && readNumber(object, "l", record.loadPermille);
    }

    /** Suspected is the view of one daemon and is not relayed. Dropped is relayed only as a member's announced departure. */
    bool isRelayedState(uint64_t state)
    {
        return state <= static_cast<uint8_t>(MemberState::Leaving) || state == static_cast<uint8_t>(MemberState::Dropped);
    }

    json encodeUpdates(std::span<const MemberUpdate> updates)
    {
        std::vector<uint8_t> bytes;
        bytes.reserve(updates.size() * updateBytes);
        for (const auto& update : updates) {
            putNumber(bytes, update.key, 4);
            putNumber(bytes, update.counter, 2);
            putNumber(bytes, static_cast<uint8_t>(update.state) | (update.hasSenderRevision ? senderRevisionFlag : 0U), 1);
            putNumber(bytes, std::min(update.loadPermille / loadStepPermille, uint32_t { UINT8_MAX }), 1);
        }
        return json::binary(std::move(bytes));
    }

    /** Returns the bytes of a binary field that consists of items of a fixed size, or nothing when it is malformed or too
        long. */
    std::optional<std::span<const uint8_t>> packedField(const json& object, const char* key, size_t itemBytes, size_t maximumItems)
    {
        const auto* value = field(object, key);
        if (!value || !value->is_binary())
            return std::nullopt;
        std::span<const uint8_t> bytes(value->get_binary());
        if (bytes.size() % itemBytes != 0 || bytes.size() / itemBytes > maximumItems)
            return std::nullopt;
        return bytes;
    }

    bool decodeUpdates(const json& object, std::vector<MemberUpdate>& updates)
    {
        auto bytes = packedField(object, "updates", updateBytes, updatesPerHeartbeat);
        if (!bytes)
            return false;
        while (!bytes->empty()) {
            MemberUpdate update;
            update.key = static_cast<UpdateKey>(takeNumber(*bytes, 4));
            update.counter = static_cast<uint16_t>(takeNumber(*bytes, 2));
            auto flags = takeNumber(*bytes, 1);
            update.hasSenderRevision = (flags & senderRevisionFlag) != 0;
            auto state = flags & ~uint64_t { senderRevisionFlag };
            if (!isRelayedState(state))
                return false;
            update.state = static_cast<MemberState>(state);
            update.loadPermille = static_cast<uint32_t>(takeNumber(*bytes, 1)) * loadStepPermille;
            updates.push_back(update);
        }
        return true;
    }

    json encodeKeys(std::span<const UpdateKey> keys)
    {
        std::vector<uint8_t> bytes;
        for (auto key : keys)
            putNumber(bytes, key, keyBytes);
        return json::binary(std::move(bytes));
    }

    bool decodeKeys(const json& object, const char* name, std::vector<UpdateKey>& keys)
    {
        auto bytes = packedField(object, name, keyBytes, std::max(recordsPerHeartbeat, updateRequestsPerHeartbeat));
        if (!bytes)
            return false;
        while (!bytes->empty())
            keys.push_back(static_cast<UpdateKey>(takeNumber(*bytes, keyBytes)));
        return true;
    }

    json encodeRenewals(std::span<const MemberRenewal> renewals)
    {
        std::vector<uint8_t> bytes;
        for (const auto& renewal : renewals) {
            putNumber(bytes, renewal.key, 4);
            putNumber(bytes, renewal.incarnation, 8);
            putNumber(bytes, renewal.counter, 2);
            putNumber(bytes, static_cast<uint8_t>(renewal.state), 1);
            putNumber(bytes, std::min(renewal.loadPermille / loadStepPermille, uint32_t { UINT8_MAX }), 1);
            putNumber(bytes, renewal.revision, 8);
        }
        return json::binary(std::move(bytes));
    }

    /** Daemons before version 1.1 send no renewals. */
    bool decodeRenewals(const json& object, std::vector<MemberRenewal>& renewals)
    {
        if (!object.contains("renewals"))
            return true;
        auto bytes = packedField(object, "renewals", renewalBytes, renewalsPerHeartbeat);
        if (!bytes)
            return false;
        while (!bytes->empty()) {
            MemberRenewal renewal;
            renewal.key = static_cast<DescriptionKey>(takeNumber(*bytes, 4));
            renewal.incarnation = takeNumber(*bytes, 8);
            renewal.counter = static_cast<uint16_t>(takeNumber(*bytes, 2));
            auto state = takeNumber(*bytes, 1);
            if (state > static_cast<uint8_t>(MemberState::Leaving))
                return false;
            renewal.state = static_cast<MemberState>(state);
            renewal.loadPermille = static_cast<uint32_t>(takeNumber(*bytes, 1)) * loadStepPermille;
            renewal.revision = takeNumber(*bytes, 8);
            renewals.push_back(renewal);
        }
        return true;
    }

    bool decodeRecords(const json& object, std::vector<MemberRecord>& records)
    {
        const auto* values = field(object, "records");
        if (!values || !values->is_array() || values->size() > recordsPerHeartbeat)
            return false;
        return std::ranges::all_of(*values, [&](const json& value) { return decodeRecord(value, records.emplace_back()); });
    }

    Error malformed(std::string detail)
    {
        return makeError(ErrorKind::ProtocolError, std::move(detail));
    }

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    json document { { "deployment", message.deployment },
        { "version", { { "major", message.version.major }, { "minor", message.version.minor } } },
        { "sender", message.sender.value() }, { "incarnation", message.incarnation },
        { "receiver", message.receiver.value() }, { "type", message.type }, { "body", message.body } };
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
try {
    if (bytes.size() > maximumPeerMessageBytes)
        return makeError(ErrorKind::BodyTooLarge, "message exceeds the maximum size: " + std::to_string(bytes.size()) + " bytes");
    DepthCheck depthCheck;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &depthCheck, json::input_format_t::cbor))
        return malformed("the message is not valid CBOR or is nested too deeply");
    auto document = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!document.is_object())
        return malformed("the message is not a map");
    PeerMessage message;
    if (!readText(document, "deployment", message.deployment) || !readVersion(document, message.version)
        || !readId(document, "sender", message.sender) || !readNumber(document, "incarnation", message.incarnation)
        || !readText(document, "type", message.type) || !document.contains("body"))
        return malformed("a field of the envelope is missing or has the wrong type");
    // Optional: an empty receiver means any daemon that listens on the address.
    readId(document, "receiver", message.receiver);
    message.body = std::move(document["body"]);
    return message;
} catch (const json::exception& exception) {
    // Even with exceptions disabled, the parser throws for element counts that exceed the maximum size of a container.
    return malformed(exception.what());
}

nlohmann::json encodeError(const Error& error)
{
    return { { "kind", std::string(describe(error.kind).name) }, { "detail", error.detail }, { "retry_after_ms", static_cast<uint64_t>(error.retryAfter.count()) } };
}

Error decodeError(const nlohmann::json& body)
{
    std::string name;
    if (!body.is_object() || !readText(body, "kind", name))
        return malformed("the error reply has no kind");
    auto error = makeError(errorKindFromName(name).value_or(ErrorKind::ProtocolError), "");
    if (const auto* detail = field(body, "detail"); detail && detail->is_string())
        error.detail = detail->get<std::string>();
    uint32_t milliseconds = 0;
    if (readNumber(body, "retry_after_ms", milliseconds))
        error.retryAfter = std::chrono::milliseconds(milliseconds);
    return error;
}

nlohmann::json encodeHeartbeatPayload(const HeartbeatPayload& heartbeat)
{
    auto records = json::array();
    for (const auto& record : heartbeat.records)
        records.push_back(encodeRecord(record));
    return { { "own", encodeRecord(heartbeat.own) }, { "records", std::move(records) }, { "updates", encodeUpdates(heartbeat.updates) },
        { "unknown", encodeKeys(heartbeat.recordRequests) }, { "silent", encodeKeys(heartbeat.updateRequests) }, { "renewals", encodeRenewals(heartbeat.renewals) } };
}

std::optional<HeartbeatPayload> decodeHeartbeatPayload(const nlohmann::json& body)
{
    HeartbeatPayload heartbeat;
    if (!body.is_object() || !body.contains("own") || !decodeRecord(body["own"], heartbeat.own))
        return std::nullopt;
    if (!decodeRecords(body, heartbeat.records) || !decodeUpdates(body, heartbeat.updates)
        || !decodeKeys(body, "unknown", heartbeat.recordRequests) || !decodeKeys(body, "silent", heartbeat.updateRequests)
        || !decodeRenewals(body, heartbeat.renewals))
        return std::nullopt;
    return heartbeat;
}

} // namespace chestnut
