#include "gateway/blocks/BlockCodec.h"

#include "base/errors/MakeResult.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace chestnut {

namespace {

    constexpr std::string_view contentPrefix = "content-";
    constexpr std::string_view partPrefix = "part-";
    /** Keeps calculations with the time in range. */
    constexpr int64_t latestUnixSeconds = int64_t(1) << 40;
    constexpr int hexadecimal = 16;

    std::optional<PromptPartId> partFromHex(std::string_view text)
    {
        PromptPartId part;
        const auto* end = text.data() + text.size();
        auto [parsedTo, error] = std::from_chars(text.data(), end, part.value, hexadecimal);
        return error == std::errc() && parsedTo == end ? std::optional(part) : std::nullopt;
    }

} // namespace

std::string toHex(PromptPartId part)
{
    std::array<char, 2 * sizeof(part.value)> digits {};
    auto [end, error] = std::to_chars(digits.begin(), digits.end(), part.value, hexadecimal);
    return { digits.begin(), end };
}

std::string encodeBlockSubject(const BlockSubject& subject)
{
    if (const auto* content = std::get_if<Digest>(&subject))
        return std::string(contentPrefix) + toHex(*content);
    return std::string(partPrefix) + toHex(std::get<PromptPartId>(subject));
}

Result<BlockSubject> decodeBlockSubject(std::string_view name)
{
    if (name.starts_with(contentPrefix)) {
        if (auto content = digestFromHex(name.substr(contentPrefix.size())))
            return BlockSubject(*content);
    }
    if (name.starts_with(partPrefix)) {
        if (auto part = partFromHex(name.substr(partPrefix.size())))
            return BlockSubject(*part);
    }
    return makeError(ErrorKind::ProtocolError, "the key names no request content and no prompt part");
}

std::string encodeStoredBlock(const StoredBlock& block)
{
    nlohmann::json document { { "crashes", block.crashes }, { "until", block.until.count() }, { "released", block.isReleased } };
    return document.dump();
}

Result<StoredBlock> decodeStoredBlock(std::string_view text)
{
    auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return makeError(ErrorKind::ProtocolError, "block is not a JSON object");
    auto crashes = document.find("crashes");
    auto until = document.find("until");
    auto released = document.find("released");
    auto isComplete = crashes != document.end() && crashes->is_number_unsigned() && until != document.end() && until->is_number_unsigned() && released != document.end() && released->is_boolean();
    if (!isComplete || until->get<uint64_t>() > latestUnixSeconds)
        return makeError(ErrorKind::ProtocolError, "block has missing or unexpected fields");
    return StoredBlock { crashes->get<uint32_t>(), UnixSeconds(until->get<int64_t>()), released->get<bool>() };
}

} // namespace chestnut
