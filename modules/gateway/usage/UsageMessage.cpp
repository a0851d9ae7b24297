#include "gateway/usage/UsageMessage.h"

#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr std::string_view countsKind = "c";
    constexpr std::string_view acknowledgementKind = "a";
    constexpr std::string_view announcementKind = "h";
    /** Of an entry's numbers and the length of the account's name: a count below 2^32 and a window for each entry. */
    constexpr size_t entryOverhead = 16;

    json encode(const UsageCountsMessage& message)
    {
        // The entries of a window follow its number, so that it is sent once.
        auto windows = json::array();
        for (const auto& entry : message.entries) {
            if (windows.empty() || windows.back()[0] != entry.window)
                windows.push_back(json::array({ entry.window }));
            windows.back().push_back(entry.account.value());
            windows.back().push_back(entry.requests);
        }
        return json::array({ countsKind, message.source.daemon.value(), message.source.incarnation, message.holder, message.sequence, std::move(windows) });
    }

    json encode(const UsageAcknowledgement& message)
    {
        return json::array({ acknowledgementKind, message.holder, message.incarnation, message.sequence });
    }

    json encode(const UsageAnnouncement& message)
    {
        return json::array({ announcementKind, message.daemon.value(), message.holder });
    }

    UsageCountsMessage decodeCounts(const json& document)
    {
        UsageCountsMessage message { { DaemonId(document.at(1).get<std::string>()), document.at(2).get<uint64_t>() }, document.at(3).get<uint64_t>(), document.at(4).get<uint64_t>(), {} };
        for (const auto& window : document.at(5)) {
            auto number = window.at(0).get<uint64_t>();
            for (size_t i = 1; i < window.size(); i += 2)
                message.entries.push_back({ number, AccountId(window.at(i).get<std::string>()), window.at(i + 1).get<uint64_t>() });
        }
        return message;
    }

    Result<UsageMessage> decodeDocument(const json& document)
    {
        auto kind = document.at(0).get<std::string>();
        if (kind == countsKind)
            return UsageMessage(decodeCounts(document));
        if (kind == acknowledgementKind)
            return UsageMessage(UsageAcknowledgement { document.at(1).get<uint64_t>(), document.at(2).get<uint64_t>(), document.at(3).get<uint64_t>() });
        if (kind == announcementKind)
            return UsageMessage(UsageAnnouncement { DaemonId(document.at(1).get<std::string>()), document.at(2).get<uint64_t>() });
        return makeError(ErrorKind::ProtocolError, "unknown kind of usage message");
    }

} // namespace

size_t encodedSizeOf(const UsageEntry& entry)
{
    return entry.account.value().size() + entryOverhead;
}

std::string encodeUsageMessage(const UsageMessage& message)
{
    auto document = std::visit([](const auto& content) { return encode(content); }, message);
    std::string bytes(usageMessagePrefix);
    json::to_cbor(document, bytes);
    return bytes;
}

Result<UsageMessage> decodeUsageMessage(std::string_view bytes)
{
    if (!bytes.starts_with(usageMessagePrefix))
        return makeError(ErrorKind::ProtocolError, "no usage message");
    bytes.remove_prefix(usageMessagePrefix.size());
    auto document = json::from_cbor(bytes, true, false);
    if (!document.is_array())
        return makeError(ErrorKind::ProtocolError, "the usage message is not a CBOR array");
    try {
        return decodeDocument(document);
    } catch (const json::exception& exception) {
        return makeError(ErrorKind::ProtocolError, exception.what());
    }
}

} // namespace chestnut
