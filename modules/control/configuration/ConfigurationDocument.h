#pragma once

#include "control/tickets/ConfigurationCodec.h"
#include "decisions/tickets/Delta.h"

#include <deque>
#include <memory>

namespace chestnut {

/** Documents of at least this size in bytes are stored compressed. Daemons of a version without compression can read
    smaller ones and pull the uncompressed form of larger ones from their peers. */
constexpr size_t compressionThreshold = 64 * 1024;
/** Maximum size of a decompressed document. Tickets keep it below 1 MB; a newer version may allow more. */
constexpr size_t maximumDocumentBytes = 4'000'000;

/** Encodes the value of `config/current`: JSON, or JSON in zlib's format. */
std::string encodeStoredDocument(const Configuration&);
/** Decodes the value of `config/current`. Fails with ProtocolError. */
Result<Configuration> decodeStoredDocument(std::string_view);

/** The latest deltas between successive configurations in force at this daemon, in JSON form. */
class DeltaHistory {
public:
    static constexpr size_t maximumDeltas = 64;
    /** Above this size, the oldest deltas are dropped; peers that need them get the full document. */
    static constexpr size_t maximumBytes = 64 * 1024;

    /** Adds a delta, which must start at the revision at which the previous one ended. */
    void add(const ConfigurationDelta&);

    /** Returns the deltas from the given revision to the newest one, or nothing when one of them has been dropped. */
    std::optional<nlohmann::json> since(Revision) const;

private:
    struct Entry {
        Revision from = 0;
        std::string text;
    };

    std::deque<Entry> m_entries;
    size_t m_bytes = 0;
};

/** The compressed document and the digest of one revision, cached because many peers pull the same revision. */
struct CompressedDocument {
    Revision revision = 0;
    std::vector<uint8_t> bytes;
    std::string digest;
};

/** The message `pullConfig`: the revision that a peer announced, and the sender's own one (zero to request the full
    document). */
nlohmann::json makePullRequest(Revision announced, Revision own);

/** The reply: `delta` or `zlib` with `digest`, or an uncompressed `document` for a peer without compression. */
nlohmann::json makePullReply(const nlohmann::json& request, const Configuration&, const DeltaHistory&, CompressedDocument&);

/** Whether a reply contains a document or delta. It does not if the sender has no newer revision than the request. */
bool carriesDocument(const nlohmann::json& reply);

/** Returns the sender's configuration. Fails with ProtocolError when the reply is unreadable, or when its delta does not
    turn the given configuration into the sender's content. */
Result<Configuration> readPullReply(const nlohmann::json& reply, const std::shared_ptr<const Configuration>& own);

} // namespace chestnut
