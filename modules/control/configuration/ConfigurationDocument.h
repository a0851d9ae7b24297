#pragma once

#include "control/tickets/ConfigurationCodec.h"
#include "decisions/tickets/Delta.h"

#include <deque>
#include <memory>

namespace chestnut {

/** Documents from this size on, in bytes, are stored compressed. Smaller ones stay readable for a daemon of a version
    that knows no compression; of larger ones, such a daemon pulls the plain form from its peers. */
constexpr size_t compressedFrom = 64 * 1024;
/** Longest document that a daemon reads, decompressed. Tickets keep it below 1 MB; a newer version may allow more. */
constexpr size_t maximumDocumentBytes = 4'000'000;

/** The value of `config/current`: JSON, or JSON in zlib's format. */
std::string encodeStoredDocument(const Configuration&);
/** Fails with ProtocolError. */
Result<Configuration> decodeStoredDocument(std::string_view);

/** The latest deltas between the configurations that were in force at this daemon, in their JSON form. */
class DeltaHistory {
public:
    static constexpr size_t maximumDeltas = 64;
    /** Above it, the oldest deltas are dropped; their receivers get the whole document. */
    static constexpr size_t maximumBytes = 64 * 1024;

    /** The delta starts where the previous one ended. */
    void add(const ConfigurationDelta&);

    /** The deltas that lead from the revision to the newest one, or nothing when one of them is not kept. */
    std::optional<nlohmann::json> since(Revision) const;

private:
    struct Row {
        Revision from = 0;
        std::string text;
    };

    std::deque<Row> m_rows;
    size_t m_bytes = 0;
};

/** The compressed document and the digest of one revision, kept because many peers pull the same revision. */
struct PackedDocument {
    Revision revision = 0;
    std::vector<uint8_t> bytes;
    std::string digest;
};

/** The message `pullConfig`: the revision that was heard of, and the one that the sender has (zero: it wants the whole
    document). */
nlohmann::json makePullRequest(Revision wanted, Revision own);

/** The reply: `delta` or `zlib` with `digest`, or `document` in plain form for a receiver that knows no compression. */
nlohmann::json makePullReply(const nlohmann::json& request, const Configuration&, const DeltaHistory&, PackedDocument&);

/** False for the reply of a daemon that has nothing newer than the request's own revision. */
bool carriesDocument(const nlohmann::json& reply);

/** The sender's configuration. Fails with ProtocolError when the reply is unreadable, or when its delta does not lead
    from the given configuration to the sender's content. */
Result<Configuration> readPullReply(const nlohmann::json& reply, const std::shared_ptr<const Configuration>& own);

} // namespace chestnut
