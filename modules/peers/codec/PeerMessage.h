#pragma once

#include "base/errors/Result.h"
#include "base/ids/StrongId.h"
#include "decisions/membership/Membership.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>

namespace chestnut {

/** Largest message accepted or sent; leaves room for the envelope around a configuration document of 1 MB. */
constexpr size_t maximumPeerMessageBytes = 2 * 1024 * 1024;
/** Nesting allowed in a message; the CBOR parser recurses once for each level. */
constexpr size_t maximumPeerMessageDepth = 64;

struct ProtocolVersion {
    uint32_t major = 1;
    uint32_t minor = 1; /**< 1: renewals in heartbeats, announced ends */

    auto operator<=>(const ProtocolVersion&) const = default;
};

/** One message between daemons: a request, its reply, or an error reply. */
struct PeerMessage {
    std::string deployment;
    ProtocolVersion version;
    DaemonId sender;
    Incarnation incarnation = 0;
    DaemonId receiver; /**< empty when the sender knows only the address */
    std::string type; /**< "error" for an error reply */
    nlohmann::json body;

    bool operator==(const PeerMessage&) const = default;
};

std::string encodePeerMessage(const PeerMessage&);

/** Errors: ProtocolError when the bytes are not a CBOR map with all fields of the envelope, BodyTooLarge. Unknown fields
    are skipped. */
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

/** The body of an error reply, and back. An unknown kind becomes ProtocolError. */
nlohmann::json encodeError(const Error&);
Error decodeError(const nlohmann::json&);

nlohmann::json encodeHeartbeatPayload(const HeartbeatPayload&);

/** Returns nothing when a field is missing, has the wrong type or exceeds its limit. */
std::optional<HeartbeatPayload> decodeHeartbeatPayload(const nlohmann::json&);

} // namespace chestnut
