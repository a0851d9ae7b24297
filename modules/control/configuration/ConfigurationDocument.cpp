#include "control/configuration/ConfigurationDocument.h"

#include "control/configuration/Compression.h"

#include <algorithm>
#include <stdexcept>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr auto zlibEncoding = "zlib";

    std::vector<uint8_t> compressToBytes(const std::string& text)
    {
        auto bytes = compressText(text);
        return { bytes.begin(), bytes.end() };
    }

    /** Throws std::invalid_argument or json::exception. */
    std::string decompressToText(const json& value)
    {
        const std::vector<uint8_t>& bytes = value.get_binary();
        auto text = decompressText({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }, maximumDocumentBytes);
        if (!text)
            throw std::invalid_argument(text.error().detail);
        return *text;
    }

    json deltaToJson(const ConfigurationDelta& delta)
    {
        return { { "from", delta.from }, { "changed", configurationToJson(delta.changed) }, { "gone", delta.removedObjects }, { "forgotten", delta.prunedRemovals } };
    }

    ConfigurationDelta deltaFromJson(const json& document)
    {
        auto changed = configurationFromJson(document.at("changed"));
        if (!changed)
            throw std::invalid_argument(changed.error().detail);
        return { document.at("from"), std::move(*changed), document.at("gone"), document.at("forgotten") };
    }

    Configuration readDeltas(const json& deltas, const std::shared_ptr<const Configuration>& own)
    {
        if (!own)
            throw std::invalid_argument("received a delta without having a configuration to apply it to");
        Configuration configuration = *own;
        for (const auto& row : deltas) {
            auto delta = deltaFromJson(row);
            if (delta.from != configuration.revision)
                throw std::invalid_argument("the delta starts at a revision other than the current one");
            configuration = withDelta(std::move(configuration), delta);
        }
        return configuration;
    }

    std::string digestText(const std::string& document)
    {
        return toHex(digestOf(document));
    }

    void updateCompressed(CompressedDocument& compressed, const Configuration& configuration)
    {
        if (compressed.revision == configuration.revision && !compressed.digest.empty())
            return;
        auto text = encodeConfiguration(configuration);
        compressed = { configuration.revision, compressToBytes(text), digestText(text) };
    }

} // namespace

std::string encodeStoredDocument(const Configuration& configuration)
{
    auto text = encodeConfiguration(configuration);
    return text.size() < compressionThreshold ? text : compressText(text);
}

Result<Configuration> decodeStoredDocument(std::string_view bytes)
{
    if (!isCompressed(bytes))
        return decodeConfiguration(bytes);
    auto text = decompressText(bytes, maximumDocumentBytes);
    if (!text)
        return text.error();
    return decodeConfiguration(*text);
}

void DeltaHistory::add(const ConfigurationDelta& delta)
{
    m_entries.push_back({ delta.from, deltaToJson(delta).dump() });
    m_bytes += m_entries.back().text.size();
    while (!m_entries.empty() && (m_entries.size() > maximumDeltas || m_bytes > maximumBytes)) {
        m_bytes -= m_entries.front().text.size();
        m_entries.pop_front();
    }
}

std::optional<json> DeltaHistory::since(Revision revision) const
{
    auto first = std::ranges::find(m_entries, revision, &Entry::from);
    if (first == m_entries.end())
        return std::nullopt;
    auto deltas = json::array();
    for (; first != m_entries.end(); ++first)
        deltas.push_back(json::parse(first->text));
    return deltas;
}

json makePullRequest(Revision announced, Revision own)
{
    return { { "revision", announced }, { "own", own }, { "encodings", json::array({ zlibEncoding }) } };
}

json makePullReply(const json& request, const Configuration& configuration, const DeltaHistory& history, CompressedDocument& compressed)
{
    json reply { { "revision", configuration.revision } };
    auto encodings = request.is_object() ? request.value("encodings", json()) : json();
    if (!encodings.is_array() || std::ranges::find(encodings, json(zlibEncoding)) == encodings.end()) {
        reply["document"] = encodeConfiguration(configuration);
        return reply;
    }
    auto own = request.value("own", json()).is_number_unsigned() ? request["own"].get<Revision>() : 0;
    if (own >= configuration.revision)
        return reply;
    updateCompressed(compressed, configuration);
    reply["digest"] = compressed.digest;
    auto deltas = history.since(own);
    if (deltas)
        reply["delta"] = json::binary(compressToBytes(deltas->dump()));
    else
        reply[zlibEncoding] = json::binary(compressed.bytes);
    return reply;
}

bool carriesDocument(const json& reply)
{
    return reply.contains("document") || reply.contains(zlibEncoding) || reply.contains("delta");
}

Result<Configuration> readPullReply(const json& reply, const std::shared_ptr<const Configuration>& own)
{
    try {
        if (reply.contains("document"))
            return decodeConfiguration(reply.at("document").get<std::string>());
        if (!reply.contains("delta")) {
            auto text = decompressToText(reply.at(zlibEncoding));
            if (digestText(text) != reply.at("digest").get<std::string>())
                throw std::invalid_argument("the digest of the document does not match");
            return decodeConfiguration(text);
        }
        auto configuration = readDeltas(json::parse(decompressToText(reply.at("delta"))), own);
        if (digestText(encodeConfiguration(configuration)) != reply.at("digest").get<std::string>())
            throw std::invalid_argument("the digest after applying the delta does not match");
        return configuration;
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::ProtocolError, std::string("unreadable reply to a configuration pull: ") + exception.what());
    }
}

} // namespace chestnut
