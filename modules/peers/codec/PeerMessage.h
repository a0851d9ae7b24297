#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "decisions/membership/Membership.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>

namespace chestnut {

/** Maximum size of a message. Large enough for a configuration document of 1 MB and its envelope. */
constexpr size_t maximumPeerMessageBytes = 2 * 1024 * 1024;
/** Maximum nesting depth of a message. Limits the stack usage of the CBOR parser, which recurses once for each level. */
constexpr size_t maximumPeerMessageDepth = 64;

struct ProtocolVersion {
    uint32_t major = 1;
    uint32_t minor = 1; /**< 1 added renewals and announced departures to heartbeats */

    auto operator<=>(const ProtocolVersion&) const = default;
};

/** One message between daemons: a request, its reply, or an error reply. */
struct PeerMessage {
    std::string deployment;
    ProtocolVersion version;
    DaemonId sender;
    Incarnation incarnation = 0;
    DaemonId receiver; /**< empty when the sender has only an address, not an id */
    std::string type; /**< "error" for an error reply */
    nlohmann::json body;

    bool operator==(const PeerMessage&) const = default;
};

std::string encodePeerMessage(const PeerMessage&);

/** Errors: ProtocolError when the bytes are not a CBOR map with all fields of the envelope, BodyTooLarge. Unknown fields
    are ignored. */
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

/** Converts an error to the body of an error reply, and back. An unknown kind becomes ProtocolError. */
nlohmann::json encodeError(const Error&);
Error decodeError(const nlohmann::json&);

/** Converts the payload of a heartbeat to the body of its message, without the extensions. */
nlohmann::json encodeHeartbeatPayload(const HeartbeatPayload&);

/** Returns nothing when a field is missing, has the wrong type or exceeds its maximum. */
std::optional<HeartbeatPayload> decodeHeartbeatPayload(const nlohmann::json&);

} // namespace chestnut
