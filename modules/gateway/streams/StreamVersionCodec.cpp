#include "gateway/streams/StreamVersionCodec.h"

#include "base/text/JsonNesting.h"

#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    json parse(std::string_view text)
    {
        return isNestedTooDeep(text) ? json(json::value_t::discarded) : json::parse(text, nullptr, false);
    }

    Error unreadable(std::string_view what)
    {
        return makeError(ErrorKind::ProtocolError, std::string(what) + " has no readable version");
    }

    /** The version in a document; absent where it has none. */
    std::optional<SoftwareVersion> versionOf(const json& document)
    {
        auto version = document.is_object() ? document.value("version", json()) : json();
        return version.is_string() ? std::optional(SoftwareVersion(version.get<std::string>())) : std::nullopt;
    }

    std::string dump(const json& document)
    {
        return document.dump(-1, ' ', false, json::error_handler_t::replace);
    }

} // namespace

std::string encodeDefaultVersion(const DefaultVersion& value)
{
    return dump({ { "version", value.version.value() }, { "generation", value.generation } });
}

Result<DefaultVersion> decodeDefaultVersion(std::string_view text)
{
    auto document = parse(text);
    auto version = versionOf(document);
    if (!version || !document.value("generation", json()).is_number_unsigned())
        return unreadable("the default");
    return DefaultVersion { *version, document["generation"].get<uint64_t>() };
}

std::string encodeStreamVersion(const SoftwareVersion& version)
{
    return dump({ { "version", version.value() } });
}

Result<SoftwareVersion> decodeStreamVersion(std::string_view text)
{
    auto version = versionOf(parse(text));
    if (!version)
        return unreadable("the record");
    return *version;
}

} // namespace chestnut
