#pragma once

#include "base/digest/Digest.h"
#include "base/ids/StrongId.h"

#include <optional>
#include <string>
#include <string_view>

namespace chestnut {

/** Identifies the engine and the engine's request that generate a stream, so that any daemon can resume the stream there.
    The id changes when the stream continues at another engine. */
struct StreamId {
    EngineId engine;
    RequestId engineRequest;
    std::string digestPrefix; /**< first 16 digits of the request's content digest */

    auto operator<=>(const StreamId&) const = default;
};

/** The daemon that started the engine's request and has the caller's request. Ids of attempts begin with its id. */
std::optional<DaemonId> daemonOf(const StreamId&);

std::string digestPrefixOf(const Digest&);

/** `<engine>~<engine request>~<content digest prefix>` */
std::string formatStreamId(const StreamId&);
std::optional<StreamId> parseStreamId(std::string_view);

} // namespace chestnut
