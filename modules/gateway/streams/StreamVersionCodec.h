#pragma once

#include "base/errors/Result.h"
#include "decisions/streams/DefaultVersion.h"

#include <string>
#include <string_view>

namespace chestnut {

std::string encodeDefaultVersion(const DefaultVersion&);
/** Fails with ProtocolError. */
Result<DefaultVersion> decodeDefaultVersion(std::string_view);

/** Encodes the version at which a stream has begun. */
std::string encodeStreamVersion(const SoftwareVersion&);
/** Fails with ProtocolError. */
Result<SoftwareVersion> decodeStreamVersion(std::string_view);

} // namespace chestnut
