#include "control/configuration/ConfigurationDocument.h"

#include "control/configuration/Compression.h"

#include <algorithm>
#include <stdexcept>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr auto zlibEncoding = "zlib";

    std::vector<uint8_t> pack(const std::string& text)
    {
        auto bytes = compressText(text);
        return { bytes.begin(), bytes.end() };
    }

    /** Throws std::invalid_argument or json::exception. */
    std::string unpack(const json& value)
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
            throw std::invalid_argument("a delta without a configuration to start from");
        Configuration configuration = *own;
        for (const auto& row : deltas) {
            auto delta = deltaFromJson(row);
            if (delta.from != configuration.revision)
                throw std::invalid_argument("the delta starts at another revision");
            configuration = withDelta(std::move(configuration), delta);
        }
        return configuration;
    }

    std::string digestText(const std::string& document)
    {
        return toHex(digestOf(document));
    }

    void packInto(PackedDocument& packed, const Configuration& configuration)
    {
        if (packed.revision == configuration.revision && !packed.digest.empty())
            return;
        auto text = encodeConfiguration(configuration);
        packed = { configuration.revision, pack(text), digestText(text) };
    }

} // namespace

std::string encodeStoredDocument(const Configuration& configuration)
{
    auto text = encodeConfiguration(configuration);
    return text.size() < compressedFrom ? text : compressText(text);
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
    m_rows.push_back({ delta.from, deltaToJson(delta).dump() });
    m_bytes += m_rows.back().text.size();
    while (!m_rows.empty() && (m_rows.size() > maximumDeltas || m_bytes > maximumBytes)) {
        m_bytes -= m_rows.front().text.size();
        m_rows.pop_front();
    }
}

std::optional<json> DeltaHistory::since(Revision revision) const
{
    auto first = std::ranges::find(m_rows, revision, &Row::from);
    if (first == m_rows.end())
        return std::nullopt;
    auto deltas = json::array();
    for (; first != m_rows.end(); ++first)
        deltas.push_back(json::parse(first->text));
    return deltas;
}

json makePullRequest(Revision wanted, Revision own)
{
    return { { "revision", wanted }, { "own", own }, { "encodings", json::array({ zlibEncoding }) } };
}

json makePullReply(const json& request, const Configuration& configuration, const DeltaHistory& history, PackedDocument& packed)
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
    packInto(packed, configuration);
    reply["digest"] = packed.digest;
    auto deltas = history.since(own);
    if (deltas)
        reply["delta"] = json::binary(pack(deltas->dump()));
    else
        reply[zlibEncoding] = json::binary(packed.bytes);
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
            auto text = unpack(reply.at(zlibEncoding));
            if (digestText(text) != reply.at("digest").get<std::string>())
                throw std::invalid_argument("the digest of the document differs");
            return decodeConfiguration(text);
        }
        auto configuration = readDeltas(json::parse(unpack(reply.at("delta"))), own);
        if (digestText(encodeConfiguration(configuration)) != reply.at("digest").get<std::string>())
            throw std::invalid_argument("the delta does not lead to the sender's content");
        return configuration;
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::ProtocolError, std::string("unreadable pull reply: ") + exception.what());
    }
}

} // namespace chestnut
