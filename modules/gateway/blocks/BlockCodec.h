#pragma once

#include "base/errors/Result.h"
#include "decisions/quarantine/SharedBlocks.h"

#include <string>
#include <string_view>

namespace chestnut {

/** The id in hexadecimal, as prompts name it. */
std::string toHex(PromptPartId);

/** Name of a subject, which is unique among the keys of all blocks. */
std::string encodeBlockSubject(const BlockSubject&);
/** Fails with ProtocolError. */
Result<BlockSubject> decodeBlockSubject(std::string_view name);

std::string encodeStoredBlock(const StoredBlock&);
/** Fails with ProtocolError. */
Result<StoredBlock> decodeStoredBlock(std::string_view);

} // namespace chestnut
